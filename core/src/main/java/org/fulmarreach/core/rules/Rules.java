package org.fulmarreach.core.rules;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fulmarreach.core.model.Member;

/** A valid set of rules with indexes for lookups. Immutable and thread-safe. */
public final class Rules {
    private static final Rules EMPTY = new Rules(List.of());

    private final List<Rule> all;
    private final Map<String, UrgentRule> urgentByKey = new HashMap<>();
    private final Map<String, Rule> workByName = new HashMap<>();
    private final Map<String, QuotaRule> quotaByMember = new HashMap<>();
    private final List<BatchRule> batch = new ArrayList<>();
    private final List<StandingRule> standing = new ArrayList<>();
    private final BudgetRule budget;

    /** Constructs a set from rules that were validated together. */
    Rules(Collection<Rule> rules) {
        all = List.copyOf(rules);
        BudgetRule foundBudget = null;
        for (Rule rule : all) {
            switch (rule) {
                case UrgentRule urgent -> urgentByKey.put(urgent.service() + "/" + urgent.path(), urgent);
                case BatchRule work -> {
                    batch.add(work);
                    workByName.put(work.name(), work);
                }
                case StandingRule work -> {
                    standing.add(work);
                    workByName.put(work.name(), work);
                }
                case QuotaRule quota -> quotaByMember.put(quota.member().name(), quota);
                case BudgetRule budgetRule -> foundBudget = budgetRule;
            }
        }
        budget = foundBudget;
    }

    /** Returns the empty set of rules. */
    public static Rules empty() {
        return EMPTY;
    }

    /** Returns all rules in the order of their lines. */
    public List<Rule> all() {
        return all;
    }

    /** Returns the canonical lines in order. */
    public List<String> lines() {
        return all.stream().map(Rule::text).toList();
    }

    /** Returns the batch rules in the order of their lines. */
    public List<BatchRule> batch() {
        return List.copyOf(batch);
    }

    /** Returns the standing rules in the order of their lines. */
    public List<StandingRule> standing() {
        return List.copyOf(standing);
    }

    /** Returns the budget rule, if there is one. */
    public Optional<BudgetRule> budget() {
        return Optional.ofNullable(budget);
    }

    /** Finds the quota of a member. */
    public Optional<QuotaRule> findQuota(Member member) {
        return Optional.ofNullable(quotaByMember.get(member.name()));
    }

    /** Finds the batch or standing rule with the given name. */
    public Optional<Rule> findWork(String name) {
        return Optional.ofNullable(workByName.get(name));
    }

    /**
     * Finds the urgent rule with the longest matching path prefix on segment boundaries: the rule {@code a/b} matches
     * {@code a/b} and {@code a/b/c}, and does not match {@code a/bc}.
     *
     * @param service name of the service
     * @param path path of the call without query, with or without its leading slash
     */
    public Optional<UrgentRule> findUrgent(String service, String path) {
        String prefix = path.startsWith("/") ? path.substring(1) : path;
        while (true) {
            UrgentRule rule = urgentByKey.get(service + "/" + prefix);
            if (rule != null || prefix.isEmpty()) {
                return Optional.ofNullable(rule);
            }
            int slash = prefix.lastIndexOf('/');
            prefix = slash < 0 ? "" : prefix.substring(0, slash);
        }
    }
}
