package org.fulmarreach.core.budget;

/** Result of applying one record to the {@link BudgetLedger}; the same at each synchronized reader. Immutable. */
public sealed interface BudgetOutcome {
    /**
     * The reservation was granted; its owner may spend the chunk.
     *
     * @param reserve the reservation
     */
    record Granted(BudgetRecord.Reserve reserve) implements BudgetOutcome {}

    /**
     * The reservation was refused; its owner may spend nothing of it.
     *
     * @param reserve the reservation
     * @param left remaining part of the limit
     * @param granted sum of the grants in the period when the record was applied
     */
    record Refused(BudgetRecord.Reserve reserve, long left, long granted) implements BudgetOutcome {}

    /**
     * The return was accepted.
     *
     * @param budgetReturn the accepted return
     */
    record Returned(BudgetRecord.Return budgetReturn) implements BudgetOutcome {}

    /** The ledger was restored from this snapshot. */
    record Restored() implements BudgetOutcome {}

    /**
     * The record has no effect.
     *
     * @param reason why it has no effect
     */
    record Ignored(Reason reason) implements BudgetOutcome {}

    /** Why a record has no effect. */
    enum Reason {
        /** The record at this offset was already applied. */
        ALREADY_APPLIED,
        /** An earlier record of the period has the same id. */
        DUPLICATE,
        /** Earlier records were truncated and no valid snapshot has been read since. */
        NO_SNAPSHOT_YET,
        /** The period is unknown or closed, has too many records, or the amount is out of range. */
        NOT_ACCEPTABLE,
        /** The ledger is synchronized and needs no snapshot. */
        SNAPSHOT_NOT_NEEDED,
        /** Another record was appended between the state in the snapshot and the snapshot itself. */
        SNAPSHOT_OVERTAKEN
    }
}
