package org.fulmarreach.entry.http;

import java.util.List;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.entry.budget.BudgetCommand;
import org.fulmarreach.entry.guards.DirectoryCommand;
import org.fulmarreach.entry.peers.PeersCommand;
import org.fulmarreach.entry.rules.RulesCommand;
import org.fulmarreach.entry.work.WorkCommand;

/**
 * The actors of one entry that the endpoints speak to. Immutable.
 *
 * @param directory guards and calls
 * @param rules rules in force
 * @param budget purse
 * @param peers other entries
 * @param work batch and standing work
 */
public record EntryActors(
        ActorRef<DirectoryCommand> directory,
        ActorRef<RulesCommand> rules,
        ActorRef<BudgetCommand> budget,
        ActorRef<PeersCommand> peers,
        ActorRef<WorkCommand> work) {
    /** Returns all of them. */
    public List<ActorRef<?>> all() {
        return List.of(directory, rules, budget, peers, work);
    }
}
