package org.fulmarreach.guard;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fulmarreach.core.admission.CallAdmission;
import org.fulmarreach.core.request.RequestId;
import org.fulmarreach.core.routing.CallQueue;
import org.fulmarreach.protocol.thrift.Call;
import org.fulmarreach.runtime.net.FrameLink;

/**
 * Calls that were accepted and wait for a slot; nothing of them was sent to the target. Owned by the {@link CallActor}.
 */
final class QueuedCalls {
    /**
     * Calls that may wait for each slot. Entries send by views that are up to a heartbeat old, so that a guard can be
     * full for a few milliseconds only; a longer queue belongs to the entries, which can choose another target.
     */
    private static final int QUEUED_PER_SLOT = 1;

    private final CallQueue<RequestId> queue = new CallQueue<>(Integer.MAX_VALUE, QUEUED_PER_SLOT);
    private final Map<RequestId, Queued> byId = new HashMap<>();

    /**
     * A call that waits.
     *
     * @param call the call
     * @param waiters connections that want its result
     */
    record Queued(Call call, List<Waiter> waiters) {}

    /** Lets a call wait if it can still make its deadline; tells whether it does. */
    boolean offer(RequestId id, Queued call, long deadlineMs, CallAdmission admission, long nowMs) {
        boolean waits =
                admission.room() > 0 && queue.offer(id, deadlineMs, admission.room(), admission.serviceMs(), nowMs);
        if (waits) {
            byId.put(id, call);
        }
        return waits;
    }

    /** Returns the id of the call that waits longest; null if none waits. */
    RequestId poll() {
        while (queue.size() > 0) {
            RequestId id = queue.poll().orElseThrow();
            // A call that was given up meanwhile is no longer in the map.
            if (byId.containsKey(id)) {
                return id;
            }
        }
        return null;
    }

    /** Returns the ids of the calls that can no longer make their deadline. */
    List<RequestId> expire(double serviceMs, long nowMs) {
        return queue.expire(serviceMs, nowMs);
    }

    /** Takes a call out; null if it does not wait. */
    Queued remove(RequestId id) {
        return byId.remove(id);
    }

    /** Returns the connections that want the result of a call; null if it does not wait. */
    List<Waiter> findWaiters(RequestId id) {
        Queued call = byId.get(id);
        return call == null ? null : call.waiters();
    }

    /** Forgets a closed connection. */
    void dropLink(FrameLink link) {
        byId.values().forEach(call -> call.waiters().removeIf(waiter -> waiter.link() == link));
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }

    int size() {
        return byId.size();
    }
}
