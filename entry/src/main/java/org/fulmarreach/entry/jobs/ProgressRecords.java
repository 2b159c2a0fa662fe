package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import org.fulmarreach.core.jobs.JobChange;
import org.fulmarreach.core.jobs.JobSnapshot;
import org.fulmarreach.core.jobs.StoredProgress;
import org.fulmarreach.core.jobs.TaskState;
import org.fulmarreach.core.model.Utf8;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreLimits;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.runtime.log.EventLog;

/**
 * Encodes the progress of jobs in records that the store accepts. The states of the tasks of a large job have a record
 * for each part, and only the parts that have changed are written. Checkpoints that do not fit are left out: a run that
 * another leader starts goes back to the begin, which costs less than progress that is not stored. Stateless.
 */
final class ProgressRecords {
    /** Part of a record that checkpoints may take if it is too large with all of them, as a divisor. */
    private static final int CHECKPOINT_SHARE = 2;

    private ProgressRecords() {}

    /** Returns the records of a change. Those of parts come first, so that a job is settled only after its tasks. */
    static List<KeyedRecord> encode(String jobId, JobChange change, StoreLimits limits, EventLog log) {
        JobSnapshot snapshot = change.snapshot();
        String key = JobTopics.progressKey(jobId);
        if (!change.isDivided()) {
            return List.of(encodeWithin(
                    key,
                    snapshot.tasks(),
                    states -> JobRecords.encode(new JobSnapshot(states, snapshot.settledAtMs(), snapshot.begun())),
                    limits,
                    log));
        }
        List<KeyedRecord> records = new ArrayList<>();
        for (int part : change.parts()) {
            records.add(encodeWithin(
                    JobTopics.partKey(jobId, part), snapshot.states().part(part), JobRecords::encodePart, limits, log));
        }
        records.add(new KeyedRecord(key, JobRecords.encodeDivided(snapshot)));
        return records;
    }

    /** Returns the removals of a job's progress. What tells that it is to be removed comes last. */
    static List<KeyedRecord> remove(StoredProgress progress) {
        List<KeyedRecord> removals = new ArrayList<>();
        for (String key : keysOf(progress)) {
            removals.add(KeyedRecord.removal(key));
        }
        return removals;
    }

    /** Returns the keys of a job's progress, first those of its parts. */
    static List<String> keysOf(StoredProgress progress) {
        List<String> keys = new ArrayList<>();
        progress.parts().forEach(part -> keys.add(JobTopics.partKey(progress.id(), part)));
        keys.add(JobTopics.progressKey(progress.id()));
        return keys;
    }

    private static KeyedRecord encodeWithin(
            String key,
            List<TaskState> states,
            Function<List<TaskState>, byte[]> encoder,
            StoreLimits limits,
            EventLog log) {
        KeyedRecord encoded = new KeyedRecord(key, encoder.apply(states));
        if (limits.admit(encoded)) {
            return encoded;
        }
        List<TaskState> reduced = new ArrayList<>(states);
        int left = dropLargestCheckpoints(reduced, limits.recordBytes() / CHECKPOINT_SHARE);
        log.emit(JobEvent.CHECKPOINTS_NOT_STORED, "key", key, "bytes", encoded.contentBytes(), "checkpoints", left);
        return new KeyedRecord(key, encoder.apply(reduced));
    }

    /** Drops checkpoints, the largest first, until the others have a size in total; returns how many were dropped. */
    private static int dropLargestCheckpoints(List<TaskState> states, int maxBytes) {
        List<Integer> bySize = new ArrayList<>();
        long bytes = 0;
        for (int i = 0; i < states.size(); i++) {
            bySize.add(i);
            bytes += Utf8.length(states.get(i).checkpoint());
        }
        bySize.sort(Comparator.comparingInt(
                (Integer i) -> -states.get(i).checkpoint().length()));
        int dropped = 0;
        while (bytes > maxBytes) {
            int largest = bySize.get(dropped);
            bytes -= Utf8.length(states.get(largest).checkpoint());
            states.set(largest, states.get(largest).withCheckpoint(""));
            dropped++;
        }
        return dropped;
    }
}
