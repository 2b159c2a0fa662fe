package org.fulmarreach.core.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against overspending the budget when entries race, fail, repeat records or have different limits. */
class BudgetTest {
    private static final int ENTRIES = 4;
    private static final int STEPS = 400;
    /** Low enough that the limit is reached within the steps of a period. */
    private static final int MAX_LIMIT = 60;

    private static final long PERIOD_MS = 1_000;

    /** An entry with its own ledger; its appends to the stream may be lost, delayed or repeated. */
    private static final class Entry {
        private final BudgetLedger ledger = new BudgetLedger();
        private final Purse purse;
        private Purse.Limit limit;
        private final List<Purse.Spend> spends = new ArrayList<>();

        private Entry(String id, Purse.Limit limit) {
            purse = new Purse(id);
            this.limit = limit;
        }
    }

    private final List<BudgetRecord> log = new ArrayList<>();
    private final List<BudgetRecord> inFlight = new ArrayList<>();
    private final Map<Long, Long> spentByPeriod = new HashMap<>();
    private long nextId;

    @Property(seed = "20261206", tries = 300)
    void spentNeverExceedsTheHighestLimit(@ForAll Random random) {
        log.clear();
        inFlight.clear();
        spentByPeriod.clear();
        Purse.Limit limit = new Purse.Limit(1 + random.nextInt(MAX_LIMIT), 1);
        long highest = limit.limit();
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new Entry("e" + i, limit));
        }
        for (int step = 0; step < STEPS; step++) {
            if (random.nextInt(150) == 0) {
                limit = new Purse.Limit(random.nextInt(MAX_LIMIT), limit.rulesRevision() + 1);
                highest = Math.max(highest, limit.limit());
            }
            int index = random.nextInt(ENTRIES);
            long periodMs = (step / 150 - random.nextInt(20) / 19) * PERIOD_MS;
            Entry replaced = act(entries.get(index), limit, periodMs, random);
            entries.set(index, replaced);
            deliver(random);
        }
        long bound = highest;
        spentByPeriod.forEach((period, spent) -> assertTrue(spent <= bound, spent + " spent of " + bound));
    }

    private Entry act(Entry entry, Purse.Limit limit, long periodMs, Random random) {
        Purse purse = entry.purse;
        purse.enterPeriod(periodMs);
        switch (random.nextInt(12)) {
            case 0 -> entry.limit = limit;
            case 1, 2, 3 -> read(entry, random);
            case 4 -> purse.pending().ifPresent(inFlight::add);
            case 5 -> purse.pendingReturn().ifPresent(inFlight::add);
            case 6 -> refund(entry);
            case 7 -> {
                if (random.nextInt(6) == 0) {
                    purse.close("r" + nextId++).ifPresent(inFlight::add);
                }
            }
            case 8 -> {
                if (random.nextInt(6) == 0) {
                    return new Entry("e" + nextId++, limit);
                }
            }
            case 9 -> entry.ledger.constructSnapshot().ifPresent(inFlight::add);
            default -> {
                long cost = 1 + random.nextInt(5);
                purse.planReservation("i" + nextId++, entry.ledger, entry.limit, ENTRIES, cost)
                        .ifPresent(inFlight::add);
                Optional<Purse.Spend> spend = purse.spend(cost);
                spend.ifPresent(entry.spends::add);
                spend.ifPresent(s -> spentByPeriod.merge(s.periodStartMs(), s.amount(), Long::sum));
            }
        }
        return entry;
    }

    private void refund(Entry entry) {
        if (!entry.spends.isEmpty()) {
            Purse.Spend spend = entry.spends.remove(0);
            entry.purse.refund(spend);
            spentByPeriod.merge(spend.periodStartMs(), -spend.amount(), Long::sum);
        }
    }

    private void read(Entry entry, Random random) {
        if (random.nextInt(20) == 0) {
            entry.ledger.markTruncatedBefore(random.nextInt(log.size() + 1));
        }
        while (entry.ledger.nextOffset() < log.size()) {
            long offset = entry.ledger.nextOffset();
            entry.purse.apply(entry.ledger.apply(offset, log.get((int) offset)));
        }
    }

    private void deliver(Random random) {
        if (inFlight.isEmpty() || random.nextInt(3) == 0) {
            return;
        }
        BudgetRecord record = inFlight.get(random.nextInt(inFlight.size()));
        log.add(record);
        if (random.nextInt(4) != 0) {
            inFlight.remove(record);
        }
    }

    @Property(seed = "20261207", tries = 200)
    void readersAgreeFromAnyStartOffset(@ForAll Random random) {
        spentNeverExceedsTheHighestLimit(random);
        BudgetLedger complete = new BudgetLedger();
        BudgetLedger truncated = new BudgetLedger();
        int start = random.nextInt(log.size() + 1);
        truncated.markTruncatedBefore(start);
        for (int offset = 0; offset < log.size(); offset++) {
            BudgetOutcome expected = complete.apply(offset, log.get(offset));
            boolean isComparable = offset >= start && truncated.isSynchronized();
            BudgetOutcome actual = truncated.apply(offset, log.get(offset));
            if (isComparable) {
                assertEquals(expected, actual);
                assertEquals(complete.constructSnapshot(), truncated.constructSnapshot());
            }
        }
    }

    @Test
    void reservationsAreGrantedInLogOrder() {
        BudgetLedger ledger = new BudgetLedger();
        assertInstanceOf(BudgetOutcome.Granted.class, ledger.apply(0, reserve("a", 60, 100, 1)));
        assertEquals(
                40,
                assertInstanceOf(BudgetOutcome.Refused.class, ledger.apply(1, reserve("b", 60, 100, 1)))
                        .left());
        assertInstanceOf(BudgetOutcome.Ignored.class, ledger.apply(2, reserve("a", 60, 100, 1)));
        assertInstanceOf(BudgetOutcome.Granted.class, ledger.apply(3, reserve("c", 40, 100, 1)));
        assertInstanceOf(BudgetOutcome.Refused.class, ledger.apply(4, reserve("d", 1, 100, 1)));
    }

    @Test
    void loweredLimitAppliesToEntriesWithAnOutdatedLimit() {
        BudgetLedger ledger = new BudgetLedger();
        ledger.apply(0, reserve("a", 10, 50, 2));
        assertInstanceOf(BudgetOutcome.Refused.class, ledger.apply(1, reserve("b", 60, 100, 1)));
    }

    @Test
    void repeatedReturnIsAppliedOnce() {
        BudgetLedger ledger = new BudgetLedger();
        ledger.apply(0, reserve("a", 60, 100, 1));
        BudgetRecord budgetReturn = new BudgetRecord.Return("r", "e", 0, 20);
        ledger.apply(1, budgetReturn);
        ledger.apply(2, budgetReturn);
        assertEquals(40, ledger.findGranted(0));
    }

    @Test
    void oldestPeriodStaysClosed() {
        BudgetLedger ledger = new BudgetLedger();
        for (int i = 0; i <= BudgetLedger.MAX_PERIODS; i++) {
            ledger.apply(i, new BudgetRecord.Reserve("a", "e", i * PERIOD_MS, 100, 100, 1));
        }
        BudgetRecord late = new BudgetRecord.Reserve("b", "e", 0, 100, 100, 1);
        assertInstanceOf(BudgetOutcome.Refused.class, ledger.apply(BudgetLedger.MAX_PERIODS + 1, late));
    }

    @Test
    void pendingReservationKeepsItsId() {
        Purse purse = new Purse("e");
        purse.enterPeriod(0);
        BudgetLedger ledger = new BudgetLedger();
        Purse.Limit limit = new Purse.Limit(100, 1);
        BudgetRecord.Reserve first =
                purse.planReservation("a", ledger, limit, 5, 3).orElseThrow();
        assertEquals(5, first.amount());
        assertTrue(purse.planReservation("b", ledger, limit, 5, 3).isEmpty());
        assertEquals(Optional.of(first), purse.pending());
        purse.apply(ledger.apply(0, first));
        assertEquals(5, purse.balance());
    }

    @Test
    void grantOfAnEarlierPeriodIsNotSpentInALaterOne() {
        Purse purse = new Purse("e");
        purse.enterPeriod(0);
        BudgetLedger ledger = new BudgetLedger();
        BudgetRecord late = purse.planReservation("a", ledger, new Purse.Limit(100, 1), 5, 3)
                .orElseThrow();
        purse.enterPeriod(PERIOD_MS);
        purse.apply(ledger.apply(0, late));
        assertEquals(0, purse.balance());
        assertTrue(purse.spend(1).isEmpty());
    }

    @Test
    void refundHasNoEffectAfterTheClockWasSetBack() {
        Purse purse = new Purse("e");
        purse.enterPeriod(0);
        BudgetLedger ledger = new BudgetLedger();
        purse.apply(ledger.apply(
                0,
                purse.planReservation("a", ledger, new Purse.Limit(100, 1), 5, 3)
                        .orElseThrow()));
        Purse.Spend spend = purse.spend(3).orElseThrow();
        purse.enterPeriod(PERIOD_MS);
        purse.enterPeriod(0);
        purse.refund(spend);
        assertEquals(0, purse.balance());
    }

    @Test
    void refusedEntryWithAnOutdatedLimitDoesNotReserveForEachCall() {
        BudgetLedger ledger = new BudgetLedger();
        ledger.apply(0, reserve("a", 10, 10, 2));
        Purse purse = new Purse("e2");
        purse.enterPeriod(0);
        Purse.Limit outdated = new Purse.Limit(100, 1);
        purse.apply(ledger.apply(
                1, purse.planReservation("b", ledger, outdated, 1, 3).orElseThrow()));
        assertTrue(purse.planReservation("c", ledger, outdated, 1, 3).isEmpty());
        assertTrue(
                purse.planReservation("d", ledger, new Purse.Limit(50, 3), 1, 3).isPresent());
    }

    @Test
    void remainderOfTheBudgetCanBeSpent() {
        BudgetLedger ledger = new BudgetLedger();
        ledger.apply(0, reserve("a", 98, 100, 1));
        Purse purse = new Purse("e2");
        purse.enterPeriod(0);
        Purse.Limit limit = new Purse.Limit(100, 1);
        assertTrue(purse.planReservation("b", ledger, limit, 1, 3).isEmpty());
        assertEquals(
                2, purse.planReservation("c", ledger, limit, 1, 2).orElseThrow().amount());
    }

    private static BudgetRecord reserve(String id, long amount, long limit, long revision) {
        return new BudgetRecord.Reserve(id, "e", 0, amount, limit, revision);
    }
}
