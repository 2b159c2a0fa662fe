package org.fulmarreach.entry.work;

import java.util.List;

import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.exc.Result;

/** Messages of the actor that answers for batch and standing work at this entry. */
public sealed interface WorkCommand {
    /**
     * Asks for all work known at this entry.
     *
     * @param replyTo gets the list
     */
    record ListWork(ActorRef<List<WorkView>> replyTo) implements WorkCommand {}

    /**
     * Asks why a piece of work is where it is.
     *
     * @param name name of the work
     * @param replyTo gets its runs, or {@code NOT_FOUND}
     */
    record ExplainWork(String name, ActorRef<Result<WorkExplanation>> replyTo) implements WorkCommand {}

    /**
     * Cancels the unfinished runs of a batch work, or a standing work until its rule changes.
     *
     * @param name name of the work
     * @param replyTo gets the answer once the log has it, or the problem
     */
    record CancelWork(String name, ActorRef<Result<Done>> replyTo) implements WorkCommand {}

    /**
     * Asks for the leases of the shards of this region.
     *
     * @param replyTo gets one row per shard
     */
    record ListLeases(ActorRef<List<LeaseView>> replyTo) implements WorkCommand {}

    /**
     * Resigns from all shards, for a planned stop.
     *
     * @param replyTo gets {@code Done} once the resignations are in the log or 2 s have passed
     */
    record Resign(ActorRef<Done> replyTo) implements WorkCommand {}
}
