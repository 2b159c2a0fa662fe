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
 * Sends messages to guards and tracks the unanswered ones by correlation id. Each message is matched with at most one
 * answer, and only if the answer comes from the guard that the message was sent to and has the same request id. Owned
 * by {@link CallRouter}.
 */
final class GuardMessenger {
    private static final long QUERY_TIMEOUT_MS = 2_000;

    /** Number of unanswered {@code Resolve} messages at which queries of callers are rejected. */
    private static final int MAX_RESOLVES = 4_096;

    private final MonotonicClock clock;
    private final Map<Long, SentCall> calls = new HashMap<>();
    private final Map<Long, PendingResolve> resolves = new HashMap<>();
    private long lastCorrelationId;

    private record SentCall(GuardSession guard, String requestId, PendingCall call) {}

    /**
     * An unanswered {@code Resolve} message: either for a pending call, or for a caller's query. Exactly one of
     * {@code call} and {@code queryReply} is not null.
     */
    record PendingResolve(
            GuardSession guard,
            String requestId,
            PendingCall call,
            Consumer<RequestState> queryReply,
            long expiresAtMs) {}

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
        return sendAndTrack(new PendingResolve(guard, call.id(), call, null, Long.MAX_VALUE), refuseIfAbsent);
    }

    void sendQuery(GuardSession guard, String requestId, Consumer<RequestState> reply) {
        if (resolves.size() >= MAX_RESOLVES) {
            reply.accept(
                    RequestState.unknown(Problem.of(ErrorCode.NO_CAPACITY, "too many queries are pending at this entry")
                            .withRetryAfterMs(1_000)));
            return;
        }
        sendAndTrack(new PendingResolve(guard, requestId, null, reply, clock.nowMs() + QUERY_TIMEOUT_MS), false);
    }

    void sendCancel(GuardSession guard, String requestId) {
        guard.send(0, Body.cancelCall(new CancelCall(requestId)));
    }

    /** Removes and returns the call that this answer matches; null if there is none. */
    PendingCall removeCall(GuardSession guard, long correlationId, String requestId) {
        SentCall sent = calls.get(correlationId);
        if (sent == null || sent.guard() != guard || !sent.requestId().equals(requestId)) {
            return null;
        }
        calls.remove(correlationId);
        return sent.call();
    }

    /** Removes and returns the {@code Resolve} message that this answer matches; null if there is none. */
    PendingResolve removeResolve(GuardSession guard, long correlationId, String requestId) {
        PendingResolve resolve = resolves.get(correlationId);
        if (resolve == null || resolve.guard() != guard || !resolve.requestId().equals(requestId)) {
            return null;
        }
        return resolves.remove(correlationId);
    }

    /** Discards the unanswered messages to a guard whose connection ended, and answers the queries among them. */
    void discardForGuard(GuardSession guard) {
        calls.values().removeIf(sent -> sent.guard() == guard);
        for (Iterator<PendingResolve> each = resolves.values().iterator(); each.hasNext(); ) {
            PendingResolve resolve = each.next();
            if (resolve.guard() == guard) {
                each.remove();
                answerUnreachable(resolve);
            }
        }
    }

    /**
     * Discards the unanswered messages of a call.
     *
     * @return whether the last {@code Call} message was unanswered
     */
    boolean discardForCall(PendingCall call) {
        resolves.remove(call.resolveId());
        return calls.remove(call.correlationId()) != null;
    }

    void expireQueries(long nowMs) {
        for (Iterator<PendingResolve> each = resolves.values().iterator(); each.hasNext(); ) {
            PendingResolve resolve = each.next();
            if (nowMs >= resolve.expiresAtMs()) {
                each.remove();
                answerUnreachable(resolve);
            }
        }
    }

    private long sendAndTrack(PendingResolve resolve, boolean refuseIfAbsent) {
        long correlationId = ++lastCorrelationId;
        resolves.put(correlationId, resolve);
        Resolve body = new Resolve(resolve.requestId(), resolve.guard().view().incarnation(), refuseIfAbsent);
        resolve.guard().send(correlationId, Body.resolve(body));
        return correlationId;
    }

    private static void answerUnreachable(PendingResolve resolve) {
        if (resolve.queryReply() != null) {
            resolve.queryReply()
                    .accept(RequestState.unknown(Problem.of(
                                    ErrorCode.GUARD_UNREACHABLE,
                                    "guard " + resolve.guard().view().guardId() + " did not answer")
                            .withRetryAfterMs(1_000)));
        }
    }
}
