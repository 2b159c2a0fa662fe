package org.fulmarreach.core.rules;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fulmarreach.core.exc.ErrorCode;

/**
 * Result of validating a publish against the rules in force, before it is applied.
 *
 * @param removedKeys unique keys of the rules to remove
 * @param added rules to add
 * @param code error code of the faults
 * @param faults all faults; empty if the publish is valid
 */
record PublishCheck(Set<String> removedKeys, List<Rule> added, ErrorCode code, List<RuleFault> faults) {
    /**
     * Name and region of batch or standing work.
     *
     * @param name name of the work
     * @param region region that it runs in
     */
    record RegionBinding(String name, String region) {}

    /** Validates a publish. The result depends only on the arguments, so that all readers decide the same. */
    static PublishCheck of(RulesRecord.Publish publish, Map<String, Rule> inForce, Map<String, String> regionByName) {
        List<RuleFault> faults = new ArrayList<>();
        Set<String> removedKeys = findRemoved(publish.removed(), inForce, faults);
        List<Rule> added = switch (RulesParser.parse(publish.added())) {
            case ParseResult.Parsed parsed -> parsed.rules().all();
            case ParseResult.Faulty faulty -> {
                faults.addAll(faulty.faults());
                yield List.of();
            }
        };
        for (Rule rule : added) {
            if (inForce.containsKey(rule.uniqueKey()) && !removedKeys.contains(rule.uniqueKey())) {
                faults.add(RulesParser.createDuplicateFault(rule, "the rules in force"));
            }
        }
        if (!faults.isEmpty()) {
            return new PublishCheck(removedKeys, added, ErrorCode.BAD_REQUEST, faults);
        }
        checkRegions(added, regionByName, faults);
        if (!faults.isEmpty()) {
            return new PublishCheck(removedKeys, added, ErrorCode.REGION_BOUND, faults);
        }
        checkSizes(inForce.size() - removedKeys.size(), added, regionByName, faults);
        return new PublishCheck(removedKeys, added, ErrorCode.TOO_LARGE, faults);
    }

    /** Returns the name and region of a batch or standing rule; empty for other rules. */
    static Optional<RegionBinding> findWork(Rule rule) {
        return switch (rule) {
            case BatchRule batch -> Optional.of(new RegionBinding(batch.name(), batch.region()));
            case StandingRule standing -> Optional.of(new RegionBinding(standing.name(), standing.region()));
            case UrgentRule urgent -> Optional.empty();
            case QuotaRule quota -> Optional.empty();
            case BudgetRule budget -> Optional.empty();
        };
    }

    private static Set<String> findRemoved(List<String> removed, Map<String, Rule> inForce, List<RuleFault> faults) {
        Set<String> keys = new HashSet<>();
        for (int i = 0; i < removed.size(); i++) {
            String canonical = RulesParser.toCanonical(removed.get(i));
            String key = RulesParser.parse(List.of(canonical)) instanceof ParseResult.Parsed parsed
                            && !parsed.rules().all().isEmpty()
                    ? parsed.rules().all().get(0).uniqueKey()
                    : "";
            Rule rule = inForce.get(key);
            if (rule == null || !rule.text().equals(canonical) || !keys.add(key)) {
                faults.add(new RuleFault(
                        i + 1, 1, "a line that is in force", canonical, "Read the current rules and publish again."));
            }
        }
        return keys;
    }

    private static void checkRegions(List<Rule> added, Map<String, String> regionByName, List<RuleFault> faults) {
        for (Rule rule : added) {
            RegionBinding work = findWork(rule).orElse(null);
            String boundRegion = work == null ? null : regionByName.get(work.name());
            if (boundRegion != null && !boundRegion.equals(work.region())) {
                faults.add(new RuleFault(
                        rule.line(),
                        1,
                        "region=" + boundRegion + ", to which the name " + work.name() + " is bound",
                        "region=" + work.region(),
                        ErrorCode.REGION_BOUND.remedy()));
            }
        }
    }

    private static void checkSizes(
            int kept, List<Rule> added, Map<String, String> regionByName, List<RuleFault> faults) {
        if (kept + added.size() > RulesParser.MAX_LINES) {
            faults.add(new RuleFault(
                    1,
                    1,
                    "at most " + RulesParser.MAX_LINES + " rules",
                    (kept + added.size()) + " rules",
                    "Remove rules that are no longer needed."));
        }
        long newNames = added.stream()
                .map(PublishCheck::findWork)
                .flatMap(Optional::stream)
                .filter(work -> !regionByName.containsKey(work.name()))
                .count();
        if (regionByName.size() + newNames > RuleBook.MAX_BINDINGS) {
            faults.add(new RuleFault(
                    1,
                    1,
                    "at most " + RuleBook.MAX_BINDINGS + " names of work, including those of removed rules",
                    (regionByName.size() + newNames) + " names",
                    "Reuse a name that is already bound to the same region."));
        }
    }
}
