package org.fulmarreach.core.budget;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * State machine that is replayed from the stream "budget". A reservation is granted if and only if the sum of the
 * grants in its period stays within the limit. All readers that apply the same records reach the same decisions.
 *
 * <p>The limit is part of the records; the one with the highest revision of the rules applies. If each reader took the
 * limit from its own rules, readers would decide differently about the same record while a new amount is propagated.
 *
 * <p>A new ledger starts at offset 0. If earlier records were truncated, it grants nothing until it reads a valid
 * snapshot. Not thread-safe: confined to one thread or actor.
 */
public final class BudgetLedger {
    /** Maximum amount of a record; small enough that sums of amounts do not overflow. */
    public static final long MAX_AMOUNT = 1_000_000_000_000_000L;

    /** Maximum number of open periods; the oldest period is closed when there are more. */
    public static final int MAX_PERIODS = 64;

    /**
     * Maximum number of record ids per period; no id is evicted, because a repeated return would allow overspending.
     */
    public static final int MAX_RECORDS_PER_PERIOD = 16_384;

    private final TreeMap<Long, Period> periods = new TreeMap<>();
    private long closedUpToMs = Long.MIN_VALUE;
    private long limit;
    private long limitRevision = -1;
    private long nextOffset;
    private int recordsSinceSnapshot;
    private boolean synchronizedWithLog = true;

    private static final class Period {
        private final Set<String> ids = new LinkedHashSet<>();
        private long granted;
    }

    // Public API

    /** Applies the record at {@code offset}. An offset that was already applied has no effect. */
    public BudgetOutcome apply(long offset, BudgetRecord record) {
        if (offset < nextOffset) {
            return new BudgetOutcome.Ignored(BudgetOutcome.Reason.ALREADY_APPLIED);
        }
        markTruncatedBefore(offset);
        nextOffset = offset + 1;
        recordsSinceSnapshot++;
        if (record instanceof BudgetRecord.Snapshot snapshot) {
            return applySnapshot(offset, snapshot);
        }
        if (!synchronizedWithLog) {
            return new BudgetOutcome.Ignored(BudgetOutcome.Reason.NO_SNAPSHOT_YET);
        }
        return switch (record) {
            case BudgetRecord.Reserve reserve -> applyReserve(reserve);
            case BudgetRecord.Return budgetReturn -> applyReturn(budgetReturn);
            case BudgetRecord.Snapshot snapshot -> applySnapshot(offset, snapshot);
        };
    }

    /** Skips the record at {@code offset}, which could not be decoded. */
    public void skipUnreadable(long offset) {
        if (offset >= nextOffset) {
            markTruncatedBefore(offset);
            nextOffset = offset + 1;
        }
    }

    /**
     * Records that the stream was truncated and now starts at {@code firstOffset}. If unread records were lost, the
     * ledger is not synchronized until it reads a valid snapshot.
     */
    public void markTruncatedBefore(long firstOffset) {
        if (firstOffset > nextOffset) {
            nextOffset = firstOffset;
            synchronizedWithLog = false;
        }
    }

    /** Returns whether the ledger reflects all decodable records before {@link #nextOffset()}. */
    public boolean isSynchronized() {
        return synchronizedWithLog;
    }

    /** Returns the offset of the next record to apply. */
    public long nextOffset() {
        return nextOffset;
    }

    /** Returns the sum of the grants minus the returns of a period. */
    public long findGranted(long periodStartMs) {
        Period period = periods.get(periodStartMs);
        return period == null ? 0 : period.granted;
    }

    /** Returns whether the period has a record with this id, granted or refused. */
    public boolean isKnown(long periodStartMs, String id) {
        Period period = periods.get(periodStartMs);
        return period != null && period.ids.contains(id);
    }

    /** Returns the number of records applied since the last snapshot, which determines when the next one is due. */
    public int recordsSinceSnapshot() {
        return recordsSinceSnapshot;
    }

    /** Constructs a snapshot of the current state; empty if the ledger is not synchronized or has read no record. */
    public Optional<BudgetRecord.Snapshot> constructSnapshot() {
        if (!synchronizedWithLog || nextOffset == 0) {
            return Optional.empty();
        }
        List<BudgetRecord.PeriodTotal> totals = new ArrayList<>();
        periods.forEach((start, period) ->
                totals.add(new BudgetRecord.PeriodTotal(start, period.granted, List.copyOf(period.ids))));
        return Optional.of(new BudgetRecord.Snapshot(totals, closedUpToMs, nextOffset - 1, limit, limitRevision));
    }

    // Helpers

    private BudgetOutcome applyReserve(BudgetRecord.Reserve reserve) {
        updateLimit(reserve);
        Period period = findOrOpenPeriod(reserve.periodStartMs(), reserve.amount());
        if (period == null) {
            return new BudgetOutcome.Refused(reserve, 0, findGranted(reserve.periodStartMs()));
        }
        if (!period.ids.add(reserve.id())) {
            return new BudgetOutcome.Ignored(BudgetOutcome.Reason.DUPLICATE);
        }
        long remaining = limit - period.granted;
        if (reserve.amount() > remaining) {
            return new BudgetOutcome.Refused(reserve, Math.max(0, remaining), period.granted);
        }
        period.granted += reserve.amount();
        return new BudgetOutcome.Granted(reserve);
    }

    private BudgetOutcome applyReturn(BudgetRecord.Return budgetReturn) {
        Period period = periods.get(budgetReturn.periodStartMs());
        if (period == null
                || period.ids.size() >= MAX_RECORDS_PER_PERIOD
                || budgetReturn.amount() <= 0
                || budgetReturn.amount() > period.granted) {
            return new BudgetOutcome.Ignored(BudgetOutcome.Reason.NOT_ACCEPTABLE);
        }
        if (!period.ids.add(budgetReturn.id())) {
            return new BudgetOutcome.Ignored(BudgetOutcome.Reason.DUPLICATE);
        }
        period.granted -= budgetReturn.amount();
        return new BudgetOutcome.Returned(budgetReturn);
    }

    private void updateLimit(BudgetRecord.Reserve reserve) {
        long reservedLimit = Math.max(0, Math.min(reserve.limit(), MAX_AMOUNT));
        if (reserve.rulesRevision() > limitRevision) {
            limitRevision = reserve.rulesRevision();
            limit = reservedLimit;
        } else if (reserve.rulesRevision() == limitRevision) {
            limit = Math.min(limit, reservedLimit);
        }
    }

    /** Finds the period of a reservation, creating it if needed; null if the period accepts no more records. */
    private Period findOrOpenPeriod(long periodStartMs, long amount) {
        if (periodStartMs <= closedUpToMs || amount <= 0 || amount > MAX_AMOUNT) {
            return null;
        }
        Period period = periods.computeIfAbsent(periodStartMs, start -> new Period());
        if (periods.size() > MAX_PERIODS) {
            closedUpToMs = periods.pollFirstEntry().getKey();
        }
        boolean open = periodStartMs > closedUpToMs && period.ids.size() < MAX_RECORDS_PER_PERIOD;
        return open ? period : null;
    }

    private BudgetOutcome applySnapshot(long offset, BudgetRecord.Snapshot snapshot) {
        if (snapshot.basedOnOffset() != offset - 1) {
            return new BudgetOutcome.Ignored(BudgetOutcome.Reason.SNAPSHOT_OVERTAKEN);
        }
        recordsSinceSnapshot = 0;
        if (synchronizedWithLog) {
            return new BudgetOutcome.Ignored(BudgetOutcome.Reason.SNAPSHOT_NOT_NEEDED);
        }
        periods.clear();
        for (BudgetRecord.PeriodTotal total : snapshot.totals()) {
            Period period = new Period();
            period.granted = total.granted();
            period.ids.addAll(total.ids());
            periods.put(total.periodStartMs(), period);
        }
        closedUpToMs = snapshot.closedUpToMs();
        limit = snapshot.limit();
        limitRevision = snapshot.limitRevision();
        synchronizedWithLog = true;
        return new BudgetOutcome.Restored();
    }
}
