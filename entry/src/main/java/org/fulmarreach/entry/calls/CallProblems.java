package org.fulmarreach.entry.calls;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.request.RequestId;
import org.fulmarreach.entry.guards.GuardSession;
import org.fulmarreach.protocol.thrift.ResolveResult;

/** Constructs the {@link Problem}s with which calls are answered. Stateless. */
final class CallProblems {
    static final long DEFAULT_RETRY_AFTER_MS = 1_000;

    private CallProblems() {}

    static Problem unreachable() {
        return Problem.of(
                        ErrorCode.GUARD_UNREACHABLE, "the connection to the guard was lost while the call was pending")
                .withRetryAfterMs(DEFAULT_RETRY_AFTER_MS);
    }

    static Problem restarted(GuardSession guard) {
        return Problem.of(
                ErrorCode.GUARD_RESTARTED, "guard " + guard.view().guardId() + " restarted while the call was pending");
    }

    static Problem restarted(RequestId id) {
        return Problem.of(
                ErrorCode.GUARD_RESTARTED,
                "guard " + id.guardId() + " has restarted; the id belongs to its incarnation " + id.incarnation());
    }

    static Problem leaving(GuardSession guard) {
        return Problem.of(
                        ErrorCode.LEAVING, "the target on " + guard.view().vm().id() + " is leaving")
                .withRetryAfterMs(DEFAULT_RETRY_AFTER_MS);
    }

    static Problem noTarget(String service) {
        return Problem.of(ErrorCode.NO_TARGET, "no target of " + service + " is ready in this region")
                .withRetryAfterMs(DEFAULT_RETRY_AFTER_MS);
    }

    /** Returns the reason for a call that its guard has refused. */
    static Problem refused(PendingCall call, ResolveResult result) {
        if (call.refusal() != null) {
            return call.refusal();
        }
        if (call.isDeadlineRefusalRequested()) {
            return Problem.of(ErrorCode.DEADLINE_EXCEEDED, "the guard had not started the call by its deadline")
                    .withRetryAfterMs(DEFAULT_RETRY_AFTER_MS);
        }
        if (result.getResult() != null) {
            return CallResults.toProblem(result.getResult());
        }
        return Problem.of(ErrorCode.GUARD_UNREACHABLE, "the call did not reach its guard")
                .withRetryAfterMs(DEFAULT_RETRY_AFTER_MS);
    }
}
