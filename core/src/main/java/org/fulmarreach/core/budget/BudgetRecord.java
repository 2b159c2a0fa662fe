package org.fulmarreach.core.budget;

import java.util.List;

/**
 * A record of the stream "budget". Amounts are in the budget's smallest unit; a period is identified by its start in
 * UTC milliseconds.
 */
public sealed interface BudgetRecord {
    /**
     * An entry requests a chunk of the budget.
     *
     * @param id id that the owner chose; a repeated id has no further effect
     * @param owner id of the entry
     * @param periodStartMs start of the period, UTC milliseconds
     * @param amount size of the chunk, above 0
     * @param limit amount of the budget rule as known to the owner
     * @param rulesRevision revision of the rules that contain this limit
     */
    record Reserve(String id, String owner, long periodStartMs, long amount, long limit, long rulesRevision)
            implements BudgetRecord {}

    /**
     * An entry returns the amount that it has not spent.
     *
     * @param id id that the owner chose; a repeated id has no further effect
     * @param owner id of the entry
     * @param periodStartMs start of the period of the returned amount, UTC milliseconds
     * @param amount returned amount, above 0
     */
    record Return(String id, String owner, long periodStartMs, long amount) implements BudgetRecord {}

    /**
     * State of the ledger after the record at {@code basedOnOffset}. It is valid only as the record that directly
     * follows that one.
     *
     * @param totals totals of the open periods
     * @param closedUpToMs start of the latest closed period, which accepts no more records, UTC milliseconds
     * @param basedOnOffset offset of the last record that the state includes
     * @param limit amount of the budget rule of {@code limitRevision}
     * @param limitRevision highest revision of the rules of any reservation
     */
    record Snapshot(List<PeriodTotal> totals, long closedUpToMs, long basedOnOffset, long limit, long limitRevision)
            implements BudgetRecord {
        /** Constructs a snapshot from a copy of its list. */
        public Snapshot {
            totals = List.copyOf(totals);
        }
    }

    /**
     * Total of one period. Immutable.
     *
     * @param periodStartMs start of the period, UTC milliseconds
     * @param granted sum of the grants minus the returns
     * @param ids ids of the period's records, granted or refused
     */
    record PeriodTotal(long periodStartMs, long granted, List<String> ids) {
        /** Constructs a total from a copy of its list. */
        public PeriodTotal {
            ids = List.copyOf(ids);
        }
    }
}
