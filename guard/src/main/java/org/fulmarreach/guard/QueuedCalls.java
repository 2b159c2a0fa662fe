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
 * Calls that were accepted and wait for a slot; no part of them was sent to the target. Owned by the {@link CallActor}.
 */
final class QueuedCalls {
    /**
     * Calls that may wait for each slot. Entries choose targets by states that are up to a heartbeat old, so a guard
     * may be full for only a few milliseconds. Longer queues are kept at the entries, which can choose another target.
     */
    private static final int MAX_QUEUED_PER_SLOT = 1;

    private final CallQueue<RequestId> queue = new CallQueue<>(Integer.MAX_VALUE, MAX_QUEUED_PER_SLOT);
    private final Map<RequestId, Queued> byId = new HashMap<>();

    /**
     * A call that waits for a slot.
     *
     * @param call the call
     * @param waiters connections that wait for its result
     */
    record Queued(Call call, List<Waiter> waiters) {}

    /** Queues a call if it can still meet its deadline; returns whether it was queued. */
    boolean offer(RequestId id, Queued call, long deadlineMs, CallAdmission admission, long nowMs) {
        boolean isQueued = admission.maxConcurrentCalls() > 0
                && queue.offer(id, deadlineMs, admission.maxConcurrentCalls(), admission.serviceMs(), nowMs);
        if (isQueued) {
            byId.put(id, call);
        }
        return isQueued;
    }

    /** Removes and returns the next id from the queue; null if no call waits. */
    RequestId poll() {
        while (queue.size() > 0) {
            RequestId id = queue.poll().orElseThrow();
            // A call that was removed in the meantime is no longer in the map.
            if (byId.containsKey(id)) {
                return id;
            }
        }
        return null;
    }

    /** Returns the ids of the calls that can no longer meet their deadline. */
    List<RequestId> expire(double serviceMs, long nowMs) {
        return queue.expire(serviceMs, nowMs);
    }

    /** Removes a call and returns it; null if it is not queued. */
    Queued remove(RequestId id) {
        return byId.remove(id);
    }

    /** Returns the connections that wait for the result of a call; null if the call is not queued. */
    List<Waiter> findWaiters(RequestId id) {
        Queued call = byId.get(id);
        return call == null ? null : call.waiters();
    }

    /** Removes a closed connection from the waiters of all calls. */
    void removeWaitersOf(FrameLink link) {
        byId.values().forEach(call -> call.waiters().removeIf(waiter -> waiter.link() == link));
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }

    int size() {
        return byId.size();
    }
}
