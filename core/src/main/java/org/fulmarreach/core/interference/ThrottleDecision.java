package org.fulmarreach.core.interference;

import java.util.Map;
import java.util.Optional;

import org.fulmarreach.core.model.TaskId;

/**
 * Decision of the {@link ThrottleController} after a latency window. Immutable.
 *
 * @param shares new CPU shares, in (0, 1], of the tasks whose share changes
 * @param evict task to evict, because throttling it to the minimum share was not enough
 */
public record ThrottleDecision(Map<TaskId, Double> shares, Optional<TaskId> evict) {
    /** The decision to change nothing. */
    public static final ThrottleDecision NONE = new ThrottleDecision(Map.of(), Optional.empty());
}
