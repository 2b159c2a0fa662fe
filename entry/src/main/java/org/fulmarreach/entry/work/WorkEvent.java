package org.fulmarreach.entry.work;

import java.util.logging.Level;

import org.fulmarreach.core.work.WorkNotice;
import org.fulmarreach.runtime.log.Event;

/** Events of shards, batch and standing work. Each constant's description is its documentation. */
public enum WorkEvent implements Event {
    /** A claim of this entry was accepted. */
    SHARD_LEADING(2101, Level.INFO, "This entry leads a shard."),
    /** A claim of another entry was accepted, or this entry resigned. */
    SHARD_DEPOSED(2102, Level.INFO, "This entry no longer leads a shard."),
    SHARD_OUTAGE_ENTERED(
            2103,
            Level.WARNING,
            "The store does not accept records of a shard; running work continues, and nothing new starts."),
    SHARD_OUTAGE_ENDED(2104, Level.INFO, "The store accepts the records of a shard again."),
    SHARD_NO_SNAPSHOT(
            2105,
            Level.SEVERE,
            "The retained log of a shard has no snapshot, so the shard makes no decisions. Increase the retention time "
                    + "of the log, stop the shard's running work, and delete its stream."),
    SHARD_SETTLED(2106, Level.INFO, "No grant of an earlier leader of a shard can be valid any more."),
    SHARD_RECORD_SKIPPED(2107, Level.SEVERE, "A record of a shard could not be decoded and has no effect."),
    PLACEMENT_LOST(
            2110, Level.WARNING, "A placement was released because its VM cannot be reached; the run is placed again."),
    WORK_QUARANTINED(
            2111,
            Level.WARNING,
            "A run failed on several VMs and will not be started again. Correct its task and cancel it."),
    WORK_EVICTED(2112, Level.INFO, "A run is stopped with a checkpoint because it slows a service despite throttling."),
    WORK_AT_RISK(2113, Level.WARNING, "A run cannot meet its deadline or fits on no VM. Change its rule, or add VMs."),
    VM_EJECTED(
            2114,
            Level.WARNING,
            "A VM's worker fails the tasks that it starts; the VM gets no new tasks except probes. Check the worker."),
    SHARD_STOPPED(2115, Level.SEVERE, "The actor that follows a shard has stopped after an error; restart this entry.");

    private final int number;
    private final Level level;
    private final String description;

    WorkEvent(int number, Level level, String description) {
        this.number = number;
        this.level = level;
        this.description = description;
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public Level level() {
        return level;
    }

    @Override
    public String description() {
        return description;
    }

    /** Returns the event that corresponds to a notice of a shard leader. */
    static WorkEvent fromNotice(WorkNotice notice) {
        return switch (notice) {
            case LEADING -> SHARD_LEADING;
            case DEPOSED -> SHARD_DEPOSED;
            case NO_SNAPSHOT -> SHARD_NO_SNAPSHOT;
            case OUTAGE_ENTERED -> SHARD_OUTAGE_ENTERED;
            case OUTAGE_ENDED -> SHARD_OUTAGE_ENDED;
            case PLACEMENT_LOST -> PLACEMENT_LOST;
            case QUARANTINED -> WORK_QUARANTINED;
            case EVICTED -> WORK_EVICTED;
            case DEADLINE_AT_RISK -> WORK_AT_RISK;
            case VM_EJECTED -> VM_EJECTED;
            case SETTLED -> SHARD_SETTLED;
        };
    }
}
