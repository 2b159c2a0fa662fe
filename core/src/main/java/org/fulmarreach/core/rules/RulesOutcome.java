package org.fulmarreach.core.rules;

import java.util.List;

import org.fulmarreach.core.exc.ErrorCode;

/** Result of applying one record to the {@link RuleBook}; the same at each synchronized reader. Immutable. */
public sealed interface RulesOutcome {
    /**
     * The publish was accepted and is in force.
     *
     * @param publishId id of the publish
     * @param revision the new revision
     */
    record Accepted(String publishId, long revision) implements RulesOutcome {}

    /**
     * The publish repeats an accepted one and changed nothing.
     *
     * @param publishId id of both publishes
     * @param revision revision that the first one created
     */
    record Duplicate(String publishId, long revision) implements RulesOutcome {}

    /**
     * The publish is based on an outdated revision, because another publish was accepted first; nothing changed.
     *
     * @param publishId id of the publish
     * @param baseRevision revision that it was made against
     * @param revision the current revision
     */
    record Conflict(String publishId, long baseRevision, long revision) implements RulesOutcome {}

    /**
     * The publish is not valid; nothing changed.
     *
     * @param publishId id of the publish
     * @param code {@code BAD_REQUEST}, {@code REGION_BOUND} or {@code TOO_LARGE}
     * @param faults all faults; line numbers are relative to {@code added} or {@code removed}
     */
    record Rejected(String publishId, ErrorCode code, List<RuleFault> faults) implements RulesOutcome {}

    /**
     * The rule book was restored from this snapshot.
     *
     * @param revision revision of the snapshot
     */
    record Restored(long revision) implements RulesOutcome {}

    /**
     * The record has no effect.
     *
     * @param reason why it has no effect
     */
    record Ignored(Reason reason) implements RulesOutcome {}

    /** Why a record has no effect. */
    enum Reason {
        /** The record at this offset was already applied. */
        ALREADY_APPLIED,
        /** Earlier records were truncated and no valid snapshot has been read since. */
        NO_SNAPSHOT_YET,
        /** The rule book is synchronized and needs no snapshot. */
        SNAPSHOT_NOT_NEEDED,
        /** Another record was appended between the state in the snapshot and the snapshot itself. */
        SNAPSHOT_OVERTAKEN,
        /** The revision of the snapshot is lower than that of the rule book. */
        SNAPSHOT_LOWER,
        /** The lines of the snapshot have faults. */
        SNAPSHOT_FAULTY
    }
}
