package org.fulmarreach.entry.work;

import java.util.List;

/**
 * Why a piece of work is or is not running. Immutable.
 *
 * @param runs its runs, the latest first
 * @param explanation sentences, the most important first
 */
public record WorkExplanation(List<WorkView> runs, List<String> explanation) {}
