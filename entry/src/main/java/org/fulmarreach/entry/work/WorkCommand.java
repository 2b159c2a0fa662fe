package org.fulmarreach.entry.work;

import java.util.List;

import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.exc.Result;

/** Messages to the actor that handles requests about batch and standing work at this entry. */
public sealed interface WorkCommand {
    /**
     * Requests a list of all work that this entry has recorded or found in the rules.
     *
     * @param replyTo receives the list
     */
    record ListWork(ActorRef<List<WorkView>> replyTo) implements WorkCommand {}

    /**
     * Requests an explanation of the state of a unit of work.
     *
     * @param name name of the work
     * @param replyTo receives its runs with explanations, or {@code NOT_FOUND}
     */
    record ExplainWork(String name, ActorRef<Result<WorkExplanation>> replyTo) implements WorkCommand {}

    /**
     * Cancels the unfinished runs of batch work, or standing work until its rule changes.
     *
     * @param name name of the work
     * @param replyTo receives the answer once the cancellation is in the log, or the problem
     */
    record CancelWork(String name, ActorRef<Result<Done>> replyTo) implements WorkCommand {}

    /**
     * Requests the leases of the shards of this region.
     *
     * @param replyTo receives one element per shard that answered in time
     */
    record ListLeases(ActorRef<List<LeaseView>> replyTo) implements WorkCommand {}

    /**
     * Resigns the leadership of all shards, for a planned shutdown.
     *
     * @param replyTo receives {@code Done} once the resignations are in the log or 2 s have passed
     */
    record Resign(ActorRef<Done> replyTo) implements WorkCommand {}
}
