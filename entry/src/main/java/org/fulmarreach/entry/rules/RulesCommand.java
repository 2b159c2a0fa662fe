package org.fulmarreach.entry.rules;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.rules.RulesInForce;
import org.fulmarreach.core.rules.RulesRecord;
import org.fulmarreach.entry.store.StreamReadResult;

/** Messages to the {@link RulesActor}. */
public sealed interface RulesCommand {
    /**
     * Adds a subscriber. It receives the rules in force immediately, if they are loaded, and each newer revision.
     *
     * @param subscriber receives the rules
     */
    record Subscribe(ActorRef<RulesInForce> subscriber) implements RulesCommand {}

    /**
     * Publishes a change of the rules.
     *
     * @param publish the change
     * @param reply completed with the answer, or after the publish timeout at the latest
     */
    record Publish(RulesRecord.Publish publish, CompletableFuture<PublishAnswer> reply) implements RulesCommand {}

    /**
     * Adopts the rules of a peer if they are newer than the rules in force.
     *
     * @param revision revision of the peer's rules
     * @param lines lines of the peer's rules
     */
    record AdoptFromPeer(long revision, List<String> lines) implements RulesCommand {}

    /**
     * Sets whether this entry writes the snapshots.
     *
     * @param writes whether this entry writes them
     */
    record SetSnapshotWriter(boolean writes) implements RulesCommand {}

    /**
     * A read of the stream has completed.
     *
     * @param result result of the read
     */
    record StreamRead(StreamReadResult result) implements RulesCommand {}

    /**
     * The append of a publish has completed or failed.
     *
     * @param publishId id of the publish
     * @param failure cause of the failure; null if the publish is in the log
     */
    record Appended(String publishId, Throwable failure) implements RulesCommand {}

    /** Periodic timer tick. */
    record Tick() implements RulesCommand {}
}
