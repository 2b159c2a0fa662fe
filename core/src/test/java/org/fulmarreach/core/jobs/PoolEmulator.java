package org.fulmarreach.core.jobs;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.overload.PoolLoad;

/**
 * A pool of workers with one leader under virtual time and without a network: workers report every 500 ms and whenever
 * a run ends; orders and records take effect immediately. Records the latencies and service levels that callers see.
 */
final class PoolEmulator implements FakeWorker.Interference {
    static final int STEP_MS = 50;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int REPORT_MS = 500;
    /** Factor of a pair with little interference, as measured on the deployments. */
    private static final double USUAL_FACTOR = 0.12;

    private static final double USUAL_LOAD = 0.42;
    private static final double LOAD_AMPLITUDE = 0.5;
    private static final int LOAD_PERIOD_MS = 10_000;

    final JobRegistry registry = new JobRegistry();
    final Map<String, FakeWorker> workers = new HashMap<>();
    final List<String> overTargetTooLong = new ArrayList<>();
    private final List<FakeWorker> ordered = new ArrayList<>();
    private final Map<String, Double> factors = new HashMap<>();
    private final Map<String, Long> workMs = new HashMap<>();
    private final Map<String, Long> overTargetSinceMs = new HashMap<>();
    private final Map<String, Long> doneAtMs = new HashMap<>();
    private final Random random;
    private final double interferingShare;
    private final double interferenceFactor;
    private final JobConfig config;
    private final Set<FakeWorker> silent = new HashSet<>();
    final Set<String> faultyJobs = new HashSet<>();
    /** Names of the tasks that crash each worker that starts them. */
    final Set<String> deadlyTasks = new HashSet<>();

    final Set<String> duplicateRuns = new HashSet<>();
    private JobScheduler scheduler;
    long nowMs = 1_000_000;

    /** Processor time of the leader's calls, for {@link LeaderCost}; no test depends on it. */
    long reportCpuNs;

    long tickCpuNs;
    long batchCpuNs;
    int reports;
    int passes;
    int startedRuns;

    /** Whether starts wait for their append, so that none reaches a worker; they are dropped. */
    boolean holdsStarts;

    /** Whether zones are evacuated in which no worker is. */
    boolean evacuates;

    /** Receives the leader's decisions. */
    DecisionLog observer = DecisionLog.NONE;

    /** Hash of the sequence of orders, for checking that two versions of the leader give the same orders. */
    int ordersHash;

    /** Whether the load of all tasks of a standing job rises and falls together, instead of that of each by itself. */
    boolean loadsByJob;

    /** Whether the leader is told the factors of all pairs of images. */
    boolean tellsFactors;

    double servingScore;
    double maxServingScore;

    PoolEmulator(long seed, double interferingShare, double interferenceFactor, JobConfig config) {
        this.random = new Random(seed);
        this.interferingShare = interferingShare;
        this.interferenceFactor = interferenceFactor;
        this.config = config;
        FormerLeases none = new FormerLeases(nowMs, Map.of());
        this.scheduler = new JobScheduler(
                registry, config, new JobTimeLimits(6_000, 120_000, 3_000, 900), none, this::onDecision, nowMs);
    }

    /** Fails the test if the leader finds a task without a next step, or over the time limit of it. */
    private void onDecision(DecisionLog.Decision decision, String subject, Object... fields) {
        OverdueCheck.LOG.record(decision, subject, fields);
        observer.record(decision, subject, fields);
    }

    int crashes() {
        return ordered.stream().mapToInt(worker -> worker.crashes).sum();
    }

    int innocentRunsLost() {
        return ordered.stream().mapToInt(worker -> worker.innocentRunsLost).sum();
    }

    void addWorker(int number, Resources capacity) {
        String guard = "guard-" + number;
        FakeWorker worker =
                new FakeWorker(guard, "worker-" + number, capacity, List.of("a", "rack-" + number / 3), this);
        workers.put(guard, worker);
        ordered.add(worker);
    }

    /** Submits a job; {@code taskMs} is the actual duration of each task. */
    void submit(JobSpec spec, List<Long> taskMs) {
        registry.submit(spec);
        Job job = registry.find(spec.id()).orElseThrow();
        for (int i = 0; i < job.tasks().size(); i++) {
            workMs.put(job.tasks().get(i).name().toString(), taskMs.get(i));
        }
        scheduler.activate(job, nowMs);
        decide();
    }

    void run(long forMs) {
        for (long end = nowMs + forMs; nowMs < end; ) {
            nowMs += STEP_MS;
            for (FakeWorker worker : ordered) {
                worker.advance(nowMs, STEP_MS);
                boolean due = (nowMs / STEP_MS + ordered.indexOf(worker)) % (REPORT_MS / STEP_MS) == 0;
                if (!silent.contains(worker) && (due || worker.hasUnacknowledgedEnds())) {
                    WorkerReport report = worker.report();
                    long beganNs = cpuNs();
                    if (scheduler.onReport(report, nowMs)) {
                        scheduler.onTermKnown(report, nowMs);
                    }
                    reportCpuNs += cpuNs() - beganNs;
                    reports++;
                    scheduler.onGrantSent(worker.ref().guard(), nowMs);
                }
            }
            decide();
            observe();
        }
    }

    /** Disconnects the guard of a worker from the leader; the worker keeps running. */
    void silence(FakeWorker worker) {
        silent.add(worker);
    }

    /** Removes a job from the registry as the removal of its request does. */
    void remove(String jobId) {
        scheduler.drop(registry.find(jobId).orElseThrow());
        registry.remove(jobId);
    }

    /** Connects the guard of a silenced worker to the leader again. */
    void reconnect(FakeWorker worker) {
        silent.remove(worker);
    }

    void cancel(String jobId) {
        registry.cancel(jobId, nowMs);
        scheduler.activate(registry.find(jobId).orElseThrow(), nowMs);
        decide();
    }

    /** Delivers a response to the start of a task's current run, as a repeated call may get it after the run's end. */
    void answerStart(JobTask task, String outcome) {
        FakeWorker worker = workers.get(task.state().worker().guard());
        worker.advance(nowMs, 1_000);
        scheduler.onOrderOutcome(
                worker.ref(), task.name().toString(), task.state().run(), true, outcome, nowMs);
        decide();
    }

    PoolLoad poolLoad() {
        return scheduler.poolLoad();
    }

    long poolLoadAgeMs() {
        return nowMs - scheduler.poolLoadMeasuredAtMs();
    }

    RunTimeModel runTimes() {
        return scheduler.runTimes();
    }

    Placement placement() {
        return scheduler.placement();
    }

    boolean isApplicable(JobOrder order) {
        return scheduler.isApplicable(order);
    }

    void deliver(WorkerReport report) {
        scheduler.onReport(report, nowMs);
        decide();
    }

    void configure(JobConfig newConfig) {
        scheduler.configure(newConfig);
        decide();
    }

    /** Replaces the leader by a new one that continues from the stored state and what the former one has learned. */
    void replaceLeader() {
        LearnedInterference learned = scheduler.learnedInterference();
        registry.rollBack();
        scheduler = new JobScheduler(
                registry, config, new JobTimeLimits(6_000, 120_000, 3_000, 900), this::onDecision, nowMs);
        scheduler.restoreInterference(learned);
    }

    /** Ends all workers and the leader at the same moment; they return together, without anything but the store. */
    void losePower(int forMs) {
        for (FakeWorker worker : ordered) {
            worker.crash();
            silent.add(worker);
        }
        run(forMs);
        for (FakeWorker worker : ordered) {
            worker.returnFromCrash();
            silent.remove(worker);
        }
        replaceLeader();
    }

    /** Returns the time from a job's submission to its completion in milliseconds; -1 if it is not completed. */
    long latencyMs(String jobId) {
        Long done = doneAtMs.get(jobId);
        return done == null
                ? -1
                : done - registry.find(jobId).orElseThrow().spec().acceptedAtMs();
    }

    private void decide() {
        if (tellsFactors) {
            scheduler.restoreInterference(trueFactors());
        }
        long beganNs = cpuNs();
        if (evacuates) {
            scheduler.evacuate(EvacuatedZones.NONE.withEvacuated("elsewhere"), nowMs);
        }
        scheduler.tick(nowMs, nowMs, true);
        scheduler.moveOutOfZones(nowMs);
        passes++;
        long tickedNs = cpuNs();
        tickCpuNs += tickedNs - beganNs;
        apply(scheduler.takeImmediateOrders());
        beganNs = cpuNs();
        JobBatch batch = scheduler.takeBatch();
        scheduler.onCommitted(batch);
        batchCpuNs += cpuNs() - beganNs;
        apply(batch.orders());
    }

    private LearnedInterference trueFactors() {
        Set<String> bestEffort = new HashSet<>();
        Set<String> serving = new HashSet<>();
        for (Job job : registry.jobs()) {
            for (JobStep step : job.spec().steps()) {
                if (step.bestEffort()) {
                    bestEffort.add(step.image());
                } else if (step.isServing()) {
                    serving.add(step.image());
                }
            }
        }
        Map<String, LearnedInterference.Serving> byImage = new HashMap<>();
        for (String image : serving) {
            Map<String, LearnedInterference.Factor> known = new HashMap<>();
            bestEffort.forEach(other -> known.put(other, new LearnedInterference.Factor(factor(other, image), 0)));
            byImage.put(image, new LearnedInterference.Serving(0, USUAL_LOAD, known));
        }
        return new LearnedInterference(byImage);
    }

    private static long cpuNs() {
        return THREADS.getCurrentThreadCpuTime();
    }

    private void apply(List<JobOrder> orders) {
        for (JobOrder order : orders) {
            if (order instanceof JobOrder.Start start) {
                if (holdsStarts) {
                    continue;
                }
                scheduler.onStartSent(start, nowMs);
            }
            startedRuns += order instanceof JobOrder.Start ? 1 : 0;
            ordersHash = 31 * ordersHash + order.hashCode();
            FakeWorker worker = workers.get(order.worker().guard());
            String refused = worker.execute(order, registry);
            if (refused != null && order instanceof JobOrder.Start start) {
                scheduler.onOrderOutcome(order.worker(), start.task().toString(), start.run(), true, refused, nowMs);
            }
            if (order instanceof JobOrder.Stop stop
                    && !worker.isDown()
                    && stop.worker().equals(worker.ref())) {
                scheduler.onOrderOutcome(stop.worker(), stop.task(), stop.run(), false, "done", nowMs);
            }
        }
    }

    private void observe() {
        Set<String> running = new HashSet<>();
        for (FakeWorker worker : ordered) {
            for (String name : worker.runningNames()) {
                if (!running.add(name)) {
                    duplicateRuns.add(name);
                }
            }
        }
        for (Job job : registry.jobs()) {
            if (job.acknowledgedStatus() == JobStatus.COMPLETED) {
                doneAtMs.putIfAbsent(job.spec().id(), nowMs);
            }
            for (JobTask task : job.tasks()) {
                if (task.step().isServing()) {
                    observeServing(task);
                }
            }
        }
    }

    private void observeServing(JobTask task) {
        String name = task.name().toString();
        double value = 0;
        if (task.isAssigned()) {
            value = workers.get(task.state().worker().guard()).servingValue(name, nowMs);
        }
        servingScore += value;
        maxServingScore++;
        if (value < 0) {
            long since = overTargetSinceMs.computeIfAbsent(name, unused -> nowMs);
            if (nowMs - since > 4_000) {
                overTargetTooLong.add(name);
            }
        } else {
            overTargetSinceMs.remove(name);
        }
    }

    /*
     * Interference
     */

    @Override
    public double factor(String bestEffort, String serving) {
        return factors.computeIfAbsent(
                bestEffort + "/" + serving,
                pair -> random.nextDouble() < interferingShare ? interferenceFactor : USUAL_FACTOR);
    }

    @Override
    public double load(String servingTask, long atMs) {
        String source = loadsByJob ? servingTask.substring(0, servingTask.indexOf('.')) : servingTask;
        double phase = 2 * Math.PI * ((double) atMs / LOAD_PERIOD_MS + source.hashCode() % 10 / 10.0);
        return USUAL_LOAD * (1 + LOAD_AMPLITUDE * Math.sin(phase));
    }

    @Override
    public boolean fails(TaskName task) {
        return faultyJobs.contains(task.jobId());
    }

    @Override
    public boolean crashes(TaskName task) {
        return deadlyTasks.contains(task.toString());
    }

    @Override
    public long workMs(TaskName task, JobStep step) {
        return workMs.getOrDefault(task.toString(), 1L);
    }
}
