package org.fulmarreach.core.rules;

import org.fulmarreach.core.model.Member;
import org.fulmarreach.core.model.Resources;

/**
 * Maximum of resources and tasks that the work of one member may use at the same time. Immutable.
 *
 * @param limit maximum of processors and memory
 * @param tasks maximum number of running tasks
 * @param member member that the quota applies to
 * @param text canonical line
 * @param line number of the line, from 1
 */
public record QuotaRule(Resources limit, long tasks, Member member, String text, int line) implements Rule {
    @Override
    public String uniqueKey() {
        return "quota " + member.name();
    }
}
