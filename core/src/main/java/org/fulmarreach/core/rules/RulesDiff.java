package org.fulmarreach.core.rules;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Difference between two sets of lines in canonical form. Order, white space, blank lines and lines with only a comment
 * are ignored. Immutable.
 *
 * @param removed lines that are only in the first set
 * @param added lines that are only in the second set
 */
public record RulesDiff(List<String> removed, List<String> added) {
    /** Constructs the difference that turns {@code before} into {@code after}. */
    public static RulesDiff between(List<String> before, List<String> after) {
        Set<String> linesBefore = toCanonicalSet(before);
        Set<String> linesAfter = toCanonicalSet(after);
        return new RulesDiff(
                linesBefore.stream().filter(line -> !linesAfter.contains(line)).toList(),
                linesAfter.stream().filter(line -> !linesBefore.contains(line)).toList());
    }

    /** Returns whether both sets are equal. */
    public boolean isEmpty() {
        return removed.isEmpty() && added.isEmpty();
    }

    private static Set<String> toCanonicalSet(List<String> lines) {
        Set<String> canonicalLines = new LinkedHashSet<>();
        for (String line : lines) {
            String text = LineText.toCanonical(line);
            if (!text.isEmpty() && !text.startsWith("#")) {
                canonicalLines.add(text);
            }
        }
        return canonicalLines;
    }
}
