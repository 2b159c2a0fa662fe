package org.fulmarreach.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * Bounded queue of calls with admission by deadline. A call is taken in only if it is expected to be answered before
 * its deadline, and is given up as soon as that can no longer happen. First in, first out. Owned by one thread or
 * actor; times are passed in and come from one monotonic clock.
 *
 * @param <T> type of the calls
 */
public final class CallQueue<T> {
    private static final int QUEUED_PER_SLOT = 4;
    private static final long MIN_RETRY_AFTER_MS = 100;

    private final int maxQueued;
    private final int queuedPerSlot;
    private final Deque<Waiting<T>> waiting = new ArrayDeque<>();

    private record Waiting<T>(T call, long sinceMs, long deadlineMs) {}

    /** Constructs an empty queue for at most {@code maxQueued} calls, and four for each slot. */
    public CallQueue(int maxQueued) {
        this(maxQueued, QUEUED_PER_SLOT);
    }

    /** Constructs an empty queue for at most {@code maxQueued} calls, and {@code queuedPerSlot} for each slot. */
    public CallQueue(int maxQueued, int queuedPerSlot) {
        this.maxQueued = maxQueued;
        this.queuedPerSlot = queuedPerSlot;
    }

    /**
     * Takes in a call if it can make its deadline.
     *
     * @param call the call
     * @param deadlineMs time by which it must be answered
     * @param slots slots known to serve this queue
     * @param serviceMs expected service time in milliseconds
     * @param nowMs present time
     * @return whether the call waits now; if not, the caller gives it up at once
     */
    public boolean offer(T call, long deadlineMs, int slots, double serviceMs, long nowMs) {
        return offer(call, deadlineMs, slots, 0, serviceMs, nowMs);
    }

    /**
     * Takes in a call if it can make its deadline although other queues are served by the same slots.
     *
     * @param call the call
     * @param deadlineMs time by which it must be answered
     * @param slots slots known to serve this queue
     * @param ahead calls of other queues that are served before it
     * @param serviceMs expected service time in milliseconds
     * @param nowMs present time
     * @return whether the call waits now; if not, the caller gives it up at once
     */
    public boolean offer(T call, long deadlineMs, int slots, int ahead, double serviceMs, long nowMs) {
        int before = waiting.size() + ahead;
        if (waiting.size() >= maxQueued || before >= (long) queuedPerSlot * slots) {
            return false;
        }
        // The slots are in use now, so that the first of the queue waits for one of them to become free.
        double waitMs = (before + 1) * serviceMs / slots;
        if (nowMs + waitMs + serviceMs > deadlineMs) {
            return false;
        }
        waiting.addLast(new Waiting<>(call, nowMs, deadlineMs));
        return true;
    }

    /** Returns since when the first call waits; {@link Long#MAX_VALUE} if none waits. */
    public long findFirstSinceMs() {
        Waiting<T> first = waiting.peekFirst();
        return first == null ? Long.MAX_VALUE : first.sinceMs();
    }

    /** Takes out the call that waits longest; empty if none waits. Call {@link #expire} before. */
    public Optional<T> poll() {
        Waiting<T> next = waiting.pollFirst();
        return next == null ? Optional.empty() : Optional.of(next.call());
    }

    /** Takes out all calls that can no longer be answered by their deadline, given the expected service time. */
    public List<T> expire(double serviceMs, long nowMs) {
        List<T> expired = new ArrayList<>();
        Iterator<Waiting<T>> each = waiting.iterator();
        while (each.hasNext()) {
            Waiting<T> next = each.next();
            if (nowMs + serviceMs > next.deadlineMs()) {
                expired.add(next.call());
                each.remove();
            }
        }
        return expired;
    }

    /** Takes out all calls. */
    public List<T> drain() {
        List<T> all = waiting.stream().map(Waiting::call).toList();
        waiting.clear();
        return all;
    }

    /** Returns the number of calls that wait. */
    public int size() {
        return waiting.size();
    }

    /** Returns when a refused caller should come back: the time in which the present queue is served. */
    public long computeRetryAfterMs(int slots, double serviceMs) {
        return Math.max(MIN_RETRY_AFTER_MS, (long) Math.ceil((size() + 1) * serviceMs / Math.max(1, slots)));
    }
}
