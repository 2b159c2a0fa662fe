package org.fulmarreach.entry.budget;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.apache.pekko.Done;
import org.fulmarreach.core.budget.Purse;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.rules.RulesInForce;
import org.fulmarreach.entry.store.StreamNews;

/** Messages of the actor that owns this entry's purse. */
public sealed interface BudgetCommand {
    /**
     * Takes a cost out of the purse.
     *
     * @param cost above 0, in the budget's smallest unit
     * @param untilMs time until which it may wait for a reservation, on the entry's clock
     * @param reply gets the spend, or {@code BUDGET_EXHAUSTED}
     */
    record Spend(long cost, long untilMs, Consumer<Result<Purse.Spend>> reply) implements BudgetCommand {}

    /**
     * Puts back a cost whose call did not run, or repeated an earlier one.
     *
     * @param spend what was taken out; put back at most once
     */
    record Refund(Purse.Spend spend) implements BudgetCommand {}

    /**
     * Asks for the present figures.
     *
     * @param reply gets them
     */
    record Report(Consumer<BudgetView> reply) implements BudgetCommand {}

    /**
     * Returns what is left to the budget, for a planned stop.
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
     * @param liveEntries number of live entries of all regions, this one included
     * @param writesSnapshots whether this entry writes the snapshots
     */
    record EntriesChanged(int liveEntries, boolean writesSnapshots) implements BudgetCommand {}

    /**
     * The stream was read.
     *
     * @param news result of the read
     */
    record StreamRead(StreamNews news) implements BudgetCommand {}

    /** Time has passed. */
    record Tick() implements BudgetCommand {}
}
