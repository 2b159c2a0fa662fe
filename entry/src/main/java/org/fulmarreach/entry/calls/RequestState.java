package org.fulmarreach.entry.calls;

import org.fulmarreach.core.exc.Problem;

/**
 * State of a request id. Immutable.
 *
 * @param state {@code running}, {@code done}, {@code refused} or {@code unknown}
 * @param status HTTP status of the target's answer; 0 if there is none
 * @param problem why the state is unknown; null otherwise
 */
public record RequestState(String state, int status, Problem problem) {
    /** Returns the state of an id that could not be resolved. */
    public static RequestState unknown(Problem problem) {
        return new RequestState("unknown", 0, problem);
    }
}
