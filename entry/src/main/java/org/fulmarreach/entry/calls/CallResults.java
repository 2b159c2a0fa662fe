package org.fulmarreach.entry.calls;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.protocol.thrift.Outcome;

/** Converts answers between the frames of guards and peers and the types of the entry. Stateless. */
public final class CallResults {
    private CallResults() {}

    /** Converts a peer's result frame to an answer. */
    public static CallAnswer fromFrame(CallResult result) {
        if (result.getOutcome() == Outcome.RUN) {
            return new CallAnswer.Answered(result.getRequestId(), result, result.isRepeated());
        }
        return result.getOutcome() == Outcome.NOT_RUN
                ? new CallAnswer.NotRun(result.getRequestId(), toProblem(result))
                : new CallAnswer.Unknown(result.getRequestId(), toProblem(result));
    }

    /** Converts an answer to the frame for a peer; null if this entry did not accept the call. */
    public static CallResult toFrame(CallAnswer answer) {
        return switch (answer) {
            case CallAnswer.Answered answered ->
                new CallResult(answered.result())
                        .setRequestId(answered.requestId())
                        .setRepeated(answered.isRepetition());
            case CallAnswer.NotRun notRun -> toResult(notRun.requestId(), Outcome.NOT_RUN, notRun.problem());
            case CallAnswer.Unknown unknown -> toResult(unknown.requestId(), Outcome.UNKNOWN, unknown.problem());
            case CallAnswer.NotRoutable notRoutable -> null;
            case CallAnswer.Rejected rejected -> null;
        };
    }

    /** Returns the problem that a result without a target's answer reports. */
    public static Problem toProblem(CallResult result) {
        String message = result.getMessage() == null ? "the guard or entry gave no reason" : result.getMessage();
        return Problem.of(toCode(result), message).withRetryAfterMs(result.getRetryAfterMs());
    }

    /** Returns the error code of a result without a target's answer; {@code TARGET_FAILED} if its code is not known. */
    public static ErrorCode toCode(CallResult result) {
        for (ErrorCode code : ErrorCode.values()) {
            if (code.name().equals(result.getCode())) {
                return code;
            }
        }
        return ErrorCode.TARGET_FAILED;
    }

    private static CallResult toResult(String requestId, Outcome outcome, Problem problem) {
        return new CallResult()
                .setRequestId(requestId)
                .setOutcome(outcome)
                .setCode(problem.code().name())
                .setMessage(problem.message())
                .setRetryAfterMs((int) Math.min(Integer.MAX_VALUE, problem.retryAfterMs()));
    }
}
