package org.fulmarreach.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fulmarreach.core.admission.TaskAdmission;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.interference.RunningTask;
import org.fulmarreach.core.interference.ThrottleController;
import org.fulmarreach.core.interference.ThrottleDecision;
import org.fulmarreach.core.interference.ThrottleSettings;
import org.fulmarreach.core.interference.WindowStats;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.work.GuardMessage;
import org.fulmarreach.core.work.GuardReport;
import org.fulmarreach.core.work.RunKey;
import org.fulmarreach.core.work.TaskReport;

/**
 * Simulates task execution by a guard and its worker. Admission and throttling use the production classes; the worker
 * runs tasks as described by their {@link Work} and reports their resource usage with a delay.
 */
final class SimGuardTasks {
    static final long STEP_MS = 250;
    private static final String NO_RELIEF = "EVICTION_NEEDED: the lowest share brought no relief";
    private static final String NO_MEMORY = "EVICTION_NEEDED: the tasks use more memory than the VM holds";
    private static final long SAMPLE_MS = 1_000;
    private static final long FAILURE_DELAY_MS = 500;
    private static final int MAX_SAMPLES = 40;

    private final Simulation simulation;
    private final SimVm simVm;
    private final int lagMs;
    private final TaskAdmission admission = new TaskAdmission();
    private final ThrottleController controller = new ThrottleController(ThrottleSettings.DEFAULT);
    private final Map<TaskId, TaskState> taskStates = new LinkedHashMap<>();
    private double serviceSlowdown = 1;
    private double usedMilliCores;
    private final Map<String, Long> terms = new HashMap<>();
    private int peakSlots;

    /** State of a task at the guard, including tasks that ended and are not yet acknowledged. */
    private static final class TaskState {
        private final Work work;
        private final String shard;
        private TaskReport.Phase phase;
        private long grantUntilMs;
        private long startedMs;
        private double progressMs;
        private String checkpoint;
        private String reason;
        private String evictionReason;
        private final int[] samples = new int[MAX_SAMPLES];
        private int sampleCount;

        TaskState(Work work, String shard, TaskReport.Phase phase) {
            this.work = work;
            this.shard = shard;
            this.phase = phase;
        }

        boolean running() {
            return phase == TaskReport.Phase.RUNNING;
        }

        /** Returns the usage {@code lagMs} ago; {@link Resources#NONE} before the first report. */
        Resources findDelayedUsage(int lagMs) {
            int index = sampleCount - 1 - lagMs / (int) SAMPLE_MS;
            if (index < 0) {
                return Resources.NONE;
            }
            return new Resources(samples[index % MAX_SAMPLES], work.size().memoryMb(), 0);
        }
    }

    SimGuardTasks(Simulation simulation, SimVm simVm, int lagMs) {
        this.simulation = simulation;
        this.simVm = simVm;
        this.lagMs = lagMs;
        admission.setCapacity(simVm.vm.capacity());
    }

    void crash() {
        taskStates.forEach((task, state) -> {
            if (state.running()) {
                simulation.vmLostAtMs.put(RunKey.of(task), simulation.timeline.nowMs());
            }
        });
        taskStates.clear();
    }

    /** Returns the factor by which the tasks slow down the service; at least 1. */
    double findServiceSlowdown() {
        return serviceSlowdown;
    }

    /** Returns the ratio of the CPU demand of service and tasks to the CPU capacity of the VM; at least 1. */
    double computeCpuDemandRatio(double serviceMilliCores) {
        return Math.max(
                1, (usedMilliCores + serviceMilliCores) / simVm.vm.capacity().milliCores());
    }

    // Worker

    /** Advances the running tasks by {@link #STEP_MS}. */
    void advanceTasks() {
        long nowMs = simulation.timeline.nowMs();
        peakSlots = Math.max(peakSlots, simVm.inUse());
        double cpuDemandRatio = computeCpuDemandRatio(simVm.inUse() * 1_000.0);
        double memoryMb = 0;
        for (Map.Entry<TaskId, TaskState> entry : taskStates.entrySet()) {
            if (entry.getValue().running()) {
                advanceTask(entry.getKey(), entry.getValue(), cpuDemandRatio, nowMs);
                memoryMb += entry.getValue().running()
                        ? entry.getValue().work.size().memoryMb()
                        : 0;
            }
        }
        if (memoryMb > simVm.vm.capacity().memoryMb()) {
            killLargest();
        }
        measureLoad(nowMs);
        if (cpuDemandRatio > 1) {
            simulation.measures.overcommittedVmMs += STEP_MS;
        }
    }

    private void advanceTask(TaskId task, TaskState state, double cpuDemandRatio, long nowMs) {
        double share = shareOf(task);
        state.progressMs += STEP_MS * share / cpuDemandRatio;
        boolean broken = state.work.alwaysFails() || simVm.failing;
        if (broken && nowMs - state.startedMs >= FAILURE_DELAY_MS) {
            end(task, state, TaskReport.Phase.FAILED, "exit status 1");
        } else if (nowMs >= state.grantUntilMs) {
            end(task, state, TaskReport.Phase.STOPPED, "GRANT_LAPSED");
        } else if (!state.work.standing() && state.progressMs >= state.work.runtimeMs()) {
            end(task, state, TaskReport.Phase.SUCCEEDED, null);
            simulation.succeed(task, state.work);
        }
    }

    private void killLargest() {
        TaskState largest = null;
        TaskId killed = null;
        for (Map.Entry<TaskId, TaskState> entry : taskStates.entrySet()) {
            TaskState state = entry.getValue();
            boolean isLarger = largest == null
                    || state.work.size().memoryMb() > largest.work.size().memoryMb();
            if (state.running() && isLarger) {
                largest = state;
                killed = entry.getKey();
            }
        }
        simulation.measures.memoryKills++;
        end(killed, largest, TaskReport.Phase.FAILED, "out of memory");
    }

    private void end(TaskId task, TaskState state, TaskReport.Phase phase, String reason) {
        state.phase = phase;
        state.reason = reason;
        admission.release(task);
        if (phase == TaskReport.Phase.STOPPED) {
            state.checkpoint = String.valueOf(Math.round(state.progressMs));
        } else if (phase == TaskReport.Phase.FAILED) {
            resetProgress(state);
        }
    }

    private void resetProgress(TaskState state) {
        state.progressMs = 0;
    }

    private double shareOf(TaskId task) {
        return simulation.policy.throttles() ? controller.share(task) : 1;
    }

    private void measureLoad(long nowMs) {
        double newSlowdown = 1;
        double used = 0;
        for (Map.Entry<TaskId, TaskState> entry : taskStates.entrySet()) {
            TaskState state = entry.getValue();
            if (state.running()) {
                double level = shareOf(entry.getKey()) * state.work.activity(nowMs);
                newSlowdown += state.work.interference() * level;
                used += state.work.size().milliCores() * level;
            }
        }
        serviceSlowdown = newSlowdown;
        usedMilliCores = used;
    }

    /** Returns the progress of batch tasks that still run, in core-milliseconds. */
    double computeUnfinishedCoreMs() {
        double sum = 0;
        for (TaskState state : taskStates.values()) {
            if (state.running() && !state.work.standing()) {
                sum += state.progressMs * state.work.size().milliCores() / 1_000;
            }
        }
        return sum;
    }

    /** Adds the names of running standing works to {@code names}. */
    void collectStanding(Set<String> names) {
        for (TaskState state : taskStates.values()) {
            if (state.running() && state.work.standing()) {
                names.add(state.work.name());
            }
        }
    }

    // Guard

    /** Samples resource usage and passes delayed samples to admission; called every {@link #SAMPLE_MS}. */
    void sampleUsage() {
        long nowMs = simulation.timeline.nowMs();
        admission.observeService(peakSlots, Site.SLOTS, nowMs);
        peakSlots = 0;
        for (Map.Entry<TaskId, TaskState> entry : taskStates.entrySet()) {
            TaskState state = entry.getValue();
            if (!state.running()) {
                continue;
            }
            double level = shareOf(entry.getKey()) * state.work.activity(nowMs);
            state.samples[state.sampleCount++ % MAX_SAMPLES] =
                    (int) Math.max(1, state.work.size().milliCores() * level);
            Resources used = state.findDelayedUsage(lagMs);
            if (simulation.policy.learnsSizes() && !used.equals(Resources.NONE)) {
                admission.observe(entry.getKey(), used, nowMs);
            }
        }
    }

    /** Closes a latency window and applies the throttling decision for it. */
    void closeWindow() {
        List<RunningTask> running = new ArrayList<>();
        taskStates.forEach((task, state) -> {
            if (state.running()) {
                running.add(new RunningTask(task, state.findDelayedUsage(lagMs).milliCores(), lagMs));
            }
        });
        int calls = (int) simVm.latencyWindow.getTotalCount();
        double p99Ms = calls == 0 ? 0 : simVm.latencyWindow.getValueAtPercentile(99);
        simVm.latencyWindow.reset();
        double cpuOverload =
                simulation.policy.learnsSizes() ? admission.overload().cores() : 0;
        WindowStats stats = new WindowStats(simulation.scenario.site().service(), p99Ms, calls, cpuOverload);
        ThrottleDecision decision = controller.onWindow(simulation.timeline.nowMs(), stats, running);
        requestEvictions(decision);
        if (simulation.policy == Policy.EVICT_FIRST) {
            decision.shares().forEach((task, share) -> evictIfThrottled(task));
        }
    }

    /** Requests evictions from the leader by the rules of the guard: ineffective throttling, or too little memory. */
    private void requestEvictions(ThrottleDecision decision) {
        taskStates.forEach((task, state) -> {
            boolean recovered = controller.share(task) > ThrottleSettings.DEFAULT.minShare() + 1e-9;
            state.evictionReason = recovered ? null : state.evictionReason;
        });
        if (simulation.policy.throttles()) {
            decision.evict().map(taskStates::get).ifPresent(state -> state.evictionReason = NO_RELIEF);
        }
        if (simulation.policy.learnsSizes() && admission.overload().memory() > 1) {
            taskStates.values().stream()
                    .filter(TaskState::running)
                    .max(Comparator.comparingLong(state -> state.work.size().memoryMb()))
                    .ifPresent(state -> state.evictionReason = NO_MEMORY);
        }
    }

    /** Evicts a running task that the controller would throttle (baseline {@link Policy#EVICT_FIRST}). */
    private void evictIfThrottled(TaskId task) {
        TaskState state = taskStates.get(task);
        if (state != null && state.running() && controller.share(task) < 1) {
            simulation.measures.evictions++;
            end(task, state, TaskReport.Phase.STOPPED, "evicted");
        }
    }

    GuardReport report() {
        List<TaskReport> tasks = new ArrayList<>();
        taskStates.forEach((task, state) -> tasks.add(new TaskReport(
                task,
                state.phase,
                state.checkpoint,
                state.running() ? state.evictionReason : state.reason,
                simulation.policy.learnsSizes() ? state.findDelayedUsage(lagMs) : Resources.NONE,
                shareOf(task),
                terms.getOrDefault(state.shard, -1L),
                state.shard)));
        Resources free = admission.free();
        Resources reportedFree = new Resources(Math.max(0, free.milliCores()), Math.max(0, free.memoryMb()), 0);
        return new GuardReport(
                simVm.vm,
                simulation.scenario.site().service(),
                1,
                simulation.timeline.nowMs(),
                true,
                false,
                reportedFree,
                tasks);
    }

    void receive(String shard, GuardMessage message) {
        if (simVm.crashed || message.term() < terms.getOrDefault(shard, -1L)) {
            return;
        }
        terms.put(shard, message.term());
        switch (message) {
            case GuardMessage.Start start -> start(shard, start);
            case GuardMessage.Renew renew ->
                renew.tasks()
                        .forEach(task -> Optional.ofNullable(taskStates.get(task))
                                .ifPresent(state -> state.grantUntilMs =
                                        Math.max(state.grantUntilMs, renew.tickEchoMs() + renew.leaseMs())));
            case GuardMessage.Stop stop -> stop(shard, stop);
            case GuardMessage.Acknowledge acknowledge ->
                acknowledge.tasks().forEach(task -> {
                    TaskState state = taskStates.get(task);
                    if (state != null && state.phase.isFinal()) {
                        taskStates.remove(task);
                    }
                });
            case GuardMessage.Fence fence -> {
                // The term was stored above.
            }
        }
    }

    private void start(String shard, GuardMessage.Start start) {
        if (taskStates.containsKey(start.task())) {
            return;
        }
        Work work = simulation.findWork(start.task().work());
        boolean admitted = admission.admit(start.task(), start.size(), simulation.timeline.nowMs())
                instanceof Result.Ok<Resources>;
        TaskState state = new TaskState(work, shard, admitted ? TaskReport.Phase.RUNNING : TaskReport.Phase.REFUSED);
        taskStates.put(start.task(), state);
        if (!admitted) {
            state.reason = "NO_CAPACITY";
            simulation.measures.refusedStarts++;
            return;
        }
        state.grantUntilMs = start.tickEchoMs() + start.leaseMs();
        state.startedMs = simulation.timeline.nowMs();
        state.progressMs = start.checkpoint() == null ? 0 : Double.parseDouble(start.checkpoint());
        simulation.countStart(RunKey.of(start.task()), simVm);
    }

    private void stop(String shard, GuardMessage.Stop stop) {
        TaskState state = taskStates.get(stop.task());
        if (state == null) {
            taskStates.put(
                    stop.task(),
                    new TaskState(simulation.findWork(stop.task().work()), shard, TaskReport.Phase.REFUSED));
        } else if (state.running()) {
            end(stop.task(), state, TaskReport.Phase.STOPPED, "stopped by the leader");
        }
    }
}
