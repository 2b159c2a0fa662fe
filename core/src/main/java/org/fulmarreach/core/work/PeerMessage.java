package org.fulmarreach.core.work;

/** Messages about one shard between entries. Immutable. */
public sealed interface PeerMessage {
    /**
     * Asks a witness to confirm that it cannot reach the store either.
     *
     * @param term term of the leader
     * @param askedMs clock of the leader
     */
    record ConfirmOutage(long term, long askedMs) implements PeerMessage {}

    /**
     * Answer of a witness.
     *
     * @param term term of the leader
     * @param confirmed whether the witness cannot reach the store and knows no higher term
     * @param askedMs clock of the leader when it asked
     */
    record OutageAnswer(long term, boolean confirmed, long askedMs) implements PeerMessage {}

    /**
     * Asks a witness to confirm no outage for a lower term any more.
     *
     * @param term term of the new leader
     */
    record FenceLeader(long term) implements PeerMessage {}

    /**
     * Answer of a witness.
     *
     * @param term term of the new leader
     * @param acknowledged whether lower terms are fenced
     */
    record FenceAnswer(long term, boolean acknowledged) implements PeerMessage {}
}
