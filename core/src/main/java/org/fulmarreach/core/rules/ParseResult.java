package org.fulmarreach.core.rules;

import java.util.List;

/** Result of parsing a text: its rules, or all of its faults. Immutable. */
public sealed interface ParseResult {
    /**
     * The text has no faults.
     *
     * @param rules rules in the order of their lines
     */
    record Parsed(Rules rules) implements ParseResult {}

    /**
     * The text has faults, so none of its rules is used.
     *
     * @param faults all faults, by line and column
     */
    record Faulty(List<RuleFault> faults) implements ParseResult {}
}
