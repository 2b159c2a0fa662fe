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
 * Decides which pending runs of a shard start now and on which VM: standing work first, then the least slack. Not
 * thread-safe; owned by its {@link ShardLeader}.
 */
final class Scheduler {
    private static final int MAX_STARTS_PER_STEP = 500;

    /** Batch with less slack than this, or than four times its expected run time, leaves no room for a lost rack. */
    private static final long COMFORTABLE_SLACK_MS = 60_000;

    private static final int MAX_WARNED = 10_000;

    private static final long AVOID_EVICTING_MS = 60_000;
    private static final long AVOID_REFUSING_MS = 5_000;

    /** Time between two checks whether the runs that are not due yet fit on any VM. */
    private static final long FIT_CHECK_MS = 10_000;

    private static final double HARM_WEIGHT = 0.05;

    private final ShardId shard;
    private final RandomGenerator random;
    private final StartHealth health = new StartHealth();
    private final WorkLearning learning = new WorkLearning();
    private final Map<String, Double> harm = new HashMap<>();
    private final Map<RunKey, Long> seenBeforeDeadline = new HashMap<>();
    private final Map<RunKey, Map<String, Long>> avoidedUntilMs = new HashMap<>();
    private final Set<RunKey> warned = new HashSet<>();
    private final Map<String, Rule> owned = new TreeMap<>();
    private final Map<String, String> unfit = new HashMap<>();
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
                learning.observeUsage(task.task().work(), task.used());
                double observed = 1 - task.throttleShare();
                harm.merge(
                        harmKey(report.service(), task.task().work()),
                        observed * HARM_WEIGHT,
                        (old, ignored) -> old + HARM_WEIGHT * (observed - old));
            }
        }
    }

    /** Takes the end of a task; returns an event or null. */
    Action.Notify observeEnd(TaskReport report, String vm, long runningMs, long nowMs) {
        String work = report.task().work();
        switch (report.phase()) {
            case SUCCEEDED -> {
                health.succeed(vm);
                learning.observeRuntime(work, Math.max(1, runningMs));
            }
            case FAILED -> {
                if (health.fail(vm, work, nowMs)) {
                    return new Action.Notify(WorkNotice.VM_EJECTED, "vm=" + vm + " work=" + work);
                }
            }
            default -> health.forgetProbe(vm);
        }
        return null;
    }

    /** Takes note of an eviction; the run goes elsewhere for a while, and standing work waits less long for that. */
    void observeEviction(RunKey key, String vm, long nowMs) {
        avoid(key, vm, nowMs + (key.standing() ? AVOID_EVICTING_MS / 6 : AVOID_EVICTING_MS));
    }

    /** Takes note of a refused start, which would be refused again until the guard has told of its room. */
    void observeRefusal(RunKey key, String vm, long nowMs) {
        avoid(key, vm, nowMs + AVOID_REFUSING_MS);
    }

    /** Takes note that a run has ended. */
    void forget(RunKey key) {
        avoidedUntilMs.remove(key);
    }

    private void avoid(RunKey key, String vm, long untilMs) {
        avoidedUntilMs.computeIfAbsent(key, run -> new HashMap<>()).put(vm, untilMs);
    }

    // Public API

    /** Returns the rule of a work of this shard; null when it has none. */
    Rule findRule(String work) {
        return owned.get(work);
    }

    /** Returns the rules of this shard's work by name. */
    Collection<Rule> rules() {
        return owned.values();
    }

    /** Returns why a batch work whose run is not due yet fits on no VM; null when it does. */
    String findUnfit(String work) {
        return unfit.get(work);
    }

    Resources estimateSize(Rule rule) {
        return switch (rule) {
            case BatchRule batch -> learning.estimateSize(batch.name(), batch.declared());
            case StandingRule standing -> learning.estimateSize(standing.name(), standing.declared());
            default -> Resources.NONE;
        };
    }

    /** Returns the runs of a batch rule that are due and have not ended; the latest one, and older ones in the fold. */
    List<BatchRun> findDueRuns(BatchRule rule, ShardState fold, long wallMs) {
        List<BatchRun> due = new ArrayList<>();
        for (BatchRun run : rule.findRuns(wallMs - rule.everyMs() + 1, wallMs + 1)) {
            RunKey key = new RunKey(rule.name(), run.run());
            boolean open = run.deadlineMs() > wallMs || seenBeforeDeadline.containsKey(key);
            if (open && fold.find(key) == null && !fold.isForgotten(key)) {
                due.add(run);
            }
        }
        return due;
    }

    Plan plan(
            ShardState fold, Map<String, GuardSlot> guards, Collection<Placement> placements, long nowMs, long wallMs) {
        Plan plan = new Plan(new ArrayList<>(), new HashMap<>(), new ArrayList<>());
        reportFailingWorkers(guards, plan, nowMs);
        checkFit(guards, plan, nowMs, wallMs);
        List<Candidate> candidates = findCandidates(fold, wallMs);
        if (candidates.isEmpty()) {
            return plan;
        }
        VmPool pool = new VmPool(
                guards.values(),
                health,
                (service, work) -> harm.getOrDefault(harmKey(service, work), 0.0),
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

    private void reportFailingWorkers(Map<String, GuardSlot> guards, Plan plan, long nowMs) {
        guards.forEach((vm, slot) -> {
            if (slot.report().workerFailing() && slot.isReachable(nowMs) && health.reportFailing(vm, nowMs)) {
                plan.notices().add(new Action.Notify(WorkNotice.VM_EJECTED, "vm=" + vm + " reported by its guard"));
            }
        });
    }

    private List<Candidate> findCandidates(ShardState fold, long wallMs) {
        List<Candidate> found = new ArrayList<>();
        for (WorkEntry entry : fold.entries()) {
            Rule rule = owned.get(entry.task().work());
            if (rule != null && ShardState.isStartable(entry)) {
                addCandidate(found, entry, rule, wallMs);
            }
        }
        for (Rule rule : owned.values()) {
            if (rule instanceof BatchRule batch) {
                for (BatchRun run : findDueRuns(batch, fold, wallMs)) {
                    RunKey key = new RunKey(batch.name(), run.run());
                    seenBeforeDeadline.put(key, run.deadlineMs() + batch.everyMs());
                    addCandidate(found, WorkEntry.pending(key), rule, wallMs);
                }
            } else if (rule instanceof StandingRule standing) {
                RunKey key = new RunKey(standing.name(), RunKey.STANDING);
                if (fold.find(key) == null) {
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
                long runtimeMs = learning.estimateRuntimeMs(batch.name(), batch.runtimeMs());
                long slackMs = deadlineMs - wallMs - runtimeMs;
                boolean comfortable = slackMs > Math.max(COMFORTABLE_SLACK_MS, 4 * runtimeMs);
                found.add(new Candidate(
                        entry, batch.member().name(), estimateSize(batch), deadlineMs, slackMs, comfortable));
            }
            default -> {
                // The name has changed its kind; runs of the old kind are not started again.
            }
        }
    }

    static long findDeadlineMs(BatchRule batch, long run) {
        return run * batch.everyMs() + batch.atMs() + batch.withinMs();
    }

    private void place(Candidate candidate, VmPool pool, MemberUsage usage, Resources headroom, Plan plan, long nowMs) {
        WorkEntry entry = candidate.entry();
        String reason = usage.findExcess(candidate.member(), candidate.size());
        if (reason == null && pool.isEmpty()) {
            reason = "no VM is reachable";
        }
        if (reason == null && !pool.hasCapacityFor(candidate.size(), entry.failedVms())) {
            reason = describeUnfit(candidate.size());
            warn(candidate.key(), reason, plan);
        }
        if (reason == null && candidate.slackMs() < 0 && !entry.key().standing()) {
            warn(candidate.key(), "cannot meet its deadline: late by " + -candidate.slackMs() + " ms", plan);
        }
        Resources needed = candidate.size().plus(headroom);
        if (reason == null && candidate.comfortable() && !needed.fitsInto(pool.totalFree())) {
            reason = "waits: the room left is kept for the loss of a rack";
        }
        GuardReport guard = reason != null ? null : choose(candidate, pool, nowMs);
        if (guard == null) {
            if (reason == null && isUrgent(candidate)) {
                pool.reserve(candidate.size(), entry.failedVms(), nowMs);
            }
            plan.waiting().put(entry.key(), reason == null ? "waits for room on a VM" : reason);
            return;
        }
        String vm = guard.vm().id();
        TaskId task = entry.task().withEpoch(entry.task().epoch() + 1);
        plan.assigns().add(new WorkDecision.Assign(task, vm, guard.incarnation(), entry.checkpoint()));
        pool.take(vm, candidate.size());
        usage.add(candidate.member(), candidate.size());
        health.place(vm);
    }

    /** Room is kept for standing work, and for batch that can still meet its deadline but not much longer. */
    private static boolean isUrgent(Candidate candidate) {
        boolean standing = candidate.key().standing();
        return standing || candidate.slackMs() >= 0 && candidate.slackMs() <= COMFORTABLE_SLACK_MS;
    }

    private GuardReport choose(Candidate candidate, VmPool pool, long nowMs) {
        List<String> excluded = new ArrayList<>(candidate.entry().failedVms());
        Map<String, Long> avoided = avoidedUntilMs.get(candidate.key());
        if (avoided != null) {
            avoided.values().removeIf(untilMs -> untilMs <= nowMs);
            excluded.addAll(avoided.keySet());
            if (avoided.isEmpty()) {
                avoidedUntilMs.remove(candidate.key());
            }
        }
        return pool.choose(candidate.key().work(), candidate.size(), excluded, nowMs);
    }

    /** Names work that fits on no VM before its run is due, so that its rule can be changed in time. */
    private void checkFit(Map<String, GuardSlot> guards, Plan plan, long nowMs, long wallMs) {
        if (nowMs - fitCheckedMs < FIT_CHECK_MS) {
            return;
        }
        List<Resources> capacities = guards.values().stream()
                .filter(slot -> slot.isReachable(nowMs))
                .map(slot -> slot.report().vm().capacity())
                .distinct()
                .toList();
        if (capacities.isEmpty()) {
            return;
        }
        fitCheckedMs = nowMs;
        unfit.clear();
        for (Rule rule : owned.values()) {
            Resources size = estimateSize(rule);
            if (rule instanceof BatchRule batch && capacities.stream().noneMatch(size::fitsInto)) {
                unfit.put(batch.name(), describeUnfit(size));
                batch.findRuns(wallMs + 1, wallMs + 1 + batch.everyMs()).stream()
                        .findFirst()
                        .ifPresent(run -> warn(new RunKey(batch.name(), run.run()), describeUnfit(size), plan));
            }
        }
    }

    private static String describeUnfit(Resources size) {
        return "fits on no reachable VM: needs " + size.milliCores() / 1000.0 + " cores, " + size.memoryMb() + " MiB";
    }

    private void warn(RunKey key, String reason, Plan plan) {
        if (warned.size() >= MAX_WARNED) {
            warned.clear();
        }
        if (warned.add(key)) {
            plan.notices()
                    .add(new Action.Notify(
                            WorkNotice.DEADLINE_AT_RISK, "work=" + key.work() + " run=" + key.run() + " " + reason));
        }
    }

    private MemberUsage countUsage(
            Map<String, GuardSlot> guards, Collection<Placement> placements, VmPool pool, long nowMs) {
        MemberUsage usage = new MemberUsage(rules);
        Set<TaskId> reported = new HashSet<>();
        for (GuardSlot slot : guards.values()) {
            if (!slot.isReachable(nowMs)) {
                continue;
            }
            for (TaskReport task : slot.report().tasks()) {
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
                pool.take(placement.vm, estimateSize(rule));
            }
        }
        return usage;
    }

    /** Returns the size of the standing work on the rack that holds most of it; it has to move if the rack is lost. */
    private Resources findHeadroom(Map<String, GuardSlot> guards, long nowMs) {
        Map<String, Resources> byRack = new HashMap<>();
        for (GuardSlot slot : guards.values()) {
            if (!slot.isReachable(nowMs)) {
                continue;
            }
            for (TaskReport task : slot.report().tasks()) {
                Rule rule = rules.findWork(task.task().work()).orElse(null);
                if (rule instanceof StandingRule && !task.phase().isFinal()) {
                    byRack.merge(slot.report().vm().rack(), estimateSize(rule), Resources::plus);
                }
            }
        }
        return byRack.values().stream()
                .max(Comparator.comparingInt(Resources::milliCores))
                .orElse(Resources.NONE);
    }

    private static String harmKey(String service, String work) {
        return service + " " + work;
    }
}
