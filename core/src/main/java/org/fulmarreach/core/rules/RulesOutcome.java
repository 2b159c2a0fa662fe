package org.fulmarreach.core.rules;

import java.util.List;

import org.fulmarreach.core.exc.ErrorCode;

/** What the fold made of one record; the same at each reader whose book is synchronized. Immutable. */
public sealed interface RulesOutcome {
    /**
     * The publish is in force.
     *
     * @param publishId id of the publish
     * @param revision the new revision
     */
    record Accepted(String publishId, long revision) implements RulesOutcome {}

    /**
     * The publish repeats an accepted one and changed nothing.
     *
     * @param publishId id of both
     * @param revision revision that the first one made
     */
    record Duplicate(String publishId, long revision) implements RulesOutcome {}

    /**
     * Another publish came first; nothing changed.
     *
     * @param publishId id of the publish
     * @param baseRevision revision that it was made against
     * @param revision the present revision
     */
    record Conflict(String publishId, long baseRevision, long revision) implements RulesOutcome {}

    /**
     * The publish is not valid; nothing changed.
     *
     * @param publishId id of the publish
     * @param code {@code BAD_REQUEST}, {@code REGION_BOUND} or {@code TOO_LARGE}
     * @param faults all faults; lines are counted within {@code added} or {@code removed}
     */
    record Rejected(String publishId, ErrorCode code, List<RuleFault> faults) implements RulesOutcome {}

    /**
     * The book starts from this snapshot.
     *
     * @param revision revision of the snapshot
     */
    record Restored(long revision) implements RulesOutcome {}

    /**
     * The record has no effect.
     *
     * @param reason why
     */
    record Ignored(Reason reason) implements RulesOutcome {}

    /** Why a record has no effect. */
    enum Reason {
        /** The book has applied this offset already. */
        ALREADY_APPLIED,
        /** Earlier records are lost and no snapshot has followed yet. */
        NO_SNAPSHOT_YET,
        /** The book is synchronized and needs no snapshot. */
        SNAPSHOT_NOT_NEEDED,
        /** Another record came between the state of the snapshot and the snapshot. */
        SNAPSHOT_OVERTAKEN,
        /** The snapshot is older than the rules in force. */
        SNAPSHOT_LOWER,
        /** The lines of the snapshot have faults. */
        SNAPSHOT_FAULTY
    }
}
