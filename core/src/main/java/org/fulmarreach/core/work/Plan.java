package org.fulmarreach.core.work;

import java.util.List;
import java.util.Map;

/**
 * Result of one planning step. Immutable.
 *
 * @param assigns assignments to append to the log
 * @param waiting runs that do not start now, with the reason
 * @param notices events to log
 */
record Plan(List<WorkDecision.Assign> assigns, Map<RunKey, String> waiting, List<Action.Notify> notices) {}
