package org.fulmarreach.core.rules;

import org.fulmarreach.core.model.Member;
import org.fulmarreach.core.model.Resources;

/**
 * Most that the work of one member may hold at a time. Immutable.
 *
 * @param limit processors and memory
 * @param tasks number of running tasks
 * @param member whose quota it is
 * @param text canonical line
 * @param line number of the line, from 1
 */
public record QuotaRule(Resources limit, long tasks, Member member, String text, int line) implements Rule {
    @Override
    public String uniqueKey() {
        return "quota " + member.name();
    }
}
