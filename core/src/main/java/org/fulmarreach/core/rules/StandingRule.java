package org.fulmarreach.core.rules;

import org.fulmarreach.core.model.Member;
import org.fulmarreach.core.model.Resources;

/**
 * Work that runs until someone ends it. Immutable.
 *
 * @param name name of the work, shared with batch rules
 * @param region name of the region that the work is bound to
 * @param declared declared size, not trusted
 * @param task what the worker runs
 * @param member who asked for the rule
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
