package org.fulmarreach.entry.jobs;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.fulmarreach.core.jobs.JobBatch;
import org.fulmarreach.core.jobs.JobOrder;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreLimits;
import org.fulmarreach.protocol.io.JobTopics;

/** A batch of a leader whose records are being appended, in one or more appends. Not thread-safe. */
final class BatchInFlight {
    private final JobBatch batch;
    private final PendingAppends appends;
    private final boolean resigning;
    private boolean withheld;
    private final Set<String> droppedJobs = new HashSet<>();

    /**
     * Constructs a batch of which nothing is stored.
     *
     * @param records records of the batch
     * @param withheld whether one of them is that of the withheld leases
     * @param resigning whether a resignation goes with the last append
     */
    BatchInFlight(JobBatch batch, List<KeyedRecord> records, boolean withheld, boolean resigning, StoreLimits limits) {
        this.batch = batch;
        this.appends = new PendingAppends(records, limits);
        this.withheld = withheld;
        this.resigning = resigning;
    }

    List<KeyedRecord> next() {
        return appends.next();
    }

    /** Tells whether the resignation goes with the next append. */
    boolean isResignationNext() {
        return resigning && appends.isLast();
    }

    boolean isResigning() {
        return resigning;
    }

    /** Tells whether a record of withheld leases is stored with the batch. */
    boolean storesWithheldLeases() {
        return withheld;
    }

    void onStored() {
        appends.onStored();
    }

    /** Divides the next append, which the store will never accept; returns a record that is dropped. */
    Optional<KeyedRecord> onInvalid() {
        Optional<KeyedRecord> dropped = appends.onInvalid();
        dropped.map(KeyedRecord::key).ifPresent(key -> {
            withheld &= !key.equals(JobTopics.WITHHELD_KEY);
            if (JobTopics.isProgress(key)) {
                droppedJobs.add(JobTopics.jobId(key));
            } else if (JobTopics.isPart(key)) {
                droppedJobs.add(JobTopics.jobIdOfPart(key));
            }
        });
        return dropped;
    }

    boolean isStored() {
        return appends.isEmpty();
    }

    /** Returns the batch without the jobs of which a record was dropped. */
    JobBatch storedBatch() {
        return batch.without(droppedJobs);
    }

    /** Returns the starts of the jobs of which a record was dropped; they must not be sent. */
    List<JobOrder.Start> droppedStarts() {
        return batch.startsOf(droppedJobs);
    }
}
