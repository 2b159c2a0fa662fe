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
import org.fulmarreach.entry.store.StreamReadResult;
import org.fulmarreach.platform.LogBatch;
import org.fulmarreach.platform.LogClient;
import org.fulmarreach.protocol.io.BudgetRecords;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

import io.micrometer.core.instrument.MeterRegistry;

/**
 * Actor that owns this entry's purse: follows the stream "budget", reserves chunks of the budget, and returns the
 * balance at shutdown. The cost of a call is deducted before the call is sent. The wall clock only determines the
 * period of a reservation; the ledger enforces the limit of each period even if the clock is wrong.
 */
public final class BudgetActor {
    /** Name of the stream. */
    public static final String STREAM = "budget";

    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    private static final long APPEND_RETRY_INTERVAL_MS = 1_000;
    private static final long CLOSE_TIMEOUT_MS = 2_000;
    private static final long SNAPSHOT_RETRY_INTERVAL_MS = 5_000;
    private static final long FIRST_SNAPSHOT_DELAY_MS = 60_000;
    private static final long RETRY_DELAY_MS = 5_000;
    private static final int RECORDS_PER_SNAPSHOT = 2_000;
    private static final int MAX_WAITING_SPENDS = 256;

    private final LogClient store;
    private final StreamFollower follower;
    private final MonotonicClock clock;
    private final Clock wallClock;
    private final EventLog log;
    private final long snapshotIntervalMs;
    private final BudgetLedger ledger = new BudgetLedger();
    private final Purse purse;
    private final Deque<BudgetCommand.Spend> waitingSpends = new ArrayDeque<>();
    private final AtomicLong balanceGauge = new AtomicLong();
    private final AtomicLong spentGauge = new AtomicLong();
    private RulesInForce rules = RulesInForce.NONE;
    private int liveEntries = 1;
    private boolean caughtUp;
    private boolean streamUnreadable;
    private boolean writesSnapshots;
    private long nextAppendRetryMs = Long.MIN_VALUE;
    private long nextSnapshotMs;
    private long nextSnapshotAttemptMs = Long.MIN_VALUE;
    private CompletableFuture<Done> closeReply;
    private long closeDeadlineMs;

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
        this.nextSnapshotMs = clock.nowMs() + Math.min(FIRST_SNAPSHOT_DELAY_MS, snapshotIntervalMs);
        this.purse = new Purse(settings.entryId());
        this.follower = new StreamFollower(store, STREAM, result -> self.tell(new BudgetCommand.StreamRead(result)));
        meters.gauge("fulmarreach.entry.purse", balanceGauge);
        meters.gauge("fulmarreach.entry.purse.spent", spentGauge);
    }

    /**
     * Constructs the behavior of the actor.
     *
     * @param settings entry id, retention and wall clock
     * @param store client of the log service
     * @param clock monotonic clock
     * @param log event log
     * @param meters registry for the gauges of the purse
     */
    public static Behavior<BudgetCommand> construct(
            BudgetSettings settings, LogClient store, MonotonicClock clock, EventLog log, MeterRegistry meters) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> {
            timers.startTimerWithFixedDelay(new BudgetCommand.Tick(), TICK_INTERVAL);
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
            case BudgetCommand.StreamRead read -> receiveReadResult(read.result());
            case BudgetCommand.Tick tick -> onTick();
        }
        balanceGauge.set(purse.balance());
        spentGauge.set(purse.spent());
    }

    /*
     * Helpers: spending
     */

    private void spend(BudgetCommand.Spend spend) {
        enterPeriod();
        Optional<Purse.Spend> deducted =
                rules.rules().budget().isPresent() ? purse.spend(spend.cost()) : Optional.empty();
        if (deducted.isPresent()) {
            spend.reply().accept(Result.ok(deducted.get()));
            reserve(0);
            return;
        }
        reserve(spend.cost());
        boolean isGrantPossible = purse.pending().isPresent() && !streamUnreadable && closeReply == null;
        if (isGrantPossible && waitingSpends.size() < MAX_WAITING_SPENDS) {
            waitingSpends.add(spend);
        } else {
            refuse(spend);
        }
    }

    private void retryWaitingSpends() {
        for (int i = waitingSpends.size(); i > 0; i--) {
            BudgetCommand.Spend next = waitingSpends.poll();
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
                                "the call costs " + spend.cost() + ", but this entry may spend only " + purse.balance())
                        .withRetryAfterMs(RETRY_DELAY_MS)));
    }

    private void enterPeriod() {
        rules.rules().budget().ifPresent(rule -> purse.enterPeriod(rule.findPeriodStartMs(wallClock.millis())));
    }

    private void reserve(long cost) {
        BudgetRule rule = rules.rules().budget().orElse(null);
        if (rule == null || !caughtUp || streamUnreadable) {
            return;
        }
        Purse.Limit limit = new Purse.Limit(rule.amount(), rules.revision());
        purse.planReservation(UUID.randomUUID().toString(), ledger, limit, liveEntries, cost)
                .ifPresent(this::append);
    }

    private void append(BudgetRecord record) {
        nextAppendRetryMs = clock.nowMs() + APPEND_RETRY_INTERVAL_MS;
        store.append(STREAM, BudgetRecords.toBytes(record));
    }

    private void close(CompletableFuture<Done> reply) {
        closeReply = reply;
        closeDeadlineMs = clock.nowMs() + CLOSE_TIMEOUT_MS;
        purse.close(UUID.randomUUID().toString()).ifPresent(this::append);
        retryWaitingSpends();
        completeCloseIfFinished();
    }

    private void completeCloseIfFinished() {
        boolean isFinished = purse.pendingReturn().isEmpty() || clock.nowMs() >= closeDeadlineMs;
        if (closeReply != null && isFinished) {
            closeReply.complete(Done.getInstance());
        }
    }

    /*
     * Helpers: reading the stream
     */

    private void receiveReadResult(StreamReadResult result) {
        switch (result) {
            case StreamReadResult.Records records -> {
                streamUnreadable = false;
                records.batch().records().forEach(this::apply);
                caughtUp = caughtUp || records.isCaughtUp();
                follower.readFrom(Math.max(ledger.nextOffset(), records.batch().nextOffset()), caughtUp);
                enterPeriod();
                reserve(0);
                retryWaitingSpends();
                completeCloseIfFinished();
            }
            case StreamReadResult.Truncated truncated -> {
                ledger.markTruncatedBefore(truncated.firstOffset());
                follower.readFrom(truncated.firstOffset(), false);
            }
            case StreamReadResult.Failed failed -> {
                if (!streamUnreadable) {
                    log.emit(EntryEvent.BUDGET_UNREADABLE, "reason", failed.reason());
                }
                streamUnreadable = true;
                retryWaitingSpends();
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

    private void onTick() {
        long nowMs = clock.nowMs();
        enterPeriod();
        reserve(0);
        if (nowMs >= nextAppendRetryMs) {
            // Appending again is safe if only the answer was lost: the ledger ignores a repeated id.
            purse.pending().ifPresent(this::append);
            purse.pendingReturn().ifPresent(this::append);
        }
        retryWaitingSpends();
        completeCloseIfFinished();
        boolean isDue = nowMs >= nextSnapshotMs || ledger.recordsSinceSnapshot() >= RECORDS_PER_SNAPSHOT;
        if (writesSnapshots && isDue && nowMs >= nextSnapshotAttemptMs && !streamUnreadable && caughtUp) {
            nextSnapshotAttemptMs = nowMs + SNAPSHOT_RETRY_INTERVAL_MS;
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
