package org.fulmarreach.entry.calls;

import java.nio.ByteBuffer;
import java.util.List;

import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.protocol.thrift.Call;
import org.fulmarreach.protocol.thrift.Header;

/**
 * A call as the router gets it. Immutable; the body is not copied and must not be changed.
 *
 * @param requestId id that the caller brought; empty when the entry makes one for each attempt
 * @param service name of the service
 * @param method HTTP method
 * @param path path with query for the target
 * @param headers headers for the target
 * @param body whole body
 * @param member member of the urgent rule
 * @param idempotent whether the call may run more than once
 * @param deadlineMs time by which it must be answered, on the entry's clock
 * @param mayLeaveRegion whether another region reports room, so that the call need not wait in this one
 * @param refusal why the entry will not send the call; null if it may be sent. A call with an id of the caller is then
 *     resolved at its guard, because another entry may have sent it
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
        boolean mayLeaveRegion,
        Problem refusal) {
    /** Tells whether the caller brought an id, which binds the call to one guard. */
    public boolean isBound() {
        return !requestId.isEmpty();
    }

    /**
     * Returns the message that sends the call.
     *
     * @param id id of the attempt
     * @param guardIncarnation incarnation of the guard that may run it; 0 when the guard is not chosen yet
     * @param tickEchoMs tick of the guard's last heartbeat; 0 when it is not known here
     * @param nowMs present time on the entry's clock
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

    /** Returns a copy that waits in this region if it must. */
    public CallRequest withoutLeavingRegion() {
        return new CallRequest(
                requestId, service, method, path, headers, body, member, idempotent, deadlineMs, false, refusal);
    }

    /** Returns a copy that is not sent, only resolved. */
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
                mayLeaveRegion,
                newRefusal);
    }
}
