package org.fulmarreach.core.work;

import java.util.List;

/** What the fold made of one record. Immutable. */
public sealed interface FoldOutcome {
    /**
     * The record counts.
     *
     * @param applied decisions that took effect, in order
     * @param voided decisions that had no effect, in order
     */
    record Accepted(List<WorkDecision> applied, List<WorkDecision> voided) implements FoldOutcome {}

    /**
     * The record has no effect.
     *
     * @param reason why
     */
    record Ignored(String reason) implements FoldOutcome {}
}
