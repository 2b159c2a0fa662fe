package org.fulmarreach.core.admission;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.InvariantViolationException;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.model.Target;

/**
 * Concurrency limit for the target of one guard, in slots and connections. A call holds a slot and a connection from
 * its admission until the target has answered or the connection to it has ended, even if the caller gives up earlier.
 * Not thread-safe: confined to one thread.
 */
public final class CallAdmission {
    private static final double SERVICE_TIME_SMOOTHING_FACTOR = 0.1;
    private static final long NO_TARGET_RETRY_DELAY_MS = 1_000;
    private static final double INITIAL_SERVICE_MS = 50;

    private int slots;
    private int connections;
    private int inUse;
    private double serviceMs = INITIAL_SERVICE_MS;

    /** Sets the slots and connections that the target announces. A lower limit applies to new calls only. */
    public void applyTarget(Target target) {
        slots = Math.max(0, target.slots());
        connections = Math.max(0, target.connections());
    }

    /** Marks the target as unresponsive; no call is admitted until the target announces itself again. */
    public void markUnready() {
        slots = 0;
        connections = 0;
    }

    /**
     * Acquires a slot and its connection.
     *
     * @return the number of slots in use, or {@code NO_TARGET} or {@code NO_CAPACITY} with a retry delay
     */
    public Result<Integer> acquire() {
        int maxConcurrentCalls = maxConcurrentCalls();
        if (maxConcurrentCalls == 0) {
            return Result.err(Problem.of(ErrorCode.NO_TARGET, "The target is not ready.")
                    .withRetryAfterMs(NO_TARGET_RETRY_DELAY_MS));
        }
        if (inUse >= maxConcurrentCalls) {
            return Result.err(createFullProblem());
        }
        inUse++;
        if (inUse > slots || inUse > connections) {
            throw new InvariantViolationException(
                    "I1: " + inUse + " calls admitted with " + slots + " slots and " + connections + " connections");
        }
        return Result.ok(inUse);
    }

    /**
     * Releases a slot after its call has ended.
     *
     * @param measuredMs measured service time in milliseconds
     */
    public void release(long measuredMs) {
        if (inUse == 0) {
            throw new InvariantViolationException("I1: a slot was released, but none is in use");
        }
        inUse--;
        serviceMs += SERVICE_TIME_SMOOTHING_FACTOR * (measuredMs - serviceMs);
    }

    /** Releases the slot of a call that was not sent, so that there is no measured service time. */
    public void cancel() {
        release(Math.round(serviceMs));
    }

    /** Returns the expected time until a slot becomes free, in milliseconds: service time divided by slots. */
    public long estimateRetryDelayMs() {
        return Math.max(1, Math.round(serviceMs / Math.max(1, Math.min(slots, connections))));
    }

    /** Returns the problem for a call that is refused because no slot becomes free in time. */
    public Problem createFullProblem() {
        return Problem.of(ErrorCode.NO_CAPACITY, "All " + maxConcurrentCalls() + " slots are in use.")
                .withRetryAfterMs(estimateRetryDelayMs());
    }

    /** Returns the maximum number of concurrent calls; 0 if the target is not ready. */
    public int maxConcurrentCalls() {
        return Math.min(slots, connections);
    }

    /** Returns the estimated service time in milliseconds, an exponential moving average. */
    public double serviceMs() {
        return serviceMs;
    }

    /** Returns the number of calls that hold a slot. */
    public int inUse() {
        return inUse;
    }

    /** Returns the number of slots that the target announces; 0 if it is not ready. */
    public int slots() {
        return slots;
    }

    /** Returns the number of connections that the target announces; 0 if it is not ready. */
    public int connections() {
        return connections;
    }
}
