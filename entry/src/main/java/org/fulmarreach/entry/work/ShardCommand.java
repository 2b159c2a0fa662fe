package org.fulmarreach.entry.work;

import java.util.List;

import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.rules.Rules;
import org.fulmarreach.core.work.GuardReport;
import org.fulmarreach.entry.peers.PeerEvent;
import org.fulmarreach.platform.LogRead;

/** Messages of the actor of one shard. */
sealed interface ShardCommand {
    /** Rules are in force. */
    record RulesChanged(Rules rules) implements ShardCommand {}

    /** A guard sent a heartbeat. */
    record GuardSeen(GuardReport report) implements ShardCommand {}

    /** The connection to a guard ended. */
    record GuardLost(String vm) implements ShardCommand {}

    /** Something happened to another entry. */
    record PeerChanged(PeerEvent event) implements ShardCommand {}

    /**
     * A read ended.
     *
     * @param issuedMs when it was sent
     * @param read answer; null when the read failed
     */
    record ReadDone(long issuedMs, LogRead read) implements ShardCommand {}

    /**
     * An append ended; a failed one may have taken effect.
     *
     * @param batchId id of the batch
     * @param success whether the store has it
     */
    record AppendDone(String batchId, boolean success) implements ShardCommand {}

    /** An append to the stream for probes ended. */
    record ProbeDone(boolean success) implements ShardCommand {}

    /** Asks for the state of the shard. */
    record Describe(ActorRef<ShardDescription> replyTo) implements ShardCommand {}

    /** Cancels a work. */
    record Cancel(String work, ActorRef<Result<Done>> replyTo) implements ShardCommand {}

    /** Resigns for a planned stop. */
    record Resign(ActorRef<Done> replyTo) implements ShardCommand {}

    /** Periodic work. */
    enum Timer implements ShardCommand {
        /** Decides what is due. */
        TICK,
        /** Reads again after a failure. */
        READ
    }

    /**
     * State of a shard. Immutable.
     *
     * @param lease its lease
     * @param runs its runs
     */
    record ShardDescription(LeaseView lease, List<WorkView> runs) {}
}
