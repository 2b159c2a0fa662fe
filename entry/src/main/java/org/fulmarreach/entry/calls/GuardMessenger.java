package org.fulmarreach.entry.calls;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.entry.guards.GuardSession;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Call;
import org.fulmarreach.protocol.thrift.CancelCall;
import org.fulmarreach.protocol.thrift.Resolve;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Messages to guards that wait for an answer, by correlation id. An answer is given out only once, and only if it came
 * from the guard that was asked and names the same request. Owned by the router.
 */
final class GuardMessenger {
    private static final long QUERY_BOUND_MS = 2_000;
    private static final int MAX_QUERIES = 4_096;

    private final MonotonicClock clock;
    private final Map<Long, SentCall> calls = new HashMap<>();
    private final Map<Long, Question> questions = new HashMap<>();
    private long lastCorrelationId;

    private record SentCall(GuardSession guard, String requestId, PendingCall call) {}

    /** A question about a request: for a pending call, or asked by a caller. */
    record Question(
            GuardSession guard, String requestId, PendingCall call, Consumer<RequestState> query, long untilMs) {}

    GuardMessenger(MonotonicClock clock) {
        this.clock = clock;
    }

    long sendCall(GuardSession guard, PendingCall call) {
        Call body = call.request().toCall(call.id(), guard.view().incarnation(), guard.tickMs(), clock.nowMs());
        long correlationId = ++lastCorrelationId;
        calls.put(correlationId, new SentCall(guard, call.id(), call));
        guard.send(correlationId, Body.call(body));
        return correlationId;
    }

    long sendResolve(GuardSession guard, PendingCall call, boolean refuseIfAbsent) {
        return ask(new Question(guard, call.id(), call, null, Long.MAX_VALUE), refuseIfAbsent);
    }

    void sendQuery(GuardSession guard, String requestId, Consumer<RequestState> reply) {
        if (questions.size() >= MAX_QUERIES) {
            reply.accept(RequestState.unknown(Problem.of(ErrorCode.NO_CAPACITY, "too many questions are pending")
                    .withRetryAfterMs(1_000)));
            return;
        }
        ask(new Question(guard, requestId, null, reply, clock.nowMs() + QUERY_BOUND_MS), false);
    }

    void sendCancel(GuardSession guard, String requestId) {
        guard.send(0, Body.cancelCall(new CancelCall(requestId)));
    }

    /** Takes out the call that waits for this answer; null if none does. */
    PendingCall takeCall(GuardSession guard, long correlationId, String requestId) {
        SentCall sent = calls.get(correlationId);
        if (sent == null || sent.guard() != guard || !sent.requestId().equals(requestId)) {
            return null;
        }
        calls.remove(correlationId);
        return sent.call();
    }

    /** Takes out the question that waits for this answer; null if none does. */
    Question takeQuestion(GuardSession guard, long correlationId, String requestId) {
        Question asked = questions.get(correlationId);
        if (asked == null || asked.guard() != guard || !asked.requestId().equals(requestId)) {
            return null;
        }
        return questions.remove(correlationId);
    }

    /** Forgets what was sent to a guard whose connection ended. */
    void forget(GuardSession guard) {
        calls.values().removeIf(sent -> sent.guard() == guard);
        for (Iterator<Question> each = questions.values().iterator(); each.hasNext(); ) {
            Question asked = each.next();
            if (asked.guard() == guard) {
                each.remove();
                answerUnreachable(asked);
            }
        }
    }

    /** Forgets what was sent for a call; tells whether its last message was not answered. */
    boolean forgetCall(PendingCall call) {
        questions.remove(call.resolveId());
        return calls.remove(call.correlationId()) != null;
    }

    void expireQueries(long nowMs) {
        for (Iterator<Question> each = questions.values().iterator(); each.hasNext(); ) {
            Question asked = each.next();
            if (nowMs >= asked.untilMs()) {
                each.remove();
                answerUnreachable(asked);
            }
        }
    }

    private long ask(Question question, boolean refuseIfAbsent) {
        long correlationId = ++lastCorrelationId;
        questions.put(correlationId, question);
        Resolve body = new Resolve(question.requestId(), question.guard().view().incarnation(), refuseIfAbsent);
        question.guard().send(correlationId, Body.resolve(body));
        return correlationId;
    }

    private static void answerUnreachable(Question asked) {
        if (asked.query() != null) {
            asked.query()
                    .accept(RequestState.unknown(Problem.of(
                                    ErrorCode.GUARD_UNREACHABLE,
                                    "guard " + asked.guard().view().guardId() + " did not answer")
                            .withRetryAfterMs(1_000)));
        }
    }
}
