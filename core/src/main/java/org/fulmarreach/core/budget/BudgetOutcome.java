package org.fulmarreach.core.budget;

/** What the fold made of one record; the same at each synchronized reader. Immutable. */
public sealed interface BudgetOutcome {
    /**
     * The owner may spend the chunk.
     *
     * @param reserve the reservation
     */
    record Granted(BudgetRecord.Reserve reserve) implements BudgetOutcome {}

    /**
     * The owner gets nothing.
     *
     * @param reserve the reservation
     * @param left what was left of the limit
     * @param granted sum of the grants of the period at this record
     */
    record Refused(BudgetRecord.Reserve reserve, long left, long granted) implements BudgetOutcome {}

    /**
     * The return counts.
     *
     * @param giveBack the return
     */
    record Returned(BudgetRecord.Return giveBack) implements BudgetOutcome {}

    /** The ledger starts from this snapshot. */
    record Restored() implements BudgetOutcome {}

    /**
     * The record has no effect.
     *
     * @param reason why
     */
    record Ignored(Reason reason) implements BudgetOutcome {}

    /** Why a record has no effect. */
    enum Reason {
        /** The ledger has applied this offset already. */
        ALREADY_APPLIED,
        /** A record with the same id came before. */
        DUPLICATE,
        /** Earlier records are lost and no snapshot has followed yet. */
        NO_SNAPSHOT_YET,
        /** The period is closed, full of records, or the amount is out of range. */
        NOT_ACCEPTABLE,
        /** The ledger is synchronized and needs no snapshot. */
        SNAPSHOT_NOT_NEEDED,
        /** Another record came between the state of the snapshot and the snapshot. */
        SNAPSHOT_OVERTAKEN
    }
}
