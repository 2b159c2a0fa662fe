package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.fulmarreach.core.jobs.JobBatch;
import org.fulmarreach.core.jobs.JobScheduler;
import org.fulmarreach.core.jobs.LearnedInterference;
import org.fulmarreach.core.jobs.WithheldLeases;
import org.fulmarreach.core.overload.PoolLoad;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreLimits;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.io.PoolLoadRecords;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/** Encodes the records that a leader appends in one term. Confined to one actor. */
final class LeaderRecords {
    /** Keep-alive interval: three fit into the 1.5 s without a record after which another entry starts an election. */
    static final int KEEP_ALIVE_MS = 400;

    /** Interval at which the load of the pools is stored while one is short of room. */
    private static final int LOAD_INTERVAL_MS = 500;

    /** Interval at which what is learned of interference is stored; it changes within seconds. */
    private static final int LEARNED_INTERVAL_MS = 3_000;

    private final long term;
    private final Supplier<KeyedRecord> leaderRecord;
    private final JobScheduler scheduler;
    private final StoreLimits limits;
    private final MonotonicClock clock;
    private final EventLog log;
    private byte[] writtenLeaderRecord = {};
    private long leaderWrittenAtMs = Long.MIN_VALUE / 2;
    private long learnedTakenAtMs;
    private long loadWrittenAtMs = Long.MIN_VALUE / 2;
    private long loadNumber;
    private boolean shortageWritten;

    /**
     * Constructs the encoder of a term that begins now.
     *
     * @param leaderRecord record that names this entry as leader; written when it has changed, and as keep-alive
     */
    LeaderRecords(
            long term,
            Supplier<KeyedRecord> leaderRecord,
            JobScheduler scheduler,
            StoreLimits limits,
            MonotonicClock clock,
            EventLog log) {
        this.limits = limits;
        this.log = log;
        this.term = term;
        this.leaderRecord = leaderRecord;
        this.scheduler = scheduler;
        this.clock = clock;
        this.learnedTakenAtMs = clock.nowMs();
    }

    /**
     * Encodes a batch, with the record of the leader if that is due.
     *
     * @param withheld bounds on the leases of silent guards, if they are to be stored
     * @param resigning whether the batch carries a resignation, which is encoded for each attempt
     */
    List<KeyedRecord> encode(JobBatch batch, Optional<Map<String, Long>> withheld, boolean resigning) {
        List<KeyedRecord> records = new ArrayList<>();
        batch.progress().forEach((id, change) -> records.addAll(ProgressRecords.encode(id, change, limits, log)));
        batch.removed().forEach(progress -> records.addAll(ProgressRecords.remove(progress)));
        withheld.ifPresent(bounds -> records.add(
                new KeyedRecord(JobTopics.WITHHELD_KEY, JobRecords.encode(new WithheldLeases(term, bounds)))));
        takeLearnedInterference(resigning).ifPresent(records::add);
        if (!resigning) {
            takePoolLoad().ifPresent(records::add);
            KeyedRecord leader = leaderRecord.get();
            boolean changed = !Arrays.equals(leader.value(), writtenLeaderRecord);
            if (records.isEmpty() || changed && clock.nowMs() - leaderWrittenAtMs >= KEEP_ALIVE_MS) {
                writtenLeaderRecord = leader.value();
                leaderWrittenAtMs = clock.nowMs();
                records.add(leader);
            }
        }
        return records;
    }

    /** Encodes the resignation for one attempt to store it: leases may have been granted since the last one. */
    List<KeyedRecord> encodeResignation() {
        WithheldLeases all = new WithheldLeases(term, scheduler.findLeaseBounds(clock.nowMs()));
        return List.of(
                new KeyedRecord(JobTopics.WITHHELD_KEY, JobRecords.encode(all)),
                new KeyedRecord(JobTopics.LEADER_KEY, JobRecords.encodeLeader(term, "", "")));
    }

    /** Returns the load of the pools, at intervals while one is short of room, and once when none is any more. */
    private Optional<KeyedRecord> takePoolLoad() {
        PoolLoad load = scheduler.poolLoad();
        boolean due = load.isShort() ? clock.nowMs() - loadWrittenAtMs >= LOAD_INTERVAL_MS : shortageWritten;
        if (!due) {
            return Optional.empty();
        }
        loadWrittenAtMs = clock.nowMs();
        shortageWritten = load.isShort();
        loadNumber++;
        byte[] value = PoolLoadRecords.encode(new PoolLoadRecords.Stored(term, loadNumber, load));
        return Optional.of(new KeyedRecord(JobTopics.POOL_LOAD_KEY, value));
    }

    /** Returns what the next leader should know of interference, at intervals and with a resignation. */
    private Optional<KeyedRecord> takeLearnedInterference(boolean resigning) {
        long nowMs = clock.nowMs();
        if (!resigning && nowMs - learnedTakenAtMs < LEARNED_INTERVAL_MS) {
            return Optional.empty();
        }
        learnedTakenAtMs = nowMs;
        LearnedInterference learned = scheduler.learnedInterference();
        KeyedRecord encoded = encode(learned);
        while (!limits.admit(encoded) && !learned.isEmpty()) {
            learned = learned.firstHalf();
            encoded = encode(learned);
        }
        return learned.isEmpty() ? Optional.empty() : Optional.of(encoded);
    }

    private static KeyedRecord encode(LearnedInterference learned) {
        return new KeyedRecord(JobTopics.INTERFERENCE_KEY, JobRecords.encode(learned));
    }
}
