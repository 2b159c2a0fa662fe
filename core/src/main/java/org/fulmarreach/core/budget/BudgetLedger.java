package org.fulmarreach.core.budget;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The fold of the stream "budget": grants a reservation iff the sum of grants in its period stays within the limit.
 *
 * <p>The limit is part of the records: the one that names the highest revision of the rules counts. A limit that each
 * reader took from its own rules would let readers differ about the same record while a new amount spreads.
 *
 * <p>A new ledger expects offset 0. When earlier records are lost, it grants nothing until it meets a valid snapshot.
 * Owned by one thread or actor.
 */
public final class BudgetLedger {
    /** Largest amount of a record; sums of it stay far below overflow. */
    public static final long MAX_AMOUNT = 1_000_000_000_000_000L;

    /** Periods kept; the oldest is closed when there are more. */
    public static final int MAX_PERIODS = 64;

    /** Most records of one period; ids of returns must not be forgotten, because a repeated return would overspend. */
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

    /** Applies the record at {@code offset}; an offset that was applied before has no effect. */
    public BudgetOutcome apply(long offset, BudgetRecord record) {
        if (offset < nextOffset) {
            return new BudgetOutcome.Ignored(BudgetOutcome.Reason.ALREADY_APPLIED);
        }
        loseRecordsBefore(offset);
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
            case BudgetRecord.Return giveBack -> applyReturn(giveBack);
            case BudgetRecord.Snapshot snapshot -> applySnapshot(offset, snapshot);
        };
    }

    /** Passes over the record at {@code offset}, whose bytes could not be read. */
    public void skipUnreadable(long offset) {
        if (offset >= nextOffset) {
            loseRecordsBefore(offset);
            nextOffset = offset + 1;
        }
    }

    /** Tells the ledger that the stream's first kept record is at {@code firstOffset}. */
    public void loseRecordsBefore(long firstOffset) {
        if (firstOffset > nextOffset) {
            nextOffset = firstOffset;
            synchronizedWithLog = false;
        }
    }

    /** Returns whether the ledger has all records that matter up to {@link #nextOffset()}. */
    public boolean isSynchronized() {
        return synchronizedWithLog;
    }

    /** Returns the offset that the ledger expects next. */
    public long nextOffset() {
        return nextOffset;
    }

    /** Returns the sum of the grants less the returns of a period. */
    public long findGranted(long periodStartMs) {
        Period period = periods.get(periodStartMs);
        return period == null ? 0 : period.granted;
    }

    /** Returns whether a record with this id counted in the period, granted or not. */
    public boolean isKnown(long periodStartMs, String id) {
        Period period = periods.get(periodStartMs);
        return period != null && period.ids.contains(id);
    }

    /** Returns the number of records applied since the last snapshot; tells when the next one is due. */
    public int recordsSinceSnapshot() {
        return recordsSinceSnapshot;
    }

    /** Constructs a snapshot of the present state; empty if the ledger is not synchronized or has read nothing. */
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
        learnLimit(reserve);
        Period period = findOpen(reserve.periodStartMs(), reserve.amount());
        if (period == null) {
            return new BudgetOutcome.Refused(reserve, 0, findGranted(reserve.periodStartMs()));
        }
        if (!period.ids.add(reserve.id())) {
            return new BudgetOutcome.Ignored(BudgetOutcome.Reason.DUPLICATE);
        }
        long left = limit - period.granted;
        if (reserve.amount() > left) {
            return new BudgetOutcome.Refused(reserve, Math.max(0, left), period.granted);
        }
        period.granted += reserve.amount();
        return new BudgetOutcome.Granted(reserve);
    }

    private BudgetOutcome applyReturn(BudgetRecord.Return giveBack) {
        Period period = periods.get(giveBack.periodStartMs());
        if (period == null
                || period.ids.size() >= MAX_RECORDS_PER_PERIOD
                || giveBack.amount() <= 0
                || giveBack.amount() > period.granted) {
            return new BudgetOutcome.Ignored(BudgetOutcome.Reason.NOT_ACCEPTABLE);
        }
        if (!period.ids.add(giveBack.id())) {
            return new BudgetOutcome.Ignored(BudgetOutcome.Reason.DUPLICATE);
        }
        period.granted -= giveBack.amount();
        return new BudgetOutcome.Returned(giveBack);
    }

    private void learnLimit(BudgetRecord.Reserve reserve) {
        long named = Math.max(0, Math.min(reserve.limit(), MAX_AMOUNT));
        if (reserve.rulesRevision() > limitRevision) {
            limitRevision = reserve.rulesRevision();
            limit = named;
        } else if (reserve.rulesRevision() == limitRevision) {
            limit = Math.min(limit, named);
        }
    }

    /** Finds the period for a reservation and opens it if needed; null if it takes no more records. */
    private Period findOpen(long periodStartMs, long amount) {
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
