package org.fulmarreach.core.cost;

/**
 * What a request asks of a pool, and by when. Immutable.
 */
public sealed interface Claim {
    /** Returns the priority of the queue; 0 is the highest. */
    int priority();

    /**
     * Claim of a request that ends.
     *
     * @param priority priority of its queue; 0 is the highest
     * @param targetInMs time left until its target completion time, in milliseconds; negative if that has passed
     * @param uselessInMs time left until its result is of no use to the caller, in milliseconds
     * @param remainingMs time that its critical path still takes once it has room, in milliseconds
     * @param remainingCoreMs work that it still needs, in core-milliseconds
     * @param totalCoreMs all of its work, in core-milliseconds
     */
    record Finite(
            int priority,
            long targetInMs,
            long uselessInMs,
            long remainingMs,
            double remainingCoreMs,
            double totalCoreMs)
            implements Claim {}

    /**
     * Claim of tasks that run until they are cancelled. They are worth what they run for, so a delay costs only the
     * time of the delay.
     *
     * @param priority priority of its queue; 0 is the highest
     * @param milliCores processors of one task, in thousandths of a core
     */
    record Standing(int priority, int milliCores) implements Claim {}
}
