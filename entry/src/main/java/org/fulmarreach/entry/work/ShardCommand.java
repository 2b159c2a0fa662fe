package org.fulmarreach.entry.work;

import java.util.List;

import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.rules.Rules;
import org.fulmarreach.core.work.GuardReport;
import org.fulmarreach.entry.peers.PeerEvent;
import org.fulmarreach.platform.LogRead;

/** Messages to the actor of one shard. */
sealed interface ShardCommand {
    /** New rules have taken effect. */
    record RulesChanged(Rules rules) implements ShardCommand {}

    /** A guard sent a heartbeat. */
    record GuardReported(GuardReport report) implements ShardCommand {}

    /** The connection to a guard ended. */
    record GuardDisconnected(String vm) implements ShardCommand {}

    /** The state of another entry changed, or it sent a message. */
    record PeerChanged(PeerEvent event) implements ShardCommand {}

    /**
     * A read completed.
     *
     * @param issuedMs time at which the read was sent
     * @param read result of the read; null if it failed
     */
    record ReadDone(long issuedMs, LogRead read) implements ShardCommand {}

    /**
     * An append completed; a failed append may still have taken effect.
     *
     * @param batchId id of the batch
     * @param success whether the store confirmed the append
     */
    record AppendDone(String batchId, boolean success) implements ShardCommand {}

    /** An append to the probe stream completed. */
    record ProbeDone(boolean success) implements ShardCommand {}

    /** Requests the state of the shard. */
    record Describe(ActorRef<ShardDescription> replyTo) implements ShardCommand {}

    /** Cancels a unit of work. */
    record Cancel(String work, ActorRef<Result<Done>> replyTo) implements ShardCommand {}

    /** Resigns the leadership for a planned shutdown. */
    record Resign(ActorRef<Done> replyTo) implements ShardCommand {}

    /** Messages that the actor's timers send. */
    enum Timer implements ShardCommand {
        /** Makes the decisions that are due. */
        TICK,
        /** Retries a failed read. */
        READ
    }

    /**
     * State of a shard. Immutable.
     *
     * @param lease lease of the shard
     * @param runs runs of the shard's work
     */
    record ShardDescription(LeaseView lease, List<WorkView> runs) {}
}
