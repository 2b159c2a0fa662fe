package org.fulmarreach.entry.budget;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.core.budget.BudgetLedger;
import org.fulmarreach.core.budget.BudgetOutcome;
import org.fulmarreach.core.budget.BudgetRecord;
import org.fulmarreach.core.budget.Purse;
import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.rules.BudgetRule;
import org.fulmarreach.core.rules.RulesInForce;
import org.fulmarreach.entry.EntryEvent;
import org.fulmarreach.entry.store.StreamFollower;
import org.fulmarreach.entry.store.StreamNews;
import org.fulmarreach.platform.LogBatch;
import org.fulmarreach.platform.LogClient;
import org.fulmarreach.protocol.io.BudgetRecords;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

import io.micrometer.core.instrument.MeterRegistry;

/**
 * Owns this entry's purse: follows the stream "budget", reserves chunks and gives back what is left. A cost is taken
 * out before its call is sent. The wall clock only chooses the period of a reservation; the ledger's limit holds per
 * period whatever the clock says.
 */
public final class BudgetActor {
    /** Name of the stream. */
    public static final String STREAM = "budget";

    private static final Duration TICK = Duration.ofMillis(100);
    private static final long APPEND_AGAIN_MS = 1_000;
    private static final long CLOSE_BOUND_MS = 2_000;
    private static final long SNAPSHOT_RETRY_MS = 5_000;
    private static final long FIRST_SNAPSHOT_AFTER_MS = 60_000;
    private static final long RETRY_AFTER_MS = 5_000;
    private static final int RECORDS_PER_SNAPSHOT = 2_000;
    private static final int MAX_WAITING = 256;

    private final LogClient store;
    private final StreamFollower follower;
    private final MonotonicClock clock;
    private final Clock wallClock;
    private final EventLog log;
    private final long snapshotIntervalMs;
    private final BudgetLedger ledger = new BudgetLedger();
    private final Purse purse;
    private final Deque<BudgetCommand.Spend> waiting = new ArrayDeque<>();
    private final AtomicLong balanceGauge = new AtomicLong();
    private final AtomicLong spentGauge = new AtomicLong();
    private RulesInForce rules = RulesInForce.NONE;
    private int liveEntries = 1;
    private boolean caughtUp;
    private boolean unreadable;
    private boolean writesSnapshots;
    private long nextAppendMs = Long.MIN_VALUE;
    private long nextSnapshotMs;
    private long nextTryMs = Long.MIN_VALUE;
    private CompletableFuture<Done> closeReply;
    private long closeUntilMs;

    private BudgetActor(
            BudgetSettings settings,
            LogClient store,
            ActorRef<BudgetCommand> self,
            MonotonicClock clock,
            EventLog log,
            MeterRegistry meters) {
        this.store = store;
        this.clock = clock;
        this.wallClock = settings.wallClock();
        this.log = log;
        this.snapshotIntervalMs = settings.retentionMs() / 4;
        this.nextSnapshotMs = clock.nowMs() + Math.min(FIRST_SNAPSHOT_AFTER_MS, snapshotIntervalMs);
        this.purse = new Purse(settings.entryId());
        this.follower = new StreamFollower(store, STREAM, news -> self.tell(new BudgetCommand.StreamRead(news)));
        meters.gauge("fulmarreach.entry.purse", balanceGauge);
        meters.gauge("fulmarreach.entry.purse.spent", spentGauge);
    }

    /**
     * Constructs the behavior of the actor.
     *
     * @param settings identity, retention and wall clock
     * @param store client of the log service
     * @param clock monotonic clock
     * @param log events
     * @param meters receives the gauges of the purse
     */
    public static Behavior<BudgetCommand> construct(
            BudgetSettings settings, LogClient store, MonotonicClock clock, EventLog log, MeterRegistry meters) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> {
            timers.startTimerWithFixedDelay(new BudgetCommand.Tick(), TICK);
            BudgetActor actor = new BudgetActor(settings, store, context.getSelf(), clock, log, meters);
            actor.follower.readFrom(0, false);
            return Behaviors.receiveMessage(command -> {
                actor.receive(command);
                return Behaviors.same();
            });
        }));
    }

    private void receive(BudgetCommand command) {
        switch (command) {
            case BudgetCommand.Spend spend -> spend(spend);
            case BudgetCommand.Refund refund -> purse.refund(refund.spend());
            case BudgetCommand.Report report -> report.reply().accept(toView());
            case BudgetCommand.Close close -> close(close.reply());
            case BudgetCommand.RulesChanged changed -> rules = changed.rules();
            case BudgetCommand.EntriesChanged changed -> {
                liveEntries = Math.max(1, changed.liveEntries());
                writesSnapshots = changed.writesSnapshots();
            }
            case BudgetCommand.StreamRead read -> receiveNews(read.news());
            case BudgetCommand.Tick tick -> checkTime();
        }
        balanceGauge.set(purse.balance());
        spentGauge.set(purse.spent());
    }

    /*
     * Helpers: spending
     */

    private void spend(BudgetCommand.Spend spend) {
        enterPeriod();
        Optional<Purse.Spend> taken = rules.rules().budget().isPresent() ? purse.spend(spend.cost()) : Optional.empty();
        if (taken.isPresent()) {
            spend.reply().accept(Result.ok(taken.get()));
            reserve(0);
            return;
        }
        reserve(spend.cost());
        boolean mayCome = purse.pending().isPresent() && !unreadable && closeReply == null;
        if (mayCome && waiting.size() < MAX_WAITING) {
            waiting.add(spend);
        } else {
            refuse(spend);
        }
    }

    private void retryWaiting() {
        for (int i = waiting.size(); i > 0; i--) {
            BudgetCommand.Spend next = waiting.poll();
            if (clock.nowMs() >= next.untilMs()) {
                refuse(next);
            } else {
                spend(next);
            }
        }
    }

    private void refuse(BudgetCommand.Spend spend) {
        log.emit(EntryEvent.BUDGET_EXHAUSTED, "cost", spend.cost(), "purse", purse.balance());
        spend.reply()
                .accept(Result.err(Problem.of(
                                ErrorCode.BUDGET_EXHAUSTED,
                                "the call costs " + spend.cost() + ", the purse of this entry holds " + purse.balance())
                        .withRetryAfterMs(RETRY_AFTER_MS)));
    }

    private void enterPeriod() {
        rules.rules().budget().ifPresent(rule -> purse.enterPeriod(rule.findPeriodStartMs(wallClock.millis())));
    }

    private void reserve(long cost) {
        BudgetRule rule = rules.rules().budget().orElse(null);
        if (rule == null || !caughtUp || unreadable) {
            return;
        }
        Purse.Limit limit = new Purse.Limit(rule.amount(), rules.revision());
        purse.planReservation(UUID.randomUUID().toString(), ledger, limit, liveEntries, cost)
                .ifPresent(this::append);
    }

    private void append(BudgetRecord bytes) {
        nextAppendMs = clock.nowMs() + APPEND_AGAIN_MS;
        store.append(STREAM, BudgetRecords.toBytes(bytes));
    }

    private void close(CompletableFuture<Done> reply) {
        closeReply = reply;
        closeUntilMs = clock.nowMs() + CLOSE_BOUND_MS;
        purse.close(UUID.randomUUID().toString()).ifPresent(this::append);
        retryWaiting();
        checkClosed();
    }

    private void checkClosed() {
        boolean isOver = purse.pendingReturn().isEmpty() || clock.nowMs() >= closeUntilMs;
        if (closeReply != null && isOver) {
            closeReply.complete(Done.getInstance());
        }
    }

    /*
     * Helpers: reading
     */

    private void receiveNews(StreamNews news) {
        switch (news) {
            case StreamNews.Records records -> {
                unreadable = false;
                records.batch().records().forEach(this::apply);
                caughtUp = caughtUp || records.isCaughtUp();
                follower.readFrom(Math.max(ledger.nextOffset(), records.batch().nextOffset()), caughtUp);
                enterPeriod();
                reserve(0);
                retryWaiting();
                checkClosed();
            }
            case StreamNews.Truncated truncated -> {
                ledger.loseRecordsBefore(truncated.firstOffset());
                follower.readFrom(truncated.firstOffset(), false);
            }
            case StreamNews.Failed failed -> {
                if (!unreadable) {
                    log.emit(EntryEvent.BUDGET_UNREADABLE, "reason", failed.reason());
                }
                unreadable = true;
                retryWaiting();
                follower.readFrom(ledger.nextOffset(), false);
            }
        }
    }

    private void apply(LogBatch.Entry entry) {
        BudgetRecord decoded;
        try {
            decoded = BudgetRecords.fromBytes(entry.data());
        } catch (RuntimeException e) {
            log.emit(EntryEvent.BUDGET_RECORD_SKIPPED, "offset", entry.offset(), "reason", e.getMessage());
            ledger.skipUnreadable(entry.offset());
            return;
        }
        if (decoded instanceof BudgetRecord.Snapshot) {
            nextSnapshotMs = clock.nowMs() + snapshotIntervalMs;
        }
        BudgetOutcome outcome = ledger.apply(entry.offset(), decoded);
        purse.apply(outcome);
        if (outcome instanceof BudgetOutcome.Refused refused) {
            log.emit(EntryEvent.BUDGET_REFUSED, "owner", refused.reserve().owner(), "left", refused.left());
        } else if (outcome instanceof BudgetOutcome.Granted granted) {
            log.emit(
                    EntryEvent.BUDGET_GRANTED,
                    "owner",
                    granted.reserve().owner(),
                    "amount",
                    granted.reserve().amount());
        }
    }

    private void checkTime() {
        long nowMs = clock.nowMs();
        enterPeriod();
        reserve(0);
        if (nowMs >= nextAppendMs) {
            // A lost answer is harmless: the ledger ignores a repeated id.
            purse.pending().ifPresent(this::append);
            purse.pendingReturn().ifPresent(this::append);
        }
        retryWaiting();
        checkClosed();
        boolean isDue = nowMs >= nextSnapshotMs || ledger.recordsSinceSnapshot() >= RECORDS_PER_SNAPSHOT;
        if (writesSnapshots && isDue && nowMs >= nextTryMs && !unreadable && caughtUp) {
            nextTryMs = nowMs + SNAPSHOT_RETRY_MS;
            ledger.constructSnapshot().ifPresent(snapshot -> {
                log.emit(EntryEvent.BUDGET_SNAPSHOT_WRITTEN, "based_on", snapshot.basedOnOffset());
                store.append(STREAM, BudgetRecords.toBytes(snapshot));
            });
        }
    }

    private BudgetView toView() {
        enterPeriod();
        BudgetRule rule = rules.rules().budget().orElse(null);
        if (rule == null) {
            return new BudgetView(0, 0, 0, purse.balance(), purse.spent());
        }
        long period = rule.findPeriodStartMs(wallClock.millis());
        return new BudgetView(period, rule.amount(), ledger.findGranted(period), purse.balance(), purse.spent());
    }
}
