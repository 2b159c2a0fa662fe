package org.fulmarreach.entry.jobs;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.fulmarreach.core.jobs.EvacuatedZones;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.OperatorKeys;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Keeps which availability zones the operators' records evacuate. The last known evacuations hold while the store does
 * not answer. Confined to one actor.
 */
final class EvacuationRecords {
    private final MonotonicClock clock;
    private final EventLog log;
    private EvacuatedZones zones = EvacuatedZones.NONE;

    EvacuationRecords(MonotonicClock clock, EventLog log) {
        this.clock = clock;
        this.log = log;
    }

    EvacuatedZones zones() {
        return zones;
    }

    /** Returns the keys that evacuate zones, so that their removal is noticed if the tail starts over. */
    Set<String> keys() {
        return zones.zones().stream().map(OperatorKeys::evacuationOf).collect(Collectors.toSet());
    }

    /** Applies the records of an update in their order; returns whether the evacuated zones have changed. */
    boolean apply(LogTail.Update update) {
        EvacuatedZones before = zones;
        for (KeyedRecord record : update.records()) {
            if (OperatorKeys.isEvacuation(record.key())) {
                applyRecord(record);
            }
        }
        if (zones.equals(before)) {
            return false;
        }
        log.emit(
                JobEvent.EVACUATIONS_READ,
                "zones",
                zones.sorted(),
                "before",
                before.sorted(),
                "sentAgoMs",
                clock.nowMs() - update.times().sentAtMs(),
                "answeredAgoMs",
                clock.nowMs() - update.times().answeredAtMs());
        return true;
    }

    private void applyRecord(KeyedRecord record) {
        Optional<String> zone = OperatorKeys.findEvacuatedZone(record.key());
        if (zone.isEmpty()) {
            log.emit(JobEvent.RECORD_SKIPPED, "key", record.key(), "reason", "an evacuation names no zone");
        } else if (record.isRemoval()) {
            zones = zones.withReopened(zone.get(), clock.nowMs());
        } else if (!zones.contains(zone.get())) {
            zones = zones.withEvacuated(zone.get());
        }
    }
}
