package org.fulmarreach.entry.calls;

import java.util.function.Consumer;

import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.entry.guards.GuardSession;

/** State of a call without a final answer. Owned by {@link CallRouter}. */
final class PendingCall {
    /** Phase of the call. */
    enum Phase {
        /** Waits in a queue of this entry. */
        QUEUED,
        /** Sent to its guard. */
        SENT,
        /** Sent or bound to a guard that is not connected. */
        DISCONNECTED,
        /** Its guard has reconnected and is asked for the state of the call. */
        RESOLVING,
        /** Its guard is asked to refuse it. */
        REFUSING,
        /** Has its final answer. */
        DONE
    }

    private final CallRequest request;
    private final Consumer<CallAnswer> reply;
    private Phase phase = Phase.QUEUED;
    private String id;
    private GuardSession guard;
    private long correlationId;
    private long resolveId;
    private int attempts;
    private boolean maybeRan;
    private boolean isDeadlineRefusalRequested;
    private long reconnectDeadlineMs;
    private Problem refusal;

    PendingCall(CallRequest request, Consumer<CallAnswer> reply) {
        this.request = request;
        this.reply = reply;
        this.id = request.requestId();
        this.refusal = request.refusal();
    }

    CallRequest request() {
        return request;
    }

    Phase phase() {
        return phase;
    }

    String id() {
        return id;
    }

    GuardSession guard() {
        return guard;
    }

    long correlationId() {
        return correlationId;
    }

    long resolveId() {
        return resolveId;
    }

    int attempts() {
        return attempts;
    }

    /** Returns whether the outcome of an earlier attempt is unknown. */
    boolean maybeRan() {
        return maybeRan;
    }

    /** Returns whether the guard was asked to refuse the call because its deadline is near. */
    boolean isDeadlineRefusalRequested() {
        return isDeadlineRefusalRequested;
    }

    /** Returns when the call is given up unless its guard reconnects, in milliseconds of the entry's clock. */
    long reconnectDeadlineMs() {
        return reconnectDeadlineMs;
    }

    Problem refusal() {
        return refusal;
    }

    /** Returns whether the call may be retried on another target. */
    boolean isRetryable() {
        return request.idempotent() && !request.isBound();
    }

    void bind(GuardSession newGuard, String newId) {
        guard = newGuard;
        id = newId;
    }

    void markQueued() {
        phase = Phase.QUEUED;
    }

    void markSent(long newCorrelationId) {
        phase = Phase.SENT;
        correlationId = newCorrelationId;
        attempts++;
    }

    void markResolving(long newResolveId) {
        phase = Phase.RESOLVING;
        resolveId = newResolveId;
    }

    void markRefusing(long newResolveId, Problem newRefusal) {
        phase = Phase.REFUSING;
        resolveId = newResolveId;
        refusal = newRefusal;
    }

    void markDeadlineRefusalRequested(long newResolveId) {
        isDeadlineRefusalRequested = true;
        resolveId = newResolveId;
    }

    void markDisconnected(long newReconnectDeadlineMs) {
        phase = Phase.DISCONNECTED;
        reconnectDeadlineMs = newReconnectDeadlineMs;
    }

    void markMaybeRan() {
        maybeRan = true;
    }

    void complete(CallAnswer answer) {
        phase = Phase.DONE;
        reply.accept(answer);
    }
}
