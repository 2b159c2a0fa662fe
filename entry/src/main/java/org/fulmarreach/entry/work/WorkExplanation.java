package org.fulmarreach.entry.work;

import java.util.List;

/**
 * Explanation of why a unit of work is or is not running. Immutable.
 *
 * @param runs runs of the work, the latest first
 * @param explanation sentences, the most important first
 */
public record WorkExplanation(List<WorkView> runs, List<String> explanation) {}
