package org.fulmarreach.core.budget;

import java.util.List;

/** A record of the stream "budget". Amounts are in the budget's smallest unit, periods their start in UTC ms. */
public sealed interface BudgetRecord {
    /**
     * An entry asks for a chunk.
     *
     * @param id id that the owner chose; a repeated id has no further effect
     * @param owner id of the entry
     * @param periodStartMs start of the period, UTC milliseconds
     * @param amount size of the chunk, above 0
     * @param limit amount of the budget rule that the owner knows
     * @param rulesRevision revision of the rules that the limit is from
     */
    record Reserve(String id, String owner, long periodStartMs, long amount, long limit, long rulesRevision)
            implements BudgetRecord {}

    /**
     * An entry gives back what it has not spent.
     *
     * @param id id that the owner chose; a repeated id has no further effect
     * @param owner id of the entry
     * @param periodStartMs start of the period that the money is of, UTC milliseconds
     * @param amount what is returned, above 0
     */
    record Return(String id, String owner, long periodStartMs, long amount) implements BudgetRecord {}

    /**
     * State of the fold after the record at {@code basedOnOffset}; counts only as the very next record of the stream.
     *
     * @param totals the periods kept
     * @param closedUpToMs start of the latest period that takes no more records, UTC milliseconds
     * @param basedOnOffset offset of the last record that the state includes
     * @param limit amount of the budget rule of {@code limitRevision}
     * @param limitRevision highest revision of the rules that a reservation named
     */
    record Snapshot(List<PeriodTotal> totals, long closedUpToMs, long basedOnOffset, long limit, long limitRevision)
            implements BudgetRecord {
        /** Constructs a snapshot from a copy of its list. */
        public Snapshot {
            totals = List.copyOf(totals);
        }
    }

    /**
     * Sum of one period. Immutable.
     *
     * @param periodStartMs start of the period, UTC milliseconds
     * @param granted sum of the grants less the returns
     * @param ids ids of the period's records, granted or not
     */
    record PeriodTotal(long periodStartMs, long granted, List<String> ids) {
        /** Constructs a total from a copy of its list. */
        public PeriodTotal {
            ids = List.copyOf(ids);
        }
    }
}
