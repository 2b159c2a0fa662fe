package org.fulmarreach.core.work;

import java.util.List;

/** Result of applying one log record to {@link ShardState}. Immutable. */
public sealed interface ApplyOutcome {
    /**
     * The record was accepted.
     *
     * @param applied decisions that took effect, in order
     * @param voided decisions that had no effect, in order
     */
    record Accepted(List<WorkDecision> applied, List<WorkDecision> voided) implements ApplyOutcome {}

    /**
     * The record was ignored and has no effect.
     *
     * @param reason why it was ignored
     */
    record Ignored(String reason) implements ApplyOutcome {}
}
