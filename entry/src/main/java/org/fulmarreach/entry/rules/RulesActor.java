package org.fulmarreach.entry.rules;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.rules.ParseResult;
import org.fulmarreach.core.rules.RuleBook;
import org.fulmarreach.core.rules.RulesInForce;
import org.fulmarreach.core.rules.RulesOutcome;
import org.fulmarreach.core.rules.RulesParser;
import org.fulmarreach.core.rules.RulesRecord;
import org.fulmarreach.entry.EntryEvent;
import org.fulmarreach.entry.store.StreamFollower;
import org.fulmarreach.entry.store.StreamReadResult;
import org.fulmarreach.platform.LogBatch;
import org.fulmarreach.platform.LogClient;
import org.fulmarreach.protocol.io.RulesRecords;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Actor that owns the rules in force: follows the stream "rules", publishes changes and writes snapshots. Subscribers
 * are not notified until the rules have been loaded from the stream or from a peer; the entry serves no calls until
 * then.
 */
public final class RulesActor {
    /** Name of the stream. */
    public static final String STREAM = "rules";

    private static final Duration TICK_INTERVAL = Duration.ofMillis(250);
    private static final long PUBLISH_TIMEOUT_MS = 10_000;
    private static final int RECORDS_PER_SNAPSHOT = 2_000;
    private static final int MAX_PENDING_PUBLISHES = 64;
    private static final long SNAPSHOT_RETRY_INTERVAL_MS = 5_000;

    /**
     * The age of the last snapshot is unknown at startup; a short delay ensures that an often restarted writer writes
     * one.
     */
    private static final long FIRST_SNAPSHOT_DELAY_MS = 60_000;

    private final LogClient store;
    private final StreamFollower follower;
    private final ActorRef<RulesCommand> self;
    private final MonotonicClock clock;
    private final EventLog log;
    private final long snapshotIntervalMs;
    private final RuleBook book = new RuleBook();
    private final List<ActorRef<RulesInForce>> subscribers = new ArrayList<>();
    private final Map<String, PendingPublish> pendingPublishes = new HashMap<>();
    private boolean loaded;
    private boolean streamUnreadable;
    private long notifiedRevision = -1;
    private long nextSnapshotMs;
    private long nextSnapshotAttemptMs = Long.MIN_VALUE;
    private boolean writesSnapshots;

    private record PendingPublish(List<CompletableFuture<PublishAnswer>> replies, long deadlineMs) {}

    private RulesActor(
            LogClient store, ActorRef<RulesCommand> self, MonotonicClock clock, EventLog log, long retentionMs) {
        this.store = store;
        this.self = self;
        this.clock = clock;
        this.log = log;
        this.snapshotIntervalMs = retentionMs / 4;
        this.nextSnapshotMs = clock.nowMs() + Math.min(FIRST_SNAPSHOT_DELAY_MS, snapshotIntervalMs);
        this.follower = new StreamFollower(store, STREAM, result -> self.tell(new RulesCommand.StreamRead(result)));
    }

    /**
     * Constructs the behavior of the actor.
     *
     * @param store client of the log service
     * @param clock monotonic clock
     * @param log event log
     * @param retentionMs time for which the log service keeps records, in milliseconds
     */
    public static Behavior<RulesCommand> construct(
            LogClient store, MonotonicClock clock, EventLog log, long retentionMs) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> {
            timers.startTimerWithFixedDelay(new RulesCommand.Tick(), TICK_INTERVAL);
            RulesActor actor = new RulesActor(store, context.getSelf(), clock, log, retentionMs);
            actor.follower.readFrom(0, false);
            return Behaviors.receiveMessage(command -> {
                actor.receive(command);
                return Behaviors.same();
            });
        }));
    }

    private void receive(RulesCommand command) {
        switch (command) {
            case RulesCommand.Subscribe subscribe -> {
                subscribers.add(subscribe.subscriber());
                if (loaded) {
                    subscribe.subscriber().tell(book.inForce());
                }
            }
            case RulesCommand.Publish publish -> publish(publish.publish(), publish.reply());
            case RulesCommand.AdoptFromPeer adopt -> adopt(adopt);
            case RulesCommand.SetSnapshotWriter set -> writesSnapshots = set.writes();
            case RulesCommand.StreamRead read -> receiveReadResult(read.result());
            case RulesCommand.Appended appended -> {
                // The outcome is determined when the record is read back; even a failed append may have taken effect.
                if (appended.failure() != null) {
                    log.emit(EntryEvent.RULES_UNREADABLE, "reason", appended.failure());
                }
            }
            case RulesCommand.Tick tick -> onTick();
        }
    }

    /*
     * Helpers: reading the stream
     */

    private void receiveReadResult(StreamReadResult result) {
        switch (result) {
            case StreamReadResult.Records records -> {
                streamUnreadable = false;
                applyAll(records.batch());
                boolean isUsable = records.isCaughtUp() && book.isSynchronized();
                if (isUsable) {
                    loaded = true;
                } else if (records.isCaughtUp()) {
                    log.emit(EntryEvent.RULES_SNAPSHOT_MISSING, "next", book.nextOffset());
                }
                notifySubscribers();
                follower.readFrom(
                        Math.max(book.nextOffset(), records.batch().nextOffset()), loaded || records.isCaughtUp());
            }
            case StreamReadResult.Truncated truncated -> {
                book.markTruncatedBefore(truncated.firstOffset());
                follower.readFrom(truncated.firstOffset(), false);
            }
            case StreamReadResult.Failed failed -> {
                if (!streamUnreadable) {
                    log.emit(EntryEvent.RULES_UNREADABLE, "reason", failed.reason());
                }
                streamUnreadable = true;
                follower.readFrom(book.nextOffset(), false);
            }
        }
    }

    private void applyAll(LogBatch batch) {
        for (LogBatch.Entry entry : batch.records()) {
            RulesRecord record = decode(entry);
            if (record == null) {
                book.skipUnreadable(entry.offset());
                continue;
            }
            RulesOutcome outcome = book.apply(entry.offset(), record);
            if (record instanceof RulesRecord.Snapshot) {
                nextSnapshotMs = clock.nowMs() + snapshotIntervalMs;
            }
            answer(outcome);
        }
    }

    private RulesRecord decode(LogBatch.Entry entry) {
        try {
            return RulesRecords.fromBytes(entry.data());
        } catch (RuntimeException e) {
            log.emit(EntryEvent.RULES_RECORD_SKIPPED, "offset", entry.offset(), "reason", e.getMessage());
            return null;
        }
    }

    private void adopt(RulesCommand.AdoptFromPeer adopt) {
        if (book.adoptFromPeer(adopt.revision(), adopt.lines())) {
            loaded = true;
            log.emit(EntryEvent.RULES_FROM_PEER, "revision", adopt.revision());
            notifySubscribers();
        }
    }

    private void notifySubscribers() {
        RulesInForce rules = book.inForce();
        if (loaded && rules.revision() > notifiedRevision) {
            notifiedRevision = rules.revision();
            log.emit(EntryEvent.RULES_IN_FORCE, "revision", notifiedRevision);
            subscribers.forEach(subscriber -> subscriber.tell(rules));
        }
    }

    /*
     * Helpers: publishing
     */

    private void publish(RulesRecord.Publish publish, CompletableFuture<PublishAnswer> reply) {
        OptionalLong createdRevision = book.findRevision(publish.publishId());
        if (createdRevision.isPresent()) {
            reply.complete(new PublishAnswer.Accepted(createdRevision.getAsLong()));
            return;
        }
        PendingPublish pending = pendingPublishes.get(publish.publishId());
        if (pending != null) {
            pending.replies().add(reply);
            return;
        }
        PublishAnswer refusal = checkBeforeAppend(publish);
        if (refusal != null) {
            reply.complete(refusal);
            return;
        }
        List<CompletableFuture<PublishAnswer>> replies = new ArrayList<>(List.of(reply));
        pendingPublishes.put(publish.publishId(), new PendingPublish(replies, clock.nowMs() + PUBLISH_TIMEOUT_MS));
        store.append(STREAM, RulesRecords.toBytes(publish))
                .whenComplete((offset, failure) -> self.tell(new RulesCommand.Appended(publish.publishId(), failure)));
    }

    /** Returns the answer to a publish that can be refused without an append; null if the publish must be appended. */
    private PublishAnswer checkBeforeAppend(RulesRecord.Publish publish) {
        if (streamUnreadable || !loaded || !book.isSynchronized()) {
            return new PublishAnswer.Unavailable(
                    Problem.of(ErrorCode.STORE_UNAVAILABLE, "the stream of rules cannot be read at the moment")
                            .withRetryAfterMs(1_000));
        }
        if (pendingPublishes.size() >= MAX_PENDING_PUBLISHES) {
            return new PublishAnswer.Unavailable(Problem.of(
                            ErrorCode.STORE_UNAVAILABLE,
                            "this entry has reached the limit of " + MAX_PENDING_PUBLISHES + " pending publishes")
                    .withRetryAfterMs(1_000));
        }
        if (RulesParser.parse(publish.added()) instanceof ParseResult.Faulty faulty) {
            return new PublishAnswer.Rejected(
                    Problem.of(
                            ErrorCode.BAD_REQUEST,
                            "number of faults in the added lines: "
                                    + faulty.faults().size()),
                    faulty.faults());
        }
        if (publish.baseRevision() < book.revision()) {
            return new PublishAnswer.Conflict(book.revision(), book.lines());
        }
        return null;
    }

    private void answer(RulesOutcome outcome) {
        switch (outcome) {
            case RulesOutcome.Accepted accepted -> {
                log.emit(EntryEvent.RULES_PUBLISHED, "revision", accepted.revision());
                complete(accepted.publishId(), new PublishAnswer.Accepted(accepted.revision()));
            }
            case RulesOutcome.Duplicate duplicate ->
                complete(duplicate.publishId(), new PublishAnswer.Accepted(duplicate.revision()));
            case RulesOutcome.Conflict conflict ->
                complete(conflict.publishId(), new PublishAnswer.Conflict(conflict.revision(), book.lines()));
            case RulesOutcome.Rejected rejected -> {
                Problem problem = Problem.of(
                        rejected.code(),
                        "number of faults in the publish: " + rejected.faults().size());
                complete(rejected.publishId(), new PublishAnswer.Rejected(problem, rejected.faults()));
            }
            case RulesOutcome.Restored restored -> {
                // A snapshot does not contain the outcome of each earlier publish; their callers repeat them.
            }
            case RulesOutcome.Ignored ignored -> {
                // An ignored record changes nothing.
            }
        }
    }

    private void complete(String publishId, PublishAnswer answer) {
        PendingPublish pending = pendingPublishes.remove(publishId);
        if (pending == null) {
            return;
        }
        if (!(answer instanceof PublishAnswer.Accepted)) {
            log.emit(EntryEvent.RULES_PUBLISH_REFUSED, "publish", publishId);
        }
        // Subscribers are notified of the rules before the operator receives the answer.
        notifySubscribers();
        pending.replies().forEach(reply -> reply.complete(answer));
    }

    private void onTick() {
        long nowMs = clock.nowMs();
        for (Iterator<PendingPublish> iterator = pendingPublishes.values().iterator(); iterator.hasNext(); ) {
            PendingPublish pending = iterator.next();
            if (nowMs >= pending.deadlineMs()) {
                iterator.remove();
                PublishAnswer answer = new PublishAnswer.Unavailable(Problem.of(
                                ErrorCode.STORE_UNAVAILABLE,
                                "the outcome of the publish is not known yet; publish again with the same publishId")
                        .withRetryAfterMs(1_000));
                pending.replies().forEach(reply -> reply.complete(answer));
            }
        }
        if (writesSnapshots && isSnapshotDue(nowMs) && !streamUnreadable && loaded) {
            // A snapshot is invalid if another record is appended before it, so it is retried soon, not after a full
            // interval.
            nextSnapshotAttemptMs = nowMs + SNAPSHOT_RETRY_INTERVAL_MS;
            writeSnapshot();
        }
    }

    private boolean isSnapshotDue(long nowMs) {
        boolean isDue = nowMs >= nextSnapshotMs || book.recordsSinceSnapshot() >= RECORDS_PER_SNAPSHOT;
        return isDue && nowMs >= nextSnapshotAttemptMs;
    }

    private void writeSnapshot() {
        book.constructSnapshot().ifPresent(snapshot -> {
            log.emit(EntryEvent.RULES_SNAPSHOT_WRITTEN, "revision", snapshot.revision());
            store.append(STREAM, RulesRecords.toBytes(snapshot));
        });
    }
}
