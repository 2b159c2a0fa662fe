package org.fulmarreach.core.rules;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Difference of two sets of lines in canonical form; order, white space, blank lines and pure comment lines do not
 * count. Immutable.
 *
 * @param removed lines of the first set only
 * @param added lines of the second set only
 */
public record RulesDiff(List<String> removed, List<String> added) {
    /** Constructs the difference that turns {@code before} into {@code after}. */
    public static RulesDiff between(List<String> before, List<String> after) {
        Set<String> old = canonical(before);
        Set<String> present = canonical(after);
        return new RulesDiff(
                old.stream().filter(line -> !present.contains(line)).toList(),
                present.stream().filter(line -> !old.contains(line)).toList());
    }

    /** Returns whether both sets are equal. */
    public boolean isEmpty() {
        return removed.isEmpty() && added.isEmpty();
    }

    private static Set<String> canonical(List<String> lines) {
        Set<String> out = new LinkedHashSet<>();
        for (String line : lines) {
            String text = LineText.toCanonical(line);
            if (!text.isEmpty() && !text.startsWith("#")) {
                out.add(text);
            }
        }
        return out;
    }
}
