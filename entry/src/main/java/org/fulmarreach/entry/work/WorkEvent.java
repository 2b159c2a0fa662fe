package org.fulmarreach.entry.work;

import java.util.logging.Level;

import org.fulmarreach.core.work.WorkNotice;
import org.fulmarreach.runtime.log.Event;

/** Events of shards, batch and standing work. */
public enum WorkEvent implements Event {
    /** Claim accepted. */
    SHARD_LEADING(2101, Level.INFO, "This entry leads a shard."),
    /** Another claim accepted, or resigned. */
    SHARD_DEPOSED(2102, Level.INFO, "This entry leads a shard no longer."),
    /** Leading without the store. */
    SHARD_OUTAGE_ENTERED(
            2103, Level.WARNING, "The store takes no records of a shard; running work goes on, nothing new starts."),
    /** Store back. */
    SHARD_OUTAGE_ENDED(2104, Level.INFO, "The store takes the records of a shard again."),
    /** Truncated log without a snapshot. */
    SHARD_NO_SNAPSHOT(
            2105,
            Level.SEVERE,
            "The kept log of a shard has no snapshot, so the shard makes no decisions. Raise the retention time of the "
                    + "log, end the shard's running work, and delete its stream."),
    /** Predecessors settled. */
    SHARD_SETTLED(2106, Level.INFO, "No earlier leader of a shard can have a valid grant any more."),
    /** Malformed record. */
    SHARD_RECORD_SKIPPED(2107, Level.SEVERE, "A record of a shard could not be decoded and has no effect."),
    /** VM lost. */
    PLACEMENT_LOST(
            2110,
            Level.WARNING,
            "A placement was given up because its VM cannot be reached; the run is placed " + "again."),
    /** Quarantine. */
    WORK_QUARANTINED(
            2111,
            Level.WARNING,
            "A run failed on several VMs and is not started again. Correct its task and cancel it."),
    /** Eviction. */
    WORK_EVICTED(
            2112, Level.INFO, "A run is stopped with a checkpoint, since it slows a service in spite of throttling."),
    /** Deadline at risk. */
    WORK_AT_RISK(2113, Level.WARNING, "A run cannot meet its deadline or fits on no VM. Change its rule, or add VMs."),
    /** VM ejected. */
    VM_EJECTED(2114, Level.WARNING, "A VM fails the tasks that it starts and gets only probes. Check its worker."),
    /** Shard stopped. */
    SHARD_STOPPED(2115, Level.SEVERE, "The part that follows a shard has stopped after an error; restart this entry.");

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

    /** Returns the event for what a shard leader tells. */
    static WorkEvent of(WorkNotice notice) {
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
