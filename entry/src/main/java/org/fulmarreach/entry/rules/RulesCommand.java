package org.fulmarreach.entry.rules;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.rules.RulesInForce;
import org.fulmarreach.core.rules.RulesRecord;
import org.fulmarreach.entry.store.StreamNews;

/** Messages of the actor that owns the rules in force. */
public sealed interface RulesCommand {
    /**
     * Adds a subscriber; it gets the rules in force at once, if there are any, and each newer revision.
     *
     * @param subscriber receives the rules
     */
    record Subscribe(ActorRef<RulesInForce> subscriber) implements RulesCommand {}

    /**
     * Publishes a change.
     *
     * @param publish the change
     * @param reply completed with the answer, at the latest after the publish bound
     */
    record Publish(RulesRecord.Publish publish, CompletableFuture<PublishAnswer> reply) implements RulesCommand {}

    /**
     * Takes over the rules of a peer if they are newer than those in force.
     *
     * @param revision their revision
     * @param lines their lines
     */
    record AdoptFromPeer(long revision, List<String> lines) implements RulesCommand {}

    /**
     * Tells whether this entry writes the snapshots.
     *
     * @param writes whether it does
     */
    record ChooseSnapshotWriter(boolean writes) implements RulesCommand {}

    /**
     * The stream was read.
     *
     * @param news result of the read
     */
    record StreamRead(StreamNews news) implements RulesCommand {}

    /**
     * A publish was appended, or the append failed.
     *
     * @param publishId id of the publish
     * @param failure why it failed; null if it is in the log
     */
    record Appended(String publishId, Throwable failure) implements RulesCommand {}

    /** Time has passed. */
    record Tick() implements RulesCommand {}
}
