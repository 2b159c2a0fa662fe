package org.fulmarreach.core.rules;

import org.fulmarreach.core.model.Member;
import org.fulmarreach.core.model.Resources;

/**
 * Work without a scheduled end, which runs until it is stopped. Immutable.
 *
 * @param name name of the work; batch and standing rules share one namespace
 * @param region name of the region that the work is bound to
 * @param declared declared size, an unverified estimate
 * @param task task specification that the worker runs
 * @param member member that requested the rule
 * @param text canonical line
 * @param line number of the line, from 1
 */
public record StandingRule(
        String name, String region, Resources declared, String task, Member member, String text, int line)
        implements Rule {
    @Override
    public String uniqueKey() {
        return "work " + name;
    }
}
