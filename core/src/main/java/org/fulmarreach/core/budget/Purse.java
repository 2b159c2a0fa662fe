package org.fulmarreach.core.budget;

import java.util.Optional;

import org.fulmarreach.core.exc.InvariantViolationException;

/**
 * What one entry may spend. A cost is taken out before the call is sent. The purse holds at most one reservation that
 * is not answered; it is repeated with the same id until the entry has read it back from the stream. Owned by one
 * thread or actor.
 */
public final class Purse {
    /** An entry takes a quarter of its even share, so that an entry that dies strands little. */
    private static final long CHUNKS_PER_SHARE = 4;

    private final String owner;
    private long periodStartMs = Long.MIN_VALUE;
    private long visit;
    private long balance;
    private long spent;
    private BudgetRecord.Reserve pending;
    private BudgetOutcome.Refused refusal;
    private BudgetRecord.Return pendingReturn;
    private boolean closed;

    /**
     * A cost that was taken out. Immutable.
     *
     * @param periodStartMs period that it was taken from
     * @param amount the cost
     * @param visit number of the purse's stay in that period; a clock that is set back can enter a period twice
     */
    public record Spend(long periodStartMs, long amount, long visit) {}

    /**
     * The budget rule in force. Immutable.
     *
     * @param limit amount of one period
     * @param rulesRevision revision of the rules that it is from
     */
    public record Limit(long limit, long rulesRevision) {}

    /** Constructs an empty purse of the entry with the id {@code owner}. */
    public Purse(String owner) {
        this.owner = owner;
    }

    // Public API: spending

    /**
     * Enters the period that starts at {@code startMs}, UTC milliseconds. In another period than before, what is left
     * of the old one is given up and a pending reservation is forgotten.
     */
    public void enterPeriod(long startMs) {
        if (startMs == periodStartMs) {
            return;
        }
        periodStartMs = startMs;
        visit++;
        balance = 0;
        spent = 0;
        pending = null;
        refusal = null;
    }

    /** Takes out {@code cost}; empty if the purse has less or is closed. A cost of 0 is always met. */
    public Optional<Spend> spend(long cost) {
        if (cost < 0) {
            throw new InvariantViolationException("purse of " + owner + " asked for a cost of " + cost);
        }
        if (cost > 0 && (closed || cost > balance)) {
            return Optional.empty();
        }
        balance -= cost;
        spent += cost;
        return Optional.of(new Spend(periodStartMs, cost, visit));
    }

    /** Puts back a cost whose call did not run. Each spend may be put back once; one of an earlier period is lost. */
    public void refund(Spend spend) {
        if (spend.visit() != visit) {
            return;
        }
        if (spend.amount() > spent) {
            throw new InvariantViolationException(
                    "purse of " + owner + " got back " + spend.amount() + " of " + spent + " spent");
        }
        spent -= spend.amount();
        balance += spend.amount();
    }

    /** Returns what can be spent now. */
    public long balance() {
        return balance;
    }

    /** Returns what this purse has spent in the present period, less refunds. */
    public long spent() {
        return spent;
    }

    // Public API: reservations

    /**
     * Plans a reservation if the purse is low: below the cost of the next call or half a chunk. The caller appends it
     * to the stream, and appends it again as long as {@link #pending()} has it.
     *
     * @param id new unique id
     * @param ledger the caller's view of the stream
     * @param limit the budget rule in force
     * @param liveEntries number of live entries, at least 1
     * @param cost cost of the next call, 0 if none waits
     * @return empty if the purse has enough, waits for an answer, is closed, or the budget has not enough left
     */
    public Optional<BudgetRecord.Reserve> planReservation(
            String id, BudgetLedger ledger, Limit limit, int liveEntries, long cost) {
        if (closed || pending != null || !ledger.isSynchronized()) {
            return Optional.empty();
        }
        long left = findLeft(ledger, limit);
        long chunk = Math.min(Math.max(left / (CHUNKS_PER_SHARE * Math.max(1, liveEntries)), cost), left);
        boolean low = balance < Math.max(cost, (chunk + 1) / 2);
        if (!low || chunk <= 0 || balance + chunk < cost) {
            return Optional.empty();
        }
        pending = new BudgetRecord.Reserve(id, owner, periodStartMs, chunk, limit.limit(), limit.rulesRevision());
        return Optional.of(pending);
    }

    /** Returns the reservation that is not answered yet, to be appended again with the same id. */
    public Optional<BudgetRecord.Reserve> pending() {
        return Optional.ofNullable(pending);
    }

    /** Takes in what the ledger made of a record; outcomes of other entries' records have no effect. */
    public void apply(BudgetOutcome outcome) {
        switch (outcome) {
            case BudgetOutcome.Granted granted -> {
                if (granted.reserve().equals(pending)) {
                    pending = null;
                    balance += granted.reserve().amount();
                }
            }
            case BudgetOutcome.Refused refused -> {
                if (refused.reserve().equals(pending)) {
                    pending = null;
                    refusal = refused;
                }
            }
            case BudgetOutcome.Returned returned -> {
                if (returned.giveBack().equals(pendingReturn)) {
                    pendingReturn = null;
                }
            }
            // The snapshot may include the pending reservation without telling whether it was granted.
            case BudgetOutcome.Restored restored -> pending = null;
            case BudgetOutcome.Ignored ignored -> {
                // Nothing was decided by this record.
            }
        }
    }

    /**
     * Finds what is left of the budget. After a refusal it is at most what the ledger said, until the limit or the
     * grants change: an entry with an outdated limit would otherwise append a reservation for each call.
     */
    private long findLeft(BudgetLedger ledger, Limit limit) {
        long granted = ledger.findGranted(periodStartMs);
        long left = limit.limit() - granted;
        boolean sameLimit = refusal != null && refusal.reserve().rulesRevision() == limit.rulesRevision();
        return sameLimit && refusal.granted() == granted ? Math.min(left, refusal.left()) : left;
    }

    // Life cycle

    /**
     * Closes the purse for a planned stop: nothing can be spent afterwards, and what is left is to be appended as a
     * return, and again until {@link #pendingReturn()} is empty.
     *
     * @param id new unique id
     */
    public Optional<BudgetRecord.Return> close(String id) {
        if (!closed && balance > 0) {
            pendingReturn = new BudgetRecord.Return(id, owner, periodStartMs, balance);
            balance = 0;
        }
        closed = true;
        return pendingReturn();
    }

    /** Returns the return that was not read back yet. */
    public Optional<BudgetRecord.Return> pendingReturn() {
        return Optional.ofNullable(pendingReturn);
    }
}
