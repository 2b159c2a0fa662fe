package org.fulmarreach.core.rules;

import java.util.List;

/** What the parser makes of a text: rules, or all of its faults. Immutable. */
public sealed interface ParseResult {
    /**
     * The text has no fault.
     *
     * @param rules its rules in the order of the lines
     */
    record Parsed(Rules rules) implements ParseResult {}

    /**
     * The text has faults and no rule of it counts.
     *
     * @param faults all faults, by line and column
     */
    record Faulty(List<RuleFault> faults) implements ParseResult {}
}
