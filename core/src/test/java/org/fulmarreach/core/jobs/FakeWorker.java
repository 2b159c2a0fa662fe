package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.fulmarreach.core.model.Resources;

/**
 * Fake worker under virtual time. Best-effort tasks share the processors that other tasks leave idle; serving tasks
 * report a tail latency of base / (1 - pressure). Progress, failures, stops and lists of runs follow the worker's
 * published contract.
 */
final class FakeWorker {
    static final String SERVICE = "service";

    /** Time after a crash for which the guard still counts the worker as reachable. */
    private static final int UNREACHABLE_MS = 300;

    /** Time after a crash in which the guard takes its closed port for a crash. */
    private static final int PORT_CLOSED_MS = 900;

    /** Longest time after a crash for which the guard assumes that the lease lasts. */
    private static final int LEASE_MS = 6_400;

    private static final int RESTART_MS = 3_000;

    private static final double MAX_PRESSURE = 0.97;

    /** Weight of the newest step of 50 ms in the mean usage. */
    private static final double MEAN_WEIGHT = 0.2;

    /** Maximum relative error of reported usage values. */
    private static final double READING_ERROR = 0.08;

    private final Random readings = new Random(1);
    private final Interference interference;
    private Resources capacity;
    private final List<String> labels;
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, Integer> refusedUpToRun = new LinkedHashMap<>();
    private final List<WorkerReport.Ended> ended = new ArrayList<>();
    private WorkerRef ref;
    private long lastEnd;
    private long pollNumber;
    double speed = 1;

    /** Delay between a start order and the first progress: transit of the order and restoring a checkpoint. */
    int beginMs;

    /** Whether reported usage is the mean over the time since about half a second ago, and not the present value. */
    boolean reportsMeans;

    /** Amount of work between two checkpoints. */
    int checkpointMs = 1;

    int roomRefusals;

    /** Whether the worker refuses starts that do not fit; otherwise it counts them and starts them. */
    boolean guardsCapacity = true;

    int startsOverCapacity;
    boolean failing;
    boolean stalled;
    boolean reachable = true;
    boolean draining;

    /** Time of the last crash; 0 while the process runs. */
    private long crashedAtMs;

    private WorkerReport lastAnswer;
    private long nowMs;
    int crashes;

    /** Runs that were lost in crashes, without those that caused one. */
    int innocentRunsLost;

    /** Interference between images, load of serving tasks, and duration and failures of tasks. */
    interface Interference {
        double factor(String bestEffort, String serving);

        double load(String servingTask, long nowMs);

        long workMs(TaskName task, JobStep step);

        /** Tells whether every run of a task fails halfway through its work, because of the task itself. */
        boolean fails(TaskName task);

        /** Tells whether a task crashes each worker that starts it. */
        default boolean crashes(TaskName task) {
            return false;
        }
    }

    /** A run in progress. */
    private static final class Run {
        final TaskName task;
        final int number;
        final JobStep step;
        final long workMs;
        double doneMs;
        int waitMs;
        int cpuSharePercent = 100;
        double usedMilliCores;
        double tailMs;
        double meanUsage;

        Run(TaskName task, int number, JobStep step, long workMs, double doneMs, int waitMs) {
            this.waitMs = waitMs;
            this.task = task;
            this.number = number;
            this.step = step;
            this.workMs = workMs;
            this.doneMs = doneMs;
        }

        double usage() {
            return step.isServing() ? tailMs : usedMilliCores;
        }

        int percent() {
            return step.longRunning() ? 100 : (int) Math.min(99, 100 * doneMs / workMs);
        }
    }

    FakeWorker(String guard, String id, Resources capacity, List<String> labels, Interference interference) {
        this.ref = new WorkerRef(guard, id, 1);
        this.capacity = capacity;
        this.labels = labels;
        this.interference = interference;
    }

    WorkerRef ref() {
        return ref;
    }

    Resources capacity() {
        return capacity;
    }

    boolean hasUnacknowledgedEnds() {
        return !ended.isEmpty();
    }

    boolean runs(String task) {
        return runs.containsKey(task);
    }

    Set<String> runningNames() {
        return runs.keySet();
    }

    int runningTasks() {
        return runs.size();
    }

    /** Discards all runs and lists, and begins a new lifetime. */
    void restart() {
        ref = new WorkerRef(ref.guard(), ref.id(), ref.startedAtMs() + 1);
        runs.clear();
        refusedUpToRun.clear();
        ended.clear();
        lastEnd = 0;
        reachable = true;
    }

    void setCapacity(Resources newCapacity) {
        capacity = newCapacity;
    }

    /** Ends the process with everything that it runs; a new lifetime begins 3 s later. */
    void crash() {
        if (lastAnswer == null) {
            report();
        }
        crashes++;
        crashedAtMs = nowMs;
        for (Run run : runs.values()) {
            innocentRunsLost += interference.crashes(run.task) ? 0 : 1;
        }
        runs.clear();
        ended.clear();
    }

    boolean isDown() {
        return crashedAtMs > 0;
    }

    /** Begins a new lifetime after a crash, without waiting for the usual restart. */
    void returnFromCrash() {
        crashedAtMs = 0;
        restart();
    }

    /** Executes an order; returns the reason for which a start was refused, or null. */
    String execute(JobOrder order, JobRegistry registry) {
        if (!order.worker().equals(ref) || isDown()) {
            return null;
        }
        switch (order) {
            case JobOrder.Start start -> {
                return start(start, registry);
            }
            case JobOrder.Stop stop -> stop(stop);
            case JobOrder.SetCpuShare setCpuShare -> {
                Run run = runs.get(setCpuShare.task().toString());
                if (run != null && run.number == setCpuShare.run()) {
                    run.cpuSharePercent = setCpuShare.percent();
                }
            }
            case JobOrder.Acknowledge acknowledge -> ended.removeIf(end -> end.number() <= acknowledge.upToNumber());
        }
        return null;
    }

    private String start(JobOrder.Start start, JobRegistry registry) {
        String name = start.task().toString();
        if (runs.containsKey(name) && runs.get(name).number == start.run()) {
            return null;
        }
        if (refusedUpToRun.getOrDefault(name, 0) >= start.run()) {
            return "old";
        }
        JobStep step = registry.findTask(name).step();
        Resources used = step.reserved();
        for (Run run : runs.values()) {
            used = used.plus(run.step.reserved());
        }
        if (!used.fitsInto(capacity)) {
            if (guardsCapacity) {
                roomRefusals++;
                return "room";
            }
            startsOverCapacity++;
        }
        double done = start.checkpoint().isEmpty() ? 0 : Double.parseDouble(start.checkpoint());
        runs.put(
                name, new Run(start.task(), start.run(), step, interference.workMs(start.task(), step), done, beginMs));
        return null;
    }

    private void stop(JobOrder.Stop stop) {
        refusedUpToRun.merge(stop.task(), stop.run(), Math::max);
        Run run = runs.get(stop.task());
        if (run != null && run.number <= stop.run()) {
            end(run, RunEnd.STOPPED);
        }
    }

    private void end(Run run, RunEnd runEnd) {
        runs.remove(run.task.toString());
        refusedUpToRun.merge(run.task.toString(), run.number, Math::max);
        lastEnd++;
        ended.add(new WorkerReport.Ended(lastEnd, run.task.toString(), run.number, runEnd, checkpoint(run)));
    }

    private String checkpoint(Run run) {
        double saved = Math.floor(run.doneMs / checkpointMs) * checkpointMs;
        return run.step.checkpoints() && saved > 0 ? Double.toString(saved) : "";
    }

    /** Advances the virtual time by one step. */
    void advance(long newNowMs, int stepMs) {
        nowMs = newNowMs;
        if (isDown()) {
            if (nowMs - crashedAtMs >= RESTART_MS) {
                crashedAtMs = 0;
                restart();
            }
            return;
        }
        if (runs.values().stream().anyMatch(run -> run.waitMs <= 0 && interference.crashes(run.task))) {
            crash();
            return;
        }
        double busy = 0;
        double wanted = 0;
        for (Run run : runs.values()) {
            double cores = run.step.demand().milliCores();
            if (run.step.bestEffort()) {
                wanted += cores * run.cpuSharePercent / 100;
            } else {
                busy += cores * (run.step.isServing() ? interference.load(run.task.toString(), nowMs) : 1);
            }
        }
        double share = wanted == 0 ? 1 : Math.min(1, Math.max(0, capacity.milliCores() - busy) / wanted);
        for (Run run : runs.values()) {
            boolean bestEffort = run.step.bestEffort();
            double rate = bestEffort ? share * run.cpuSharePercent / 100 : 1;
            run.usedMilliCores = bestEffort ? run.step.demand().milliCores() * rate : 0;
            boolean started = run.waitMs <= 0;
            run.waitMs -= stepMs;
            run.doneMs += stalled || !started ? 0 : rate * stepMs * speed;
        }
        for (Run run : List.copyOf(runs.values())) {
            if (run.step.isServing()) {
                run.tailMs = tail(run, nowMs);
            }
            run.meanUsage += (run.meanUsage == 0 ? 1 : MEAN_WEIGHT) * (run.usage() - run.meanUsage);
            boolean faulty = interference.fails(run.task) && 2 * run.doneMs >= run.workMs;
            if (!run.step.isServing() && (failing || faulty)) {
                end(run, RunEnd.FAILED);
            } else if (!run.step.longRunning() && run.doneMs >= run.workMs) {
                end(run, RunEnd.DONE);
            }
        }
    }

    private double tail(Run serving, long nowMs) {
        double pressure = interference.load(serving.task.toString(), nowMs) + interferencePressure(serving);
        return baseMs(serving) / (1 - Math.min(MAX_PRESSURE, pressure));
    }

    private double interferencePressure(Run serving) {
        double pressure = 0;
        for (Run run : runs.values()) {
            if (run.step.bestEffort()) {
                pressure += interference.factor(run.step.image(), serving.step.image())
                        * run.usedMilliCores
                        / capacity.milliCores();
            }
        }
        return pressure;
    }

    private static double baseMs(Run serving) {
        return serving.step.targetLatencyMs() / 4.5;
    }

    /** Returns the score of a serving task: 1 within its target, 0 over it by itself, -3 over it by interference. */
    double servingValue(String task, long nowMs) {
        Run run = runs.get(task);
        if (run == null) {
            return 0;
        }
        if (run.tailMs <= run.step.targetLatencyMs()) {
            return 1;
        }
        double alone = baseMs(run) / (1 - Math.min(MAX_PRESSURE, interference.load(run.task.toString(), nowMs)));
        return alone <= run.step.targetLatencyMs() ? -3 : 0;
    }

    WorkerReport report() {
        if (isDown()) {
            long downMs = nowMs - crashedAtMs;
            return new WorkerReport(
                    ref,
                    SERVICE,
                    "zone",
                    capacity,
                    labels,
                    draining,
                    downMs < UNREACHABLE_MS,
                    downMs > LEASE_MS,
                    lastAnswer.running(),
                    lastAnswer.ended(),
                    pollNumber,
                    downMs > PORT_CLOSED_MS,
                    token());
        }
        pollNumber++;
        List<WorkerReport.Running> running = new ArrayList<>();
        for (Run run : runs.values()) {
            double figure = reportsMeans ? run.meanUsage : run.usage();
            long usage = Math.round(figure * (1 + READING_ERROR * (2 * readings.nextDouble() - 1)));
            running.add(
                    new WorkerReport.Running(run.task.toString(), run.number, checkpoint(run), run.percent(), usage));
        }
        lastAnswer = new WorkerReport(
                ref,
                SERVICE,
                "zone",
                capacity,
                labels,
                draining,
                reachable,
                false,
                running,
                ended,
                pollNumber,
                false,
                token());
        return lastAnswer;
    }

    /** Returns the fencing token of the guard's calls to this lifetime. */
    FencingToken token() {
        return new FencingToken(1, ref.startedAtMs());
    }
}
