package org.fulmarreach.entry.jobs;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

import org.fulmarreach.core.jobs.EvacuatedZones;
import org.fulmarreach.core.jobs.JobConfig;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.platform.ingress.JobCodec;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Follows the operators' configuration. The newest version that was read stays active, however old it is; whether a
 * newer one may be in force by the operators' bound is known and logged. It also follows the operators' evacuations of
 * zones. Changes are passed to the scheduler while this entry leads. Confined to one actor.
 */
final class ConfigFollower {
    private final LogTail tail;
    private final ConfigReadBudget budget;
    private final EvacuationRecords evacuations;
    private final Consumer<LogTail.Update> read;
    private final MonotonicClock clock;
    private final EventLog log;
    private LeaderTerm leader;
    private JobConfig active;
    private boolean outdated;
    private boolean readsOften;

    /**
     * Constructs a follower that reads nothing until {@link #load}.
     *
     * @param mailbox sends messages to the actor that owns the follower
     * @param budget time limits of the reads
     * @param random source of the jitter of retries
     * @param read receives each update after it was applied
     */
    ConfigFollower(
            StoreClient store,
            TailMailbox mailbox,
            ConfigReadBudget budget,
            Random random,
            Consumer<LogTail.Update> read,
            MonotonicClock clock,
            EventLog log) {
        this.budget = budget;
        this.evacuations = new EvacuationRecords(clock, log);
        this.read = read;
        this.clock = clock;
        this.log = log;
        this.tail = new LogTail(
                TopicPartition.OPERATOR,
                store,
                mailbox,
                log,
                clock,
                budget.times(),
                random,
                evacuations::keys,
                this::onUpdate);
    }

    /** Starts reading. */
    void load() {
        tail.reload();
    }

    /**
     * Passes the evacuated zones, and from now on each change, to the scheduler of a term. Where zones may be
     * evacuated, the partition is read more often, since starts wait for the view of a leader to be recent enough.
     */
    void startLeading(LeaderTerm term, JobTimeLimits limits) {
        leader = term;
        term.scheduler().evacuate(evacuations.zones(), clock.nowMs());
        if (limits.hasEvacuations()) {
            readsOften = true;
            tail.setTimes(budget.times().withMaxWaitMs((int) limits.evacuationReadWaitMs()));
        }
    }

    /** Ends what {@link #startLeading} has begun. */
    void stopLeading() {
        leader = null;
        if (readsOften) {
            readsOften = false;
            tail.setTimes(budget.times());
        }
    }

    /** Returns the evacuated zones, according to the last read that succeeded. */
    EvacuatedZones evacuatedZones() {
        return evacuations.zones();
    }

    /** Returns the active configuration; null before the first was read. */
    JobConfig active() {
        return active;
    }

    /** Returns the time from the confirmation of a version until it must be in force, in milliseconds. */
    int applyMs() {
        return budget.applyMs();
    }

    boolean isLoaded() {
        return tail.isLoaded();
    }

    /** Returns for how long a record of the operators may have been confirmed without being known, in milliseconds. */
    long ageMs() {
        return tail.ageMs();
    }

    /** Returns the time up to which all confirmed versions are known, as a reading of the monotonic clock. */
    long knownUpToMs() {
        return clock.nowMs() - tail.ageMs();
    }

    /** Tells whether a version that was confirmed so long ago that it must be in force may be unknown here. */
    boolean isOutdated() {
        return active != null && tail.ageMs() > budget.applyMs();
    }

    /** Logs when the configuration begins or ceases to be older than allowed; called periodically. */
    void checkAge() {
        if (isOutdated() == outdated) {
            return;
        }
        outdated = !outdated;
        if (outdated) {
            log.emit(
                    JobEvent.CONFIG_OUTDATED,
                    "version",
                    active.version(),
                    "ageMs",
                    tail.ageMs(),
                    "boundMs",
                    budget.applyMs(),
                    "reason",
                    tail.isFailing() ? tail.failure() : "the read has not ended, or was not handled yet");
        } else {
            log.emit(JobEvent.CONFIG_CURRENT, "version", active.version(), "ageMs", tail.ageMs());
        }
    }

    private void onUpdate(LogTail.Update update) {
        if (evacuations.apply(update) && leader != null) {
            leader.scheduler().evacuate(evacuations.zones(), clock.nowMs());
            leader.decide();
        }
        activateNewest(update);
        checkAge();
        read.accept(update);
    }

    /** Only the last version counts. Decoding costs a large configuration's time, so earlier ones are not decoded. */
    private void activateNewest(LogTail.Update update) {
        List<KeyedRecord> versions = update.records().stream()
                .filter(entry -> entry.key().equals(TopicPartition.CONFIG_KEY) && !entry.isRemoval())
                .toList();
        for (int i = versions.size() - 1; i >= 0; i--) {
            Optional<JobConfig> decoded = decode(versions.get(i));
            if (decoded.isPresent()) {
                activate(decoded.get(), i, update.times());
                return;
            }
        }
    }

    private Optional<JobConfig> decode(KeyedRecord record) {
        try {
            return Optional.of(JobCodec.decodeConfig(
                    record.value(), reason -> log.emit(JobEvent.CONFIG_PART_SKIPPED, "reason", reason)));
        } catch (IOException e) {
            log.emit(JobEvent.CONFIG_UNREADABLE, "reason", e.getMessage());
            return Optional.empty();
        }
    }

    private void activate(JobConfig config, int skipped, LogTail.ReadTimes times) {
        if (active != null && config.version() <= active.version()) {
            return;
        }
        active = config;
        long nowMs = clock.nowMs();
        log.emit(
                JobEvent.CONFIG_IN_FORCE,
                "version",
                config.version(),
                "queues",
                config.queues().size(),
                "skippedVersions",
                skipped,
                "sentAgoMs",
                nowMs - times.sentAtMs(),
                "answeredAgoMs",
                nowMs - times.answeredAtMs());
        if (leader != null) {
            leader.scheduler().configure(config);
            leader.decide();
        }
    }
}
