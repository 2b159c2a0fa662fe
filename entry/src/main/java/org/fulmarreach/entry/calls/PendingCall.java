package org.fulmarreach.entry.calls;

import java.util.function.Consumer;

import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.entry.guards.GuardSession;

/** A call that has no final answer yet. Owned by the router. */
final class PendingCall {
    /** Where the call is. */
    enum Phase {
        /** Waits in a queue of this entry. */
        QUEUED,
        /** Sent to its guard. */
        SENT,
        /** Sent, or bound to a guard, whose connection is lost. */
        DISCONNECTED,
        /** Its guard is asked what became of it, after the connection was back. */
        RESOLVING,
        /** Its guard is asked to refuse it. */
        REFUSING,
        /** Answered. */
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
    private boolean askedBeforeDeadline;
    private long givenUpAtMs;
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

    /** Tells whether an attempt was sent whose outcome is not known. */
    boolean maybeRan() {
        return maybeRan;
    }

    boolean askedBeforeDeadline() {
        return askedBeforeDeadline;
    }

    long givenUpAtMs() {
        return givenUpAtMs;
    }

    Problem refusal() {
        return refusal;
    }

    /** Tells whether another target may take the call. */
    boolean mayMove() {
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

    void markAsked(long newResolveId) {
        askedBeforeDeadline = true;
        resolveId = newResolveId;
    }

    void markDisconnected(long newGivenUpAtMs) {
        phase = Phase.DISCONNECTED;
        givenUpAtMs = newGivenUpAtMs;
    }

    void noteMaybeRan() {
        maybeRan = true;
    }

    void answer(CallAnswer answer) {
        phase = Phase.DONE;
        reply.accept(answer);
    }
}
