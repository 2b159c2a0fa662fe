package org.fulmarreach.core.rules;

import org.fulmarreach.core.model.Member;

/**
 * Latency-critical calls of one service below one path. Immutable.
 *
 * @param service name of the service
 * @param path path prefix without a leading slash; empty for all paths of the service
 * @param deadlineMs time within which a call must be answered, in milliseconds
 * @param idempotent whether a call may safely run more than once
 * @param cost cost of one call in the budget's smallest unit
 * @param member member that requested the rule
 * @param text canonical line
 * @param line number of the line, from 1
 */
public record UrgentRule(
        String service,
        String path,
        long deadlineMs,
        boolean idempotent,
        long cost,
        Member member,
        String text,
        int line)
        implements Rule {
    @Override
    public String uniqueKey() {
        return "urgent " + service + "/" + path;
    }
}
