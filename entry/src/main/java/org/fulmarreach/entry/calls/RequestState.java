package org.fulmarreach.entry.calls;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.protocol.thrift.ResolveResult;

/**
 * State of a request as its guard reports it. Immutable.
 *
 * @param state {@code running}, {@code done}, {@code refused} or {@code unknown}
 * @param status HTTP status of the target's answer; 0 if there is none
 * @param problem why the state is unknown; null otherwise
 */
public record RequestState(String state, int status, Problem problem) {
    /** Returns the state of a request that could not be resolved. */
    public static RequestState unknown(Problem problem) {
        return new RequestState("unknown", 0, problem);
    }

    /** Converts the answer of a guard. */
    static RequestState of(ResolveResult result) {
        int status = result.getResult() == null ? 0 : result.getResult().getStatus();
        return switch (result.getState()) {
            case REFUSED -> new RequestState("refused", 0, null);
            case RUNNING -> new RequestState("running", 0, null);
            case DONE -> new RequestState("done", status, null);
            case UNKNOWN -> unknown(Problem.of(ErrorCode.REQUEST_ID_EXPIRED, "the guard has no record of the id"));
        };
    }
}
