package org.fulmarreach.core.work;

/** A message between entries about the leadership of one shard. Immutable. */
public sealed interface PeerMessage {
    /**
     * Asks a witness to confirm that it cannot reach the store either.
     *
     * @param term term of the leader
     * @param askedMs reading of the leader's clock in milliseconds
     */
    record ConfirmOutage(long term, long askedMs) implements PeerMessage {}

    /**
     * Answer of a witness to {@link ConfirmOutage}.
     *
     * @param term term of the leader
     * @param confirmed whether the witness cannot reach the store and has seen no higher term
     * @param askedMs reading of the leader's clock when it sent the request
     */
    record OutageAnswer(long term, boolean confirmed, long askedMs) implements PeerMessage {}

    /**
     * Asks a witness to stop confirming outages to leaders with lower terms.
     *
     * @param term term of the new leader
     */
    record FenceLeader(long term) implements PeerMessage {}

    /**
     * Answer of a witness to {@link FenceLeader}.
     *
     * @param term term of the new leader
     * @param acknowledged whether lower terms are fenced
     */
    record FenceAnswer(long term, boolean acknowledged) implements PeerMessage {}
}
