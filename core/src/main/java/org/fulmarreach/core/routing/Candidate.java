package org.fulmarreach.core.routing;

/**
 * A target as the chooser sees it. Immutable.
 *
 * @param id id of the target's guard
 * @param zone name of its availability zone
 * @param slots requests that it handles at the same time
 * @param load calls that are estimated to hold or to be about to hold a slot
 */
public record Candidate(String id, String zone, int slots, int load) {
    /** Tells whether another call is expected to find a free slot. */
    public boolean hasRoom() {
        return load < slots;
    }

    /** Tells whether this target is filled to a lower share than {@code other}. */
    boolean isEmptierThan(Candidate other) {
        return (long) load * other.slots < (long) other.load * slots;
    }
}
