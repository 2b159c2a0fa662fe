package org.fulmarreach.entry.http;

import java.util.List;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.entry.budget.BudgetCommand;
import org.fulmarreach.entry.guards.DirectoryCommand;
import org.fulmarreach.entry.peers.PeersCommand;
import org.fulmarreach.entry.rules.RulesCommand;
import org.fulmarreach.entry.work.WorkCommand;

/**
 * References to the actors of one entry that the endpoints use. Immutable.
 *
 * @param directory owner of the connections to guards and of calls
 * @param rules owner of the rules in force
 * @param budget owner of this entry's share of the budget, its purse
 * @param peers owner of the connections to other entries
 * @param work owner of batch and standing work
 */
public record EntryActors(
        ActorRef<DirectoryCommand> directory,
        ActorRef<RulesCommand> rules,
        ActorRef<BudgetCommand> budget,
        ActorRef<PeersCommand> peers,
        ActorRef<WorkCommand> work) {
    /** Returns all actors. */
    public List<ActorRef<?>> all() {
        return List.of(directory, rules, budget, peers, work);
    }
}
