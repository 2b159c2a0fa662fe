package org.fulmarreach.entry.jobs;

import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.core.jobs.JobScheduler;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.runtime.log.EventLog;

/**
 * Keeps the newest records in which leaders have stored what they have learned, for the next term of this entry. They
 * are decoded only when it begins. The load of the pools is passed on at once. Confined to one actor.
 */
final class HandedOnRecords {
    private final PoolLoadView poolLoad;
    private final EventLog log;
    private byte[] interference;

    HandedOnRecords(PoolLoadView poolLoad, EventLog log) {
        this.poolLoad = poolLoad;
        this.log = log;
    }

    /** Takes a record of the partition of progress; those of other kinds are ignored. */
    void onRecord(KeyedRecord entry) {
        if (entry.key().equals(JobTopics.INTERFERENCE_KEY) && !entry.isRemoval()) {
            interference = entry.value();
        } else if (entry.key().equals(JobTopics.POOL_LOAD_KEY)) {
            poolLoad.onRecord(entry);
        }
    }

    /** Passes what former leaders have learned to the scheduler of a new term. */
    void restore(JobScheduler scheduler) {
        if (interference != null) {
            try {
                scheduler.restoreInterference(JobRecords.decodeInterference(interference));
            } catch (FrameException e) {
                log.emit(JobEvent.RECORD_SKIPPED, "key", JobTopics.INTERFERENCE_KEY, "reason", e.getMessage());
            }
        }
    }
}
