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
import org.fulmarreach.entry.store.StreamNews;
import org.fulmarreach.platform.LogBatch;
import org.fulmarreach.platform.LogClient;
import org.fulmarreach.protocol.io.RulesRecords;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Owns the rules in force: follows the stream "rules", publishes changes and writes snapshots. Subscribers get nothing
 * before the stream, or a peer, has been read; the entry serves no call until then.
 */
public final class RulesActor {
    /** Name of the stream. */
    public static final String STREAM = "rules";

    private static final Duration TICK = Duration.ofMillis(250);
    private static final long PUBLISH_BOUND_MS = 10_000;
    private static final int RECORDS_PER_SNAPSHOT = 2_000;
    private static final int MAX_PENDING_PUBLISHES = 64;
    private static final long SNAPSHOT_RETRY_MS = 5_000;

    /** The age of the last snapshot is not known at start; writers that restart often must still write one. */
    private static final long FIRST_SNAPSHOT_AFTER_MS = 60_000;

    private final LogClient store;
    private final StreamFollower follower;
    private final ActorRef<RulesCommand> self;
    private final MonotonicClock clock;
    private final EventLog log;
    private final long snapshotIntervalMs;
    private final RuleBook book = new RuleBook();
    private final List<ActorRef<RulesInForce>> subscribers = new ArrayList<>();
    private final Map<String, PendingPublish> publishes = new HashMap<>();
    private boolean loaded;
    private boolean unreadable;
    private long sentRevision = -1;
    private long nextSnapshotMs;
    private long nextTryMs = Long.MIN_VALUE;
    private boolean writesSnapshots;

    private record PendingPublish(List<CompletableFuture<PublishAnswer>> replies, long untilMs) {}

    private RulesActor(
            LogClient store, ActorRef<RulesCommand> self, MonotonicClock clock, EventLog log, long retentionMs) {
        this.store = store;
        this.self = self;
        this.clock = clock;
        this.log = log;
        this.snapshotIntervalMs = retentionMs / 4;
        this.nextSnapshotMs = clock.nowMs() + Math.min(FIRST_SNAPSHOT_AFTER_MS, snapshotIntervalMs);
        this.follower = new StreamFollower(store, STREAM, news -> self.tell(new RulesCommand.StreamRead(news)));
    }

    /**
     * Constructs the behavior of the actor.
     *
     * @param store client of the log service
     * @param clock monotonic clock
     * @param log events
     * @param retentionMs time for which the log service keeps records, in milliseconds
     */
    public static Behavior<RulesCommand> construct(
            LogClient store, MonotonicClock clock, EventLog log, long retentionMs) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> {
            timers.startTimerWithFixedDelay(new RulesCommand.Tick(), TICK);
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
            case RulesCommand.ChooseSnapshotWriter choose -> writesSnapshots = choose.writes();
            case RulesCommand.StreamRead read -> receiveNews(read.news());
            case RulesCommand.Appended appended -> {
                // The fold decides the outcome when the record is read; a failed append may have taken effect too.
                if (appended.failure() != null) {
                    log.emit(EntryEvent.RULES_UNREADABLE, "reason", appended.failure());
                }
            }
            case RulesCommand.Tick tick -> checkTime();
        }
    }

    /*
     * Helpers: reading
     */

    private void receiveNews(StreamNews news) {
        switch (news) {
            case StreamNews.Records records -> {
                unreadable = false;
                applyAll(records.batch());
                boolean isUsable = records.isCaughtUp() && book.isSynchronized();
                if (isUsable) {
                    loaded = true;
                } else if (records.isCaughtUp()) {
                    log.emit(EntryEvent.RULES_SNAPSHOT_MISSING, "next", book.nextOffset());
                }
                announce();
                follower.readFrom(
                        Math.max(book.nextOffset(), records.batch().nextOffset()), loaded || records.isCaughtUp());
            }
            case StreamNews.Truncated truncated -> {
                book.loseRecordsBefore(truncated.firstOffset());
                follower.readFrom(truncated.firstOffset(), false);
            }
            case StreamNews.Failed failed -> {
                if (!unreadable) {
                    log.emit(EntryEvent.RULES_UNREADABLE, "reason", failed.reason());
                }
                unreadable = true;
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
            announce();
        }
    }

    private void announce() {
        RulesInForce rules = book.inForce();
        if (loaded && rules.revision() > sentRevision) {
            sentRevision = rules.revision();
            log.emit(EntryEvent.RULES_IN_FORCE, "revision", sentRevision);
            subscribers.forEach(subscriber -> subscriber.tell(rules));
        }
    }

    /*
     * Helpers: publishing
     */

    private void publish(RulesRecord.Publish publish, CompletableFuture<PublishAnswer> reply) {
        OptionalLong made = book.findRevision(publish.publishId());
        if (made.isPresent()) {
            reply.complete(new PublishAnswer.Accepted(made.getAsLong()));
            return;
        }
        PendingPublish pending = publishes.get(publish.publishId());
        if (pending != null) {
            pending.replies().add(reply);
            return;
        }
        PublishAnswer refusal = findRefusal(publish);
        if (refusal != null) {
            reply.complete(refusal);
            return;
        }
        List<CompletableFuture<PublishAnswer>> replies = new ArrayList<>(List.of(reply));
        publishes.put(publish.publishId(), new PendingPublish(replies, clock.nowMs() + PUBLISH_BOUND_MS));
        store.append(STREAM, RulesRecords.toBytes(publish))
                .whenComplete((offset, failure) -> self.tell(new RulesCommand.Appended(publish.publishId(), failure)));
    }

    /** Finds what is wrong with a publish already at this entry; the fold decides about the rest. */
    private PublishAnswer findRefusal(RulesRecord.Publish publish) {
        if (unreadable || !loaded || !book.isSynchronized()) {
            return new PublishAnswer.Unavailable(
                    Problem.of(ErrorCode.STORE_UNAVAILABLE, "the stream of rules cannot be read now")
                            .withRetryAfterMs(1_000));
        }
        if (publishes.size() >= MAX_PENDING_PUBLISHES) {
            return new PublishAnswer.Unavailable(
                    Problem.of(ErrorCode.STORE_UNAVAILABLE, MAX_PENDING_PUBLISHES + " publishes are pending here")
                            .withRetryAfterMs(1_000));
        }
        if (RulesParser.parse(publish.added()) instanceof ParseResult.Faulty faulty) {
            return new PublishAnswer.Rejected(
                    Problem.of(
                            ErrorCode.BAD_REQUEST,
                            "faults in the lines: " + faulty.faults().size()),
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
                        "faults in the publish: " + rejected.faults().size());
                complete(rejected.publishId(), new PublishAnswer.Rejected(problem, rejected.faults()));
            }
            case RulesOutcome.Restored restored -> {
                // Publishes before the snapshot are not known one by one; their callers repeat them.
            }
            case RulesOutcome.Ignored ignored -> {
                // The record changed nothing.
            }
        }
    }

    private void complete(String publishId, PublishAnswer answer) {
        PendingPublish pending = publishes.remove(publishId);
        if (pending == null) {
            return;
        }
        if (!(answer instanceof PublishAnswer.Accepted)) {
            log.emit(EntryEvent.RULES_PUBLISH_REFUSED, "publish", publishId);
        }
        // The subscribers get the rules before the operator gets the answer.
        announce();
        pending.replies().forEach(reply -> reply.complete(answer));
    }

    private void checkTime() {
        long nowMs = clock.nowMs();
        for (Iterator<PendingPublish> each = publishes.values().iterator(); each.hasNext(); ) {
            PendingPublish pending = each.next();
            if (nowMs >= pending.untilMs()) {
                each.remove();
                PublishAnswer answer = new PublishAnswer.Unavailable(Problem.of(
                                ErrorCode.STORE_UNAVAILABLE,
                                "the outcome of the publish is not known yet; publish again with the same publishId")
                        .withRetryAfterMs(1_000));
                pending.replies().forEach(reply -> reply.complete(answer));
            }
        }
        if (writesSnapshots && isSnapshotDue(nowMs) && !unreadable && loaded) {
            // A snapshot that another record overtakes is void; the next try is soon, not after the whole interval.
            nextTryMs = nowMs + SNAPSHOT_RETRY_MS;
            writeSnapshot();
        }
    }

    private boolean isSnapshotDue(long nowMs) {
        boolean isDue = nowMs >= nextSnapshotMs || book.recordsSinceSnapshot() >= RECORDS_PER_SNAPSHOT;
        return isDue && nowMs >= nextTryMs;
    }

    private void writeSnapshot() {
        book.constructSnapshot().ifPresent(snapshot -> {
            log.emit(EntryEvent.RULES_SNAPSHOT_WRITTEN, "revision", snapshot.revision());
            store.append(STREAM, RulesRecords.toBytes(snapshot));
        });
    }
}
