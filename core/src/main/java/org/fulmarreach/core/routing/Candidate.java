package org.fulmarreach.core.routing;

/**
 * Load of one target, the input of {@link TargetChooser}. Immutable.
 *
 * @param id id of the target's guard
 * @param zone name of its availability zone
 * @param slots number of requests that it handles concurrently
 * @param load estimated number of calls that hold a slot or are on their way to one
 */
public record Candidate(String id, String zone, int slots, int load) {
    /** Returns whether another call is expected to find a free slot. */
    public boolean hasFreeSlot() {
        return load < slots;
    }

    /** Returns whether the utilization of this target is lower than that of {@code other}. */
    boolean isLessUtilizedThan(Candidate other) {
        return (long) load * other.slots < (long) other.load * slots;
    }
}
