package org.fulmarreach.core.budget;

import java.util.Optional;

import org.fulmarreach.core.exc.InvariantViolationException;

/**
 * Part of the shared budget that one entry may spend. The cost of a call is deducted before the call is sent. The purse
 * has at most one pending reservation, which is appended repeatedly with the same id until the entry has read it back
 * from the stream. Not thread-safe: confined to one thread or actor.
 */
public final class Purse {
    /** An entry reserves a quarter of its even share, so that little is lost if the entry fails. */
    private static final long CHUNKS_PER_SHARE = 4;

    private final String owner;
    private long periodStartMs = Long.MIN_VALUE;
    private long periodGeneration;
    private long balance;
    private long spent;
    private BudgetRecord.Reserve pending;
    private BudgetOutcome.Refused refusal;
    private BudgetRecord.Return pendingReturn;
    private boolean closed;

    /**
     * A deducted cost. Immutable.
     *
     * @param periodStartMs start of the period that it was deducted from, UTC milliseconds
     * @param amount the cost
     * @param periodGeneration how many times the purse had entered a period at that time; tells apart two stays in the
     *     same period, which occur when the clock is set back
     */
    public record Spend(long periodStartMs, long amount, long periodGeneration) {}

    /**
     * The budget rule in force. Immutable.
     *
     * @param limit amount of one period
     * @param rulesRevision revision of the rules that contain it
     */
    public record Limit(long limit, long rulesRevision) {}

    /** Constructs an empty purse of the entry with the id {@code owner}. */
    public Purse(String owner) {
        this.owner = owner;
    }

    // Public API: spending

    /**
     * Enters the period that starts at {@code startMs}, UTC milliseconds. If the period changes, the balance of the
     * previous period and a pending reservation are discarded.
     */
    public void enterPeriod(long startMs) {
        if (startMs == periodStartMs) {
            return;
        }
        periodStartMs = startMs;
        periodGeneration++;
        balance = 0;
        spent = 0;
        pending = null;
        refusal = null;
    }

    /** Deducts {@code cost}; empty if the balance is lower or the purse is closed. A cost of 0 always succeeds. */
    public Optional<Spend> spend(long cost) {
        if (cost < 0) {
            throw new InvariantViolationException("purse of " + owner + " received a negative cost of " + cost);
        }
        if (cost > 0 && (closed || cost > balance)) {
            return Optional.empty();
        }
        balance -= cost;
        spent += cost;
        return Optional.of(new Spend(periodStartMs, cost, periodGeneration));
    }

    /**
     * Refunds the cost of a call that did not run. Each spend may be refunded once; a refund for an earlier period has
     * no effect.
     */
    public void refund(Spend spend) {
        if (spend.periodGeneration() != periodGeneration) {
            return;
        }
        if (spend.amount() > spent) {
            throw new InvariantViolationException("purse of " + owner + " received a refund of " + spend.amount()
                    + ", which exceeds the spent amount of " + spent);
        }
        spent -= spend.amount();
        balance += spend.amount();
    }

    /** Returns the amount that can be spent now. */
    public long balance() {
        return balance;
    }

    /** Returns the amount spent in the current period, minus refunds. */
    public long spent() {
        return spent;
    }

    // Public API: reservations

    /**
     * Creates a reservation if the balance is low: below the cost of the next call or half a chunk. The caller appends
     * it to the stream, and repeats the append as long as {@link #pending()} returns it.
     *
     * @param id new unique id
     * @param ledger the caller's view of the stream
     * @param limit the budget rule in force
     * @param liveEntries number of live entries, at least 1
     * @param cost cost of the next call; 0 if no call is waiting
     * @return the reservation; empty if the balance is sufficient, a reservation is pending, the purse is closed, the
     *     ledger is not synchronized, or the remaining budget is insufficient
     */
    public Optional<BudgetRecord.Reserve> planReservation(
            String id, BudgetLedger ledger, Limit limit, int liveEntries, long cost) {
        if (closed || pending != null || !ledger.isSynchronized()) {
            return Optional.empty();
        }
        long left = findRemaining(ledger, limit);
        long chunk = Math.min(Math.max(left / (CHUNKS_PER_SHARE * Math.max(1, liveEntries)), cost), left);
        boolean low = balance < Math.max(cost, (chunk + 1) / 2);
        if (!low || chunk <= 0 || balance + chunk < cost) {
            return Optional.empty();
        }
        pending = new BudgetRecord.Reserve(id, owner, periodStartMs, chunk, limit.limit(), limit.rulesRevision());
        return Optional.of(pending);
    }

    /** Returns the pending reservation, to be appended again with the same id. */
    public Optional<BudgetRecord.Reserve> pending() {
        return Optional.ofNullable(pending);
    }

    /** Applies the ledger's outcome for a record; outcomes of other entries' records have no effect. */
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
                if (returned.budgetReturn().equals(pendingReturn)) {
                    pendingReturn = null;
                }
            }
            // The snapshot may include the pending reservation but does not contain whether it was granted.
            case BudgetOutcome.Restored restored -> pending = null;
            case BudgetOutcome.Ignored ignored -> {
                // An ignored record changes nothing.
            }
        }
    }

    /**
     * Returns the remaining budget. After a refusal, it is at most the remainder that the ledger reported until the
     * limit or the grants change; otherwise an entry with an outdated limit would append a reservation for each call.
     */
    private long findRemaining(BudgetLedger ledger, Limit limit) {
        long granted = ledger.findGranted(periodStartMs);
        long left = limit.limit() - granted;
        boolean sameLimit = refusal != null && refusal.reserve().rulesRevision() == limit.rulesRevision();
        return sameLimit && refusal.granted() == granted ? Math.min(left, refusal.left()) : left;
    }

    // Life cycle

    /**
     * Closes the purse for a planned shutdown: nothing can be spent afterwards. The caller appends the resulting return
     * of the balance to the stream, and repeats the append until {@link #pendingReturn()} is empty.
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

    /** Returns the return of the balance that has not been read back from the stream yet. */
    public Optional<BudgetRecord.Return> pendingReturn() {
        return Optional.ofNullable(pendingReturn);
    }
}
