package org.fulmarreach.core.admission;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.InvariantViolationException;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.model.Target;

/**
 * Slots and connections of the target beside one guard. A slot and its connection are held from the admission of a call
 * until the target answered or its connection ended, whatever the caller does. Owned by one thread.
 */
public final class CallAdmission {
    private static final double SERVICE_TIME_WEIGHT = 0.1;
    private static final long NO_TARGET_RETRY_MS = 1_000;
    private static final double FIRST_SERVICE_MS = 50;

    private int slots;
    private int connections;
    private int inUse;
    private double serviceMs = FIRST_SERVICE_MS;

    /** Sets what the target announces. A lower number applies to new calls only. */
    public void applyTarget(Target target) {
        slots = Math.max(0, target.slots());
        connections = Math.max(0, target.connections());
    }

    /** Notes that the target does not answer; no call is admitted until it announces itself again. */
    public void markUnready() {
        slots = 0;
        connections = 0;
    }

    /**
     * Takes a slot with its connection.
     *
     * @return the slots in use, or {@code NO_TARGET} or {@code NO_CAPACITY} with the time to come back
     */
    public Result<Integer> acquire() {
        int room = room();
        if (room == 0) {
            return Result.err(
                    Problem.of(ErrorCode.NO_TARGET, "The target is not ready.").withRetryAfterMs(NO_TARGET_RETRY_MS));
        }
        if (inUse >= room) {
            return Result.err(describeFull());
        }
        inUse++;
        if (inUse > slots || inUse > connections) {
            throw new InvariantViolationException(
                    "I1: " + inUse + " calls on " + slots + " slots and " + connections + " connections");
        }
        return Result.ok(inUse);
    }

    /**
     * Gives a slot back.
     *
     * @param measuredMs time that the target took, in milliseconds
     */
    public void release(long measuredMs) {
        if (inUse == 0) {
            throw new InvariantViolationException("I1: a slot was released that was not held");
        }
        inUse--;
        serviceMs += SERVICE_TIME_WEIGHT * (measuredMs - serviceMs);
    }

    /** Gives a slot back whose call was not sent; its time is not measured. */
    public void cancel() {
        release(Math.round(serviceMs));
    }

    /** Returns the time until a slot becomes free on average, in milliseconds: service time over slots. */
    public long estimateRetryMs() {
        return Math.max(1, Math.round(serviceMs / Math.max(1, Math.min(slots, connections))));
    }

    /** Returns the refusal of a call for which no slot becomes free in time. */
    public Problem describeFull() {
        return Problem.of(ErrorCode.NO_CAPACITY, "All " + room() + " slots are in use.")
                .withRetryAfterMs(estimateRetryMs());
    }

    /** Returns how many calls may run at the same time. */
    public int room() {
        return Math.min(slots, connections);
    }

    /** Returns the service time that is expected, in milliseconds. */
    public double serviceMs() {
        return serviceMs;
    }

    /** Returns the calls that hold a slot. */
    public int inUse() {
        return inUse;
    }

    /** Returns the slots that the target announces; 0 when it is not ready. */
    public int slots() {
        return slots;
    }

    /** Returns the connections that the target announces; 0 when it is not ready. */
    public int connections() {
        return connections;
    }
}
