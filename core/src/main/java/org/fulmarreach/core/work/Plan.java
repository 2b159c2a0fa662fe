package org.fulmarreach.core.work;

import java.util.List;
import java.util.Map;

/**
 * Result of one planning step. Immutable.
 *
 * @param assigns placements to record
 * @param waiting why the other runs do not start now
 * @param notices events
 */
record Plan(List<WorkDecision.Assign> assigns, Map<RunKey, String> waiting, List<Action.Notify> notices) {}
