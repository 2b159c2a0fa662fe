package org.fulmarreach.core.interference;

import java.util.Map;
import java.util.Optional;

import org.fulmarreach.core.model.TaskId;

/**
 * What the controller wants after a window. Immutable.
 *
 * @param shares new shares of processors, in (0, 1], for the tasks that change
 * @param evict task whose eviction is needed now, since throttling brought no relief
 */
public record ThrottleDecision(Map<TaskId, Double> shares, Optional<TaskId> evict) {
    /** Nothing to do. */
    public static final ThrottleDecision NONE = new ThrottleDecision(Map.of(), Optional.empty());
}
