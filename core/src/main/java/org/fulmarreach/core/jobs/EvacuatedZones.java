package org.fulmarreach.core.jobs;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Availability zones that operators have evacuated: nothing is started in them until the evacuation is taken back.
 * Immutable.
 *
 * @param zones names of the evacuated zones
 * @param reopenedAtMs when the evacuations of other zones were seen to be taken back, as readings of the monotonic
 *     clock in milliseconds
 */
public record EvacuatedZones(Set<String> zones, Map<String, Long> reopenedAtMs) {
    /** No zone is evacuated, and none has been. */
    public static final EvacuatedZones NONE = new EvacuatedZones(Set.of(), Map.of());

    /** Copies the collections. */
    public EvacuatedZones {
        zones = Set.copyOf(zones);
        reopenedAtMs = Map.copyOf(reopenedAtMs);
    }

    /** Tells whether a zone is evacuated. */
    public boolean contains(String zone) {
        return zones.contains(zone);
    }

    /** Returns the names of the evacuated zones in alphabetical order, for texts. */
    public Set<String> sorted() {
        return new TreeSet<>(zones);
    }

    /** Returns a copy in which a zone is evacuated as well. */
    public EvacuatedZones withEvacuated(String zone) {
        Set<String> newZones = new TreeSet<>(zones);
        newZones.add(zone);
        Map<String, Long> newReopened = new HashMap<>(reopenedAtMs);
        newReopened.remove(zone);
        return new EvacuatedZones(newZones, newReopened);
    }

    /** Returns a copy in which the evacuation of a zone is taken back; the same object if the zone is not evacuated. */
    public EvacuatedZones withReopened(String zone, long nowMs) {
        if (!contains(zone)) {
            return this;
        }
        Set<String> newZones = new TreeSet<>(zones);
        newZones.remove(zone);
        Map<String, Long> newReopened = new HashMap<>(reopenedAtMs);
        newReopened.put(zone, nowMs);
        return new EvacuatedZones(newZones, newReopened);
    }
}
