package org.fulmarreach.core.rules;

/**
 * The rules that a process acts on. Immutable.
 *
 * @param revision revision of the rules; 0 before the first publish
 * @param rules the rules
 */
public record RulesInForce(long revision, Rules rules) {
    /** No rules. */
    public static final RulesInForce NONE = new RulesInForce(0, Rules.empty());
}
