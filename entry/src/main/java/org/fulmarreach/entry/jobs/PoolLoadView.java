package org.fulmarreach.entry.jobs;

import java.util.Optional;
import java.util.function.Supplier;

import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.core.jobs.JobAdmission;
import org.fulmarreach.core.jobs.JobScheduler;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.overload.AdmissionDecision;
import org.fulmarreach.core.overload.AdmissionGate;
import org.fulmarreach.core.overload.PoolLoad;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.protocol.io.PoolLoadRecords;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * The load of the pools as known to this entry: its own measurement while it leads, otherwise the last record of a
 * leader. A record counts only if the one before it has arrived within {@link PoolLoad#VALID_MS}, and not together with
 * it: an entry that starts or returns reads several records of any age at once. Confined to one actor.
 */
final class PoolLoadView {
    /** Least time between arrivals for each record written; a part of the interval at which records are written. */
    private static final long MIN_INTERVAL_MS = 100;

    private final Supplier<Optional<JobScheduler>> leading;
    private final MonotonicClock clock;
    private final EventLog log;
    private PoolLoadRecords.Stored newest;
    private long arrivedAtMs;
    private boolean followsAnother;

    /**
     * Constructs the view of an entry that has read no record.
     *
     * @param leading returns the scheduler while this entry leads
     */
    PoolLoadView(Supplier<Optional<JobScheduler>> leading, MonotonicClock clock, EventLog log) {
        this.leading = leading;
        this.clock = clock;
        this.log = log;
    }

    /** Takes a record of the load; one that cannot be decoded, or is no newer than the last, is ignored. */
    void onRecord(KeyedRecord entry) {
        if (entry.isRemoval()) {
            return;
        }
        PoolLoadRecords.Stored read;
        try {
            read = PoolLoadRecords.decode(entry.value());
        } catch (FrameException e) {
            log.emit(JobEvent.RECORD_SKIPPED, "key", entry.key(), "reason", e.getMessage());
            return;
        }
        boolean sameTerm = newest != null && newest.term() == read.term();
        if (newest != null && (read.term() < newest.term() || sameTerm && read.number() <= newest.number())) {
            return;
        }
        long nowMs = clock.nowMs();
        boolean wasShort = newest != null && newest.load().isShort();
        long elapsedMs = nowMs - arrivedAtMs;
        followsAnother = sameTerm
                && elapsedMs <= PoolLoad.VALID_MS
                && elapsedMs / MIN_INTERVAL_MS >= read.number() - newest.number();
        newest = read;
        arrivedAtMs = nowMs;
        if (wasShort != read.load().isShort()) {
            log.emit(JobEvent.POOL_LOAD_CHANGED, "term", read.term(), "record", read.number(), "load", read.load());
        }
    }

    /** Decides whether a job is accepted. */
    AdmissionDecision decide(JobSpec job) {
        Optional<JobScheduler> own = leading.get();
        PoolLoad load = own.map(JobScheduler::poolLoad).orElseGet(this::stored);
        if (!load.isShort()) {
            return new AdmissionDecision.Accept();
        }
        return JobAdmission.request(job)
                .map(request -> AdmissionGate.decide(request, load, ageMs(own)))
                .orElseGet(AdmissionDecision.Accept::new);
    }

    /** Returns a text for the operators' state page. */
    String describe() {
        Optional<JobScheduler> own = leading.get();
        if (own.isEmpty() && newest == null) {
            return "none";
        }
        PoolLoad load = own.map(JobScheduler::poolLoad).orElseGet(() -> newest.load());
        boolean counts = ageMs(own) <= PoolLoad.VALID_MS && (own.isPresent() || followsAnother);
        return (counts ? "valid" : "outdated") + ",ageMs:" + ageMs(own) + "," + load;
    }

    /*
     * Helpers
     */

    private PoolLoad stored() {
        return newest == null || !followsAnother ? PoolLoad.NO_SHORTAGE : newest.load();
    }

    private long ageMs(Optional<JobScheduler> own) {
        return clock.nowMs() - own.map(JobScheduler::poolLoadMeasuredAtMs).orElse(arrivedAtMs);
    }
}
