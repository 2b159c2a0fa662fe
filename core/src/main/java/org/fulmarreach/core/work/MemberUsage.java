package org.fulmarreach.core.work;

import java.util.HashMap;
import java.util.Map;

import org.fulmarreach.core.model.Member;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.rules.QuotaRule;
import org.fulmarreach.core.rules.Rules;

/** Resources and tasks of each member in the region, for quota checks. Not thread-safe; used for one planning step. */
final class MemberUsage {
    private final Rules rules;
    private final Map<String, Resources> used = new HashMap<>();
    private final Map<String, Long> tasks = new HashMap<>();

    MemberUsage(Rules rules) {
        this.rules = rules;
    }

    void add(String member, Resources size) {
        used.merge(member, size, Resources::plus);
        tasks.merge(member, 1L, Long::sum);
    }

    /** Returns why a task of the given size would exceed the member's quota, or null if it fits. */
    String explainQuotaExcess(String member, Resources size) {
        QuotaRule quota = rules.findQuota(new Member(member)).orElse(null);
        if (quota == null) {
            return null;
        }
        Resources after = used.getOrDefault(member, Resources.NONE).plus(size);
        long tasksAfter = tasks.getOrDefault(member, 0L) + 1;
        if (tasksAfter > quota.tasks()) {
            return "waits for the quota of " + member + ": " + quota.tasks() + " tasks";
        }
        if (after.milliCores() > quota.limit().milliCores()
                || after.memoryMb() > quota.limit().memoryMb()) {
            return "waits for the quota of " + member + ": " + quota.limit().milliCores() / 1000.0 + " cores, "
                    + quota.limit().memoryMb() + " MiB";
        }
        return null;
    }
}
