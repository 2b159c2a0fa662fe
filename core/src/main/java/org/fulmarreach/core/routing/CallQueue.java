package org.fulmarreach.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * Bounded FIFO queue of calls with admission by deadline. A call is queued only if it is expected to be answered
 * before its deadline, and expires as soon as its deadline can no longer be met. Not thread-safe: confined to one
 * thread or actor. All times are passed in by the caller and come from one monotonic clock.
 *
 * @param <T> type of the calls
 */
public final class CallQueue<T> {
    private static final int DEFAULT_QUEUED_PER_SLOT = 4;
    private static final long MIN_RETRY_AFTER_MS = 100;

    private final int maxQueued;
    private final int queuedPerSlot;
    private final Deque<QueuedCall<T>> queue = new ArrayDeque<>();

    private record QueuedCall<T>(T call, long queuedAtMs, long deadlineMs) {}

    /** Constructs an empty queue for at most {@code maxQueued} calls, and four for each slot. */
    public CallQueue(int maxQueued) {
        this(maxQueued, DEFAULT_QUEUED_PER_SLOT);
    }

    /** Constructs an empty queue for at most {@code maxQueued} calls, and {@code queuedPerSlot} for each slot. */
    public CallQueue(int maxQueued, int queuedPerSlot) {
        this.maxQueued = maxQueued;
        this.queuedPerSlot = queuedPerSlot;
    }

    /**
     * Queues a call if it is expected to meet its deadline.
     *
     * @param call the call
     * @param deadlineMs time by which it must be answered
     * @param slots known number of slots that serve this queue
     * @param serviceMs expected service time in milliseconds
     * @param nowMs current time
     * @return whether the call was queued; if not, the caller must refuse it at once
     */
    public boolean offer(T call, long deadlineMs, int slots, double serviceMs, long nowMs) {
        return offer(call, deadlineMs, slots, 0, serviceMs, nowMs);
    }

    /**
     * Queues a call if it is expected to meet its deadline, taking into account calls of other queues that share the
     * same slots.
     *
     * @param call the call
     * @param deadlineMs time by which it must be answered
     * @param slots known number of slots that serve this queue
     * @param callsAhead calls of other queues that are served before this one
     * @param serviceMs expected service time in milliseconds
     * @param nowMs current time
     * @return whether the call was queued; if not, the caller must refuse it at once
     */
    public boolean offer(T call, long deadlineMs, int slots, int callsAhead, double serviceMs, long nowMs) {
        int precedingCalls = queue.size() + callsAhead;
        if (queue.size() >= maxQueued || precedingCalls >= (long) queuedPerSlot * slots) {
            return false;
        }
        // All slots are in use, so even the first queued call waits for a slot to become free.
        double waitMs = (precedingCalls + 1) * serviceMs / slots;
        if (nowMs + waitMs + serviceMs > deadlineMs) {
            return false;
        }
        queue.addLast(new QueuedCall<>(call, nowMs, deadlineMs));
        return true;
    }

    /** Returns the time at which the first queued call was added; {@link Long#MAX_VALUE} if the queue is empty. */
    public long oldestQueuedAtMs() {
        QueuedCall<T> first = queue.peekFirst();
        return first == null ? Long.MAX_VALUE : first.queuedAtMs();
    }

    /** Removes and returns the oldest call; empty if the queue is empty. Call {@link #expire} first. */
    public Optional<T> poll() {
        QueuedCall<T> next = queue.pollFirst();
        return next == null ? Optional.empty() : Optional.of(next.call());
    }

    /** Removes and returns all calls that cannot meet their deadline, given the expected service time. */
    public List<T> expire(double serviceMs, long nowMs) {
        List<T> expired = new ArrayList<>();
        Iterator<QueuedCall<T>> iterator = queue.iterator();
        while (iterator.hasNext()) {
            QueuedCall<T> next = iterator.next();
            if (nowMs + serviceMs > next.deadlineMs()) {
                expired.add(next.call());
                iterator.remove();
            }
        }
        return expired;
    }

    /** Removes and returns all calls. */
    public List<T> drain() {
        List<T> calls = queue.stream().map(QueuedCall::call).toList();
        queue.clear();
        return calls;
    }

    /** Returns the number of queued calls. */
    public int size() {
        return queue.size();
    }

    /** Returns the retry delay for a refused caller, in milliseconds: the time needed to serve the current queue. */
    public long estimateRetryDelayMs(int slots, double serviceMs) {
        return Math.max(MIN_RETRY_AFTER_MS, (long) Math.ceil((size() + 1) * serviceMs / Math.max(1, slots)));
    }
}
