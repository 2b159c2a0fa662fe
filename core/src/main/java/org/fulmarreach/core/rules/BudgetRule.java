package org.fulmarreach.core.rules;

import org.fulmarreach.core.model.Member;

/**
 * The shared budget of the deployment. Immutable.
 *
 * @param amount maximum amount that may be spent in one period, in the budget's smallest unit
 * @param everyMs length of a period in milliseconds; periods start at multiples of it since the epoch, UTC
 * @param member member that requested the rule
 * @param text canonical line
 * @param line number of the line, from 1
 */
public record BudgetRule(long amount, long everyMs, Member member, String text, int line) implements Rule {
    @Override
    public String uniqueKey() {
        return "budget";
    }

    /** Returns the start of the period that contains {@code wallMs}; both in UTC milliseconds. */
    public long findPeriodStartMs(long wallMs) {
        return Math.floorDiv(wallMs, everyMs) * everyMs;
    }
}
