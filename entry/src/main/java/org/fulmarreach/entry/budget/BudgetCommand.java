package org.fulmarreach.entry.budget;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.apache.pekko.Done;
import org.fulmarreach.core.budget.Purse;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.rules.RulesInForce;
import org.fulmarreach.entry.store.StreamReadResult;

/** Messages to the {@link BudgetActor}. */
public sealed interface BudgetCommand {
    /**
     * Deducts a cost from the purse.
     *
     * @param cost above 0, in the budget's smallest unit
     * @param untilMs time until which the spend may wait for a reservation, on the entry's monotonic clock
     * @param reply receives the spend, or {@code BUDGET_EXHAUSTED}
     */
    record Spend(long cost, long untilMs, Consumer<Result<Purse.Spend>> reply) implements BudgetCommand {}

    /**
     * Refunds the cost of a call that did not run or that repeated an earlier one.
     *
     * @param spend the deducted cost; refunded at most once
     */
    record Refund(Purse.Spend spend) implements BudgetCommand {}

    /**
     * Requests the current amounts of the budget.
     *
     * @param reply receives the amounts
     */
    record Report(Consumer<BudgetView> reply) implements BudgetCommand {}

    /**
     * Closes the purse for a planned shutdown and returns its balance to the budget.
     *
     * @param reply completed once the return is in the log, or after 2 s
     */
    record Close(CompletableFuture<Done> reply) implements BudgetCommand {}

    /**
     * Newer rules are in force.
     *
     * @param rules the rules
     */
    record RulesChanged(RulesInForce rules) implements BudgetCommand {}

    /**
     * The live entries changed.
     *
     * @param liveEntries number of live entries of all regions, including this one
     * @param writesSnapshots whether this entry writes the snapshots
     */
    record EntriesChanged(int liveEntries, boolean writesSnapshots) implements BudgetCommand {}

    /**
     * A read of the stream has completed.
     *
     * @param result result of the read
     */
    record StreamRead(StreamReadResult result) implements BudgetCommand {}

    /** Periodic timer tick. */
    record Tick() implements BudgetCommand {}
}
