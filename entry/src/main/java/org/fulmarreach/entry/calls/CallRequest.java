package org.fulmarreach.entry.calls;

import java.nio.ByteBuffer;
import java.util.List;

import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.protocol.thrift.Call;
import org.fulmarreach.protocol.thrift.Header;

/**
 * A call submitted to the router. Immutable; the body is not copied and must not be changed.
 *
 * @param requestId id from the caller; empty if the entry mints an id for each attempt
 * @param service name of the service
 * @param method HTTP method
 * @param path path with query for the target
 * @param headers headers to pass to the target
 * @param body complete body
 * @param member member that the urgent rule belongs to
 * @param idempotent whether the call may run more than once
 * @param deadlineMs time by which the call must be answered, in milliseconds of the entry's clock
 * @param mayForward whether another region reports free slots, so the call is forwarded instead of queued if this
 *     region has none
 * @param refusal why the entry must not send the call; null if it may be sent. If the call has an id of the caller, its
 *     guard is asked to refuse it, because another entry may already have sent it
 */
public record CallRequest(
        String requestId,
        String service,
        String method,
        String path,
        List<Header> headers,
        byte[] body,
        String member,
        boolean idempotent,
        long deadlineMs,
        boolean mayForward,
        Problem refusal) {
    /** Returns whether the caller supplied an id, which binds the call to one guard. */
    public boolean isBound() {
        return !requestId.isEmpty();
    }

    /**
     * Returns the frame body that sends the call.
     *
     * @param id id of the attempt
     * @param guardIncarnation incarnation of the guard that may run it; 0 if no guard is selected yet
     * @param tickEchoMs tick of the guard's last heartbeat; 0 if this entry has received none
     * @param nowMs current time in milliseconds of the entry's clock
     */
    public Call toCall(String id, long guardIncarnation, long tickEchoMs, long nowMs) {
        return new Call(
                id,
                guardIncarnation,
                member,
                service,
                method,
                path,
                headers,
                ByteBuffer.wrap(body),
                (int) Math.max(1, deadlineMs - nowMs),
                idempotent,
                tickEchoMs);
    }

    /** Returns a copy that is not forwarded; it is queued in this region if no slot is free. */
    public CallRequest withoutForwarding() {
        return new CallRequest(
                requestId, service, method, path, headers, body, member, idempotent, deadlineMs, false, refusal);
    }

    /** Returns a copy that must not be sent for the given reason; only its id is resolved if it has one. */
    public CallRequest withRefusal(Problem newRefusal) {
        return new CallRequest(
                requestId,
                service,
                method,
                path,
                headers,
                body,
                member,
                idempotent,
                deadlineMs,
                mayForward,
                newRefusal);
    }
}
