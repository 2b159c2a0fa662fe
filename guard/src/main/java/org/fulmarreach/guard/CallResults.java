package org.fulmarreach.guard;

import java.util.List;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.request.Execution;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.protocol.thrift.Outcome;
import org.fulmarreach.protocol.thrift.ResolveState;

/** Maps states of the execution table to results on the wire. Stateless. */
final class CallResults {
    /** Status 410 (Gone): the call ran, but its answer is no longer cached. */
    private static final int ANSWER_GONE_STATUS = 410;

    private static final byte[] NO_BODY = new byte[0];

    private CallResults() {}

    /** Returns the result of a call that is not running; null while it runs. */
    static CallResult toResult(String requestId, Execution<CachedAnswer> known, boolean repeated) {
        return switch (known) {
            case Execution.Done<CachedAnswer> done
            when done.answer() != null -> done.answer().toResult(requestId, repeated);
            case Execution.Done<CachedAnswer> gone ->
                withoutAnswer(
                                requestId,
                                Outcome.RUN,
                                Problem.of(
                                        ErrorCode.REQUEST_ID_EXPIRED,
                                        "The call ran, but its answer is no longer kept."))
                        .setStatus(ANSWER_GONE_STATUS)
                        .setRepeated(true);
            case Execution.Refused<CachedAnswer> refused ->
                withoutAnswer(requestId, Outcome.NOT_RUN, refused.problem()).setRepeated(repeated);
            case Execution.Unknown<CachedAnswer> unknown ->
                withoutAnswer(requestId, Outcome.UNKNOWN, unknown.problem()).setRepeated(repeated);
            case Execution.Running<CachedAnswer> running -> null;
            case Execution.Fresh<CachedAnswer> fresh -> null;
        };
    }

    static CallResult withoutAnswer(String requestId, Outcome outcome, Problem problem) {
        return new CallResult()
                .setRequestId(requestId)
                .setOutcome(outcome)
                .setStatus(0)
                .setHeaders(List.of())
                .setBody(NO_BODY)
                .setCode(problem.code().name())
                .setMessage(problem.message())
                .setRetryAfterMs((int) Math.min(Integer.MAX_VALUE, problem.retryAfterMs()))
                .setRepeated(false)
                .setServiceMs(0);
    }

    static ResolveState toState(Execution<CachedAnswer> known) {
        return switch (known) {
            case Execution.Done<CachedAnswer> done -> ResolveState.DONE;
            case Execution.Running<CachedAnswer> running -> ResolveState.RUNNING;
            case Execution.Refused<CachedAnswer> refused -> ResolveState.REFUSED;
            case Execution.Unknown<CachedAnswer> unknown -> ResolveState.UNKNOWN;
            case Execution.Fresh<CachedAnswer> fresh -> ResolveState.UNKNOWN;
        };
    }
}
