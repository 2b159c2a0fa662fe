package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.rules.BatchRule;
import org.fulmarreach.core.rules.BatchRun;
import org.fulmarreach.core.rules.Rule;
import org.fulmarreach.core.rules.Rules;
import org.fulmarreach.core.rules.StandingRule;

/**
 * Decides which pending runs of a shard start now and on which VM: standing work first, then batch runs by least slack.
 * Not thread-safe; owned by its {@link ShardLeader}.
 */
final class Scheduler {
    private static final int MAX_STARTS_PER_STEP = 500;

    /**
     * A batch run with more slack than this and than four times its expected run time leaves resources free for the
     * loss of a rack. Runs with at most this slack are urgent.
     */
    private static final long SAFE_SLACK_MS = 60_000;

    private static final int MAX_WARNED_RUNS = 10_000;

    private static final long AVOID_AFTER_EVICTION_MS = 60_000;
    private static final long AVOID_AFTER_REFUSAL_MS = 5_000;

    /** Interval of checking whether batch work that is not due yet fits on any VM. */
    private static final long FIT_CHECK_INTERVAL_MS = 10_000;

    /** Smoothing factor of the average throttling per service and work. */
    private static final double INTERFERENCE_SMOOTHING = 0.05;

    private final ShardId shard;
    private final RandomGenerator random;
    private final StartFailureTracker health = new StartFailureTracker();
    private final WorkEstimator estimator = new WorkEstimator();
    private final Map<String, Double> interference = new HashMap<>();
    private final Map<RunKey, Long> seenBeforeDeadline = new HashMap<>();
    private final Map<RunKey, Map<String, Long>> avoidedUntilMs = new HashMap<>();
    private final Set<RunKey> warned = new HashSet<>();
    private final Map<String, Rule> owned = new TreeMap<>();
    private final Map<String, String> unplaceable = new HashMap<>();
    private Rules rules = Rules.empty();
    private long fitCheckedMs = Placement.NEVER;

    Scheduler(ShardId shard, RandomGenerator random) {
        this.shard = shard;
        this.random = random;
    }

    // Inputs

    void changeRules(Rules newRules) {
        rules = newRules;
        owned.clear();
        for (BatchRule rule : newRules.batch()) {
            if (shard.owns(rule.name(), rule.region())) {
                owned.put(rule.name(), rule);
            }
        }
        for (StandingRule rule : newRules.standing()) {
            if (shard.owns(rule.name(), rule.region())) {
                owned.put(rule.name(), rule);
            }
        }
    }

    void observe(GuardReport report) {
        for (TaskReport task : report.tasks()) {
            if (task.phase() == TaskReport.Phase.RUNNING
                    && owned.containsKey(task.task().work())) {
                estimator.observeUsage(task.task().work(), task.usage());
                double observed = 1 - task.throttleShare();
                interference.merge(
                        interferenceKey(report.service(), task.task().work()),
                        observed * INTERFERENCE_SMOOTHING,
                        (old, ignored) -> old + INTERFERENCE_SMOOTHING * (observed - old));
            }
        }
    }

    /** Records the end of a task; returns an event to log, or null. */
    Action.Notify observeEnd(TaskReport report, String vm, long runningMs, long nowMs) {
        String work = report.task().work();
        switch (report.phase()) {
            case SUCCEEDED -> {
                health.recordSuccess(vm);
                estimator.observeRuntime(work, Math.max(1, runningMs));
            }
            case FAILED -> {
                if (health.recordFailure(vm, work, nowMs)) {
                    return new Action.Notify(WorkNotice.VM_EJECTED, "vm=" + vm + " work=" + work);
                }
            }
            default -> health.clearProbe(vm);
        }
        return null;
    }

    /** Records an eviction: the run avoids the VM for some time, which is shorter for standing work. */
    void observeEviction(RunKey key, String vm, long nowMs) {
        avoid(key, vm, nowMs + (key.standing() ? AVOID_AFTER_EVICTION_MS / 6 : AVOID_AFTER_EVICTION_MS));
    }

    /** Records a refused start. The VM would refuse the run again until its guard has reported its free resources. */
    void observeRefusal(RunKey key, String vm, long nowMs) {
        avoid(key, vm, nowMs + AVOID_AFTER_REFUSAL_MS);
    }

    /** Drops the data kept for a run that has ended. */
    void forget(RunKey key) {
        avoidedUntilMs.remove(key);
    }

    private void avoid(RunKey key, String vm, long untilMs) {
        avoidedUntilMs.computeIfAbsent(key, run -> new HashMap<>()).put(vm, untilMs);
    }

    // Public API

    /** Returns the rule of a unit of work in this shard, or null if there is none. */
    Rule findRule(String work) {
        return owned.get(work);
    }

    /** Returns the rules of this shard's work, ordered by name. */
    Collection<Rule> rules() {
        return owned.values();
    }

    /** Returns why batch work fits on no reachable VM, or null if the last check found one that it fits on. */
    String findUnplaceableReason(String work) {
        return unplaceable.get(work);
    }

    Resources estimateSize(Rule rule) {
        return switch (rule) {
            case BatchRule batch -> estimator.estimateSize(batch.name(), batch.declared());
            case StandingRule standing -> estimator.estimateSize(standing.name(), standing.declared());
            default -> Resources.NONE;
        };
    }

    /**
     * Returns the latest due run of a batch rule, unless it is already recorded or was first seen after its deadline.
     */
    List<BatchRun> findDueRuns(BatchRule rule, ShardState state, long wallMs) {
        List<BatchRun> due = new ArrayList<>();
        for (BatchRun run : rule.findRuns(wallMs - rule.everyMs() + 1, wallMs + 1)) {
            RunKey key = new RunKey(rule.name(), run.run());
            boolean open = run.deadlineMs() > wallMs || seenBeforeDeadline.containsKey(key);
            if (open && state.find(key) == null && !state.isCompacted(key)) {
                due.add(run);
            }
        }
        return due;
    }

    Plan plan(
            ShardState state,
            Map<String, TrackedGuard> guards,
            Collection<Placement> placements,
            long nowMs,
            long wallMs) {
        Plan plan = new Plan(new ArrayList<>(), new HashMap<>(), new ArrayList<>());
        reportFailingWorkers(guards, plan, nowMs);
        checkFit(guards, plan, nowMs, wallMs);
        List<Candidate> candidates = findCandidates(state, wallMs);
        if (candidates.isEmpty()) {
            return plan;
        }
        VmPool pool = new VmPool(
                guards.values(),
                health,
                (service, work) -> interference.getOrDefault(interferenceKey(service, work), 0.0),
                random,
                nowMs);
        MemberUsage usage = countUsage(guards, placements, pool, nowMs);
        Resources headroom = findHeadroom(guards, nowMs);
        candidates.sort(Comparator.comparing((Candidate c) -> !c.key().standing())
                .thenComparingLong(Candidate::slackMs)
                .thenComparing(Candidate::key));
        for (Candidate candidate : candidates) {
            if (plan.assigns().size() < MAX_STARTS_PER_STEP) {
                place(candidate, pool, usage, headroom, plan, nowMs);
            }
        }
        return plan;
    }

    // Helpers

    private void reportFailingWorkers(Map<String, TrackedGuard> guards, Plan plan, long nowMs) {
        guards.forEach((vm, guard) -> {
            if (guard.report().workerFailing() && guard.isReachable(nowMs) && health.recordFailingWorker(vm, nowMs)) {
                plan.notices().add(new Action.Notify(WorkNotice.VM_EJECTED, "vm=" + vm + " reported by its guard"));
            }
        });
    }

    private List<Candidate> findCandidates(ShardState state, long wallMs) {
        List<Candidate> found = new ArrayList<>();
        for (WorkEntry entry : state.entries()) {
            Rule rule = owned.get(entry.task().work());
            if (rule != null && ShardState.isStartable(entry)) {
                addCandidate(found, entry, rule, wallMs);
            }
        }
        for (Rule rule : owned.values()) {
            if (rule instanceof BatchRule batch) {
                for (BatchRun run : findDueRuns(batch, state, wallMs)) {
                    RunKey key = new RunKey(batch.name(), run.run());
                    seenBeforeDeadline.put(key, run.deadlineMs() + batch.everyMs());
                    addCandidate(found, WorkEntry.pending(key), rule, wallMs);
                }
            } else if (rule instanceof StandingRule standing) {
                RunKey key = new RunKey(standing.name(), RunKey.STANDING);
                if (state.find(key) == null) {
                    addCandidate(found, WorkEntry.pending(key), rule, wallMs);
                }
            }
        }
        seenBeforeDeadline.values().removeIf(untilMs -> untilMs < wallMs);
        return found;
    }

    private void addCandidate(List<Candidate> found, WorkEntry entry, Rule rule, long wallMs) {
        boolean standingRun = entry.key().standing();
        switch (rule) {
            case StandingRule standing
            when standingRun ->
                found.add(new Candidate(
                        entry,
                        standing.member().name(),
                        estimateSize(standing),
                        Long.MAX_VALUE,
                        Long.MIN_VALUE,
                        false));
            case BatchRule batch
            when !standingRun -> {
                long deadlineMs = findDeadlineMs(batch, entry.task().run());
                long runtimeMs = estimator.estimateRuntimeMs(batch.name(), batch.runtimeMs());
                long slackMs = deadlineMs - wallMs - runtimeMs;
                boolean deferrable = slackMs > Math.max(SAFE_SLACK_MS, 4 * runtimeMs);
                found.add(new Candidate(
                        entry, batch.member().name(), estimateSize(batch), deadlineMs, slackMs, deferrable));
            }
            default -> {
                // The rule with this name has changed between batch and standing; runs of the old kind are not started.
            }
        }
    }

    static long findDeadlineMs(BatchRule batch, long run) {
        return run * batch.everyMs() + batch.atMs() + batch.withinMs();
    }

    private void place(Candidate candidate, VmPool pool, MemberUsage usage, Resources headroom, Plan plan, long nowMs) {
        WorkEntry entry = candidate.entry();
        String reason = usage.explainQuotaExcess(candidate.member(), candidate.size());
        if (reason == null && pool.isEmpty()) {
            reason = "no VM is reachable";
        }
        if (reason == null && !pool.hasCapacityFor(candidate.size(), entry.failedVms())) {
            reason = describeUnplaceable(candidate.size());
            warn(candidate.key(), reason, plan);
        }
        if (reason == null && candidate.slackMs() < 0 && !entry.key().standing()) {
            warn(candidate.key(), "cannot meet its deadline: late by " + -candidate.slackMs() + " ms", plan);
        }
        Resources needed = candidate.size().plus(headroom);
        if (reason == null && candidate.deferrable() && !needed.fitsInto(pool.totalFree())) {
            reason = "waits: the remaining capacity is reserved for the loss of a rack";
        }
        GuardReport guard = reason != null ? null : chooseVm(candidate, pool, nowMs);
        if (guard == null) {
            if (reason == null && isUrgent(candidate)) {
                pool.reserve(candidate.size(), entry.failedVms(), nowMs);
            }
            plan.waiting().put(entry.key(), reason == null ? "waits for free resources on a VM" : reason);
            return;
        }
        String vm = guard.vm().id();
        TaskId task = entry.task().withEpoch(entry.task().epoch() + 1);
        plan.assigns().add(new WorkDecision.Assign(task, vm, guard.incarnation(), entry.checkpoint()));
        pool.allocate(vm, candidate.size());
        usage.add(candidate.member(), candidate.size());
        health.recordPlacement(vm);
    }

    /**
     * Resources are reserved for standing work, and for batch runs that can meet their deadline only if started soon.
     */
    private static boolean isUrgent(Candidate candidate) {
        boolean standing = candidate.key().standing();
        return standing || candidate.slackMs() >= 0 && candidate.slackMs() <= SAFE_SLACK_MS;
    }

    private GuardReport chooseVm(Candidate candidate, VmPool pool, long nowMs) {
        List<String> excluded = new ArrayList<>(candidate.entry().failedVms());
        Map<String, Long> avoided = avoidedUntilMs.get(candidate.key());
        if (avoided != null) {
            avoided.values().removeIf(untilMs -> untilMs <= nowMs);
            excluded.addAll(avoided.keySet());
            if (avoided.isEmpty()) {
                avoidedUntilMs.remove(candidate.key());
            }
        }
        return pool.chooseVm(candidate.key().work(), candidate.size(), excluded, nowMs);
    }

    /** Warns about batch work that fits on no VM before its run is due, so that its rule can be changed in time. */
    private void checkFit(Map<String, TrackedGuard> guards, Plan plan, long nowMs, long wallMs) {
        if (nowMs - fitCheckedMs < FIT_CHECK_INTERVAL_MS) {
            return;
        }
        List<Resources> capacities = guards.values().stream()
                .filter(guard -> guard.isReachable(nowMs))
                .map(guard -> guard.report().vm().capacity())
                .distinct()
                .toList();
        if (capacities.isEmpty()) {
            return;
        }
        fitCheckedMs = nowMs;
        unplaceable.clear();
        for (Rule rule : owned.values()) {
            Resources size = estimateSize(rule);
            if (rule instanceof BatchRule batch && capacities.stream().noneMatch(size::fitsInto)) {
                unplaceable.put(batch.name(), describeUnplaceable(size));
                batch.findRuns(wallMs + 1, wallMs + 1 + batch.everyMs()).stream()
                        .findFirst()
                        .ifPresent(run -> warn(new RunKey(batch.name(), run.run()), describeUnplaceable(size), plan));
            }
        }
    }

    private static String describeUnplaceable(Resources size) {
        return "fits on no reachable VM: needs " + size.milliCores() / 1000.0 + " cores, " + size.memoryMb() + " MiB";
    }

    private void warn(RunKey key, String reason, Plan plan) {
        if (warned.size() >= MAX_WARNED_RUNS) {
            warned.clear();
        }
        if (warned.add(key)) {
            plan.notices()
                    .add(new Action.Notify(
                            WorkNotice.DEADLINE_AT_RISK, "work=" + key.work() + " run=" + key.run() + " " + reason));
        }
    }

    private MemberUsage countUsage(
            Map<String, TrackedGuard> guards, Collection<Placement> placements, VmPool pool, long nowMs) {
        MemberUsage usage = new MemberUsage(rules);
        Set<TaskId> reported = new HashSet<>();
        for (TrackedGuard guard : guards.values()) {
            if (!guard.isReachable(nowMs)) {
                continue;
            }
            for (TaskReport task : guard.report().tasks()) {
                reported.add(task.task());
                if (!task.phase().isFinal()) {
                    rules.findWork(task.task().work())
                            .ifPresent(rule -> usage.add(rule.member().name(), estimateSize(rule)));
                }
            }
        }
        for (Placement placement : placements) {
            Rule rule = owned.get(placement.task.work());
            if (rule != null && !reported.contains(placement.task)) {
                usage.add(rule.member().name(), estimateSize(rule));
                pool.allocate(placement.vm, estimateSize(rule));
            }
        }
        return usage;
    }

    /**
     * Returns the size of the standing work on the rack with the most of it by cores; it has to move if the rack is
     * lost.
     */
    private Resources findHeadroom(Map<String, TrackedGuard> guards, long nowMs) {
        Map<String, Resources> byRack = new HashMap<>();
        for (TrackedGuard guard : guards.values()) {
            if (!guard.isReachable(nowMs)) {
                continue;
            }
            for (TaskReport task : guard.report().tasks()) {
                Rule rule = rules.findWork(task.task().work()).orElse(null);
                if (rule instanceof StandingRule && !task.phase().isFinal()) {
                    byRack.merge(guard.report().vm().rack(), estimateSize(rule), Resources::plus);
                }
            }
        }
        return byRack.values().stream()
                .max(Comparator.comparingInt(Resources::milliCores))
                .orElse(Resources.NONE);
    }

    private static String interferenceKey(String service, String work) {
        return service + " " + work;
    }
}
