package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fulmarreach.core.jobs.DecisionLog.Decision;
import org.fulmarreach.core.overload.PoolLoad;

/**
 * Schedules jobs on workers for one term of a leader. It updates the {@link JobRegistry} before the log;
 * {@link #takeBatch} returns the changes to write, with the orders that may be sent only after they are stored.
 * {@link #takeImmediateOrders} returns the orders that need no preceding write: stops and changes of CPU share. Not
 * thread-safe.
 *
 * <p>{@code nowMs} is a reading of the leader's monotonic clock, {@code unixMs} of its wall clock. The wall clock is
 * used only for due times, the age of jobs since their submission, and the retention of settled jobs.
 */
public final class JobScheduler {
    private final KnownPolicies policies = new KnownPolicies();
    private final JobRegistry registry;
    private final JobTimeLimits limits;
    private final DecisionLog log;
    private final DecisionBuffer decisions = new DecisionBuffer();
    private final Map<String, WorkerView> workers = new LinkedHashMap<>();
    private final Set<Job> active = new LinkedHashSet<>();
    private final RunTracker runs;
    private final LifetimeChange lifetimes;
    private final RunMover mover;
    private final ZoneEvacuation evacuation;
    private final BestEffortPacer pacer;
    private final RunTimeModel times = new RunTimeModel();
    private final Headroom headroom = new Headroom(policies::find);
    private final Placement placement;
    private final TaskPlacer placer;
    private final JobRetention retention;
    private final CrashTracker crashes;
    private FormerLeases formerLeases;
    private final InterferenceModel model = new InterferenceModel();
    private final LeaseWithholder withholder;
    private final TaskWaitMonitor waits;
    private final JobWaits jobWaits = new JobWaits();
    private final JobWaitMonitor jobWaitMonitor;
    private final NextStepMonitor nextSteps;
    private final PoolLoadMeter loadMeter;
    private JobConfig config;

    /** Constructs the scheduler of a new term that knows nothing of former leases. */
    public JobScheduler(JobRegistry registry, JobConfig config, JobTimeLimits limits, DecisionLog log, long nowMs) {
        this(registry, config, limits, FormerLeases.unknown(limits, nowMs), log, nowMs);
    }

    /**
     * Constructs the scheduler of a new term.
     *
     * @param registry all jobs, after the log was read to its end
     * @param config active queue configuration
     * @param limits timeouts that the platform sets
     * @param formerLeases bounds on the leases that former leaders have granted
     * @param log receives each decision
     * @param nowMs when the term began
     */
    public JobScheduler(
            JobRegistry registry,
            JobConfig config,
            JobTimeLimits limits,
            FormerLeases formerLeases,
            DecisionLog log,
            long nowMs) {
        this.registry = registry;
        configure(config);
        this.limits = limits;
        this.formerLeases = formerLeases;
        this.withholder = new LeaseWithholder(limits, formerLeases.endsAtMs().keySet());
        this.log = log;
        UnavailabilityBudget budget = new UnavailabilityBudget();
        this.mover = new RunMover(decisions, budget, log);
        this.pacer = new BestEffortPacer(model, times, new ColocationMonitor(model, log, nowMs), decisions, log);
        this.placement = new Placement(model, headroom, jobWaits);
        this.evacuation = new ZoneEvacuation(workers.values(), placement, mover, budget, policies::find, log, nowMs);
        this.crashes = new CrashTracker(decisions, log, placement);
        this.placer = new TaskPlacer(workers.values(), placement, crashes, decisions, log);
        this.retention = new JobRetention(registry, limits, decisions, log);
        this.runs = new RunTracker(registry, decisions, log, crashes, times);
        this.lifetimes = new LifetimeChange(registry, runs, decisions, log);
        WaitDiagnosis diagnosis = new WaitDiagnosis(workers.values(), placement, limits);
        this.waits = new TaskWaitMonitor(active, policies::find, diagnosis, log);
        this.jobWaitMonitor = new JobWaitMonitor(jobWaits, policies::find, diagnosis, log);
        this.loadMeter = new PoolLoadMeter(workers.values(), policies::find, times, nowMs);
        this.nextSteps = new NextStepMonitor(registry, active, workers, crashes, waits, limits, log);
        for (Job job : registry.jobs()) {
            adopt(job, nowMs);
        }
    }

    /*
     * Inputs
     */

    /** Takes over what a former leader has learned of interference; called before the first report. */
    public void restoreInterference(LearnedInterference learned) {
        model.restore(learned);
    }

    /** Returns what this leader knows of interference, for the next one. */
    public LearnedInterference learnedInterference() {
        return model.learned();
    }

    /** Replaces the queue configuration. */
    public void configure(JobConfig newConfig) {
        config = newConfig;
        policies.learn(newConfig);
    }

    /** Replaces the evacuated zones, in which nothing is started from now on. */
    public void evacuate(EvacuatedZones zones, long nowMs) {
        evacuation.replace(zones, nowMs);
    }

    /** Moves standing tasks out of evacuated zones; called only while starts can be stored and sent. */
    public void moveOutOfZones(long nowMs) {
        evacuation.moveOut(nowMs);
    }

    /**
     * Schedules a job that was added to the registry, or cancelled in it, after the term began. A former leader may
     * have placed it, if its request is read late.
     */
    public void activate(Job job, long nowMs) {
        active.add(job);
        adoptTasks(job, nowMs);
    }

    /**
     * Stops scheduling a job that is removed from the registry. Nothing is written about it any more, and a run of it
     * that a worker lists is stopped as one of an unknown job.
     */
    public void drop(Job job) {
        active.remove(job);
        job.discard();
    }

    /**
     * Handles the report of a guard.
     *
     * @return whether it counts, so that the caller sends a grant in return; false for one of a lifetime of the worker
     *     that is over or that has not answered
     */
    public boolean onReport(WorkerReport report, long nowMs) {
        WorkerView worker = workers.computeIfAbsent(report.ref().guard(), guard -> newView(guard, nowMs));
        String ignored = worker.findReasonToIgnore(report, nowMs);
        if (ignored != null) {
            WorkerChangeLog.recordIgnored(log, worker, report, ignored);
            return false;
        }
        WorkerChangeLog.recordChange(log, worker, report);
        lifetimes.adoptListed(report, worker, nowMs);
        if (worker.report() == null) {
            crashes.onUnseenEnd(worker, report, nowMs);
        }
        WorkerRef crashed = crashes.findCrashed(worker, report, nowMs);
        if (crashed != null) {
            crashes.onCrash(crashed, worker, report, workers.values(), nowMs);
        }
        worker.recordReport(report, nowMs);
        evacuation.mark(worker);
        for (JobTask task : List.copyOf(worker.assigned())) {
            if (report.leaseExpired()) {
                runs.markLost(task, worker, "lease lapsed on an unreachable worker", nowMs);
            } else if (!task.state().worker().equals(report.ref())) {
                lifetimes.leaveFormer(task, report, worker, nowMs);
            }
        }
        runs.apply(report, worker, policies::maxAttempts, nowMs);
        mover.review(worker, nowMs);
        pacer.review(worker, nowMs);
        return true;
    }

    /**
     * Records that a guard, whose report counts, knows the term of this leader, so that its worker will refuse the
     * leases of former leaders.
     */
    public void onTermKnown(WorkerReport report, long nowMs) {
        if (report.reachable()) {
            workers.get(report.ref().guard()).recordTermKnown(report.pollNumber(), nowMs);
        }
    }

    /** Handles the worker's response to a start or stop order. */
    public void onOrderOutcome(WorkerRef ref, String task, int run, boolean start, String outcome, long nowMs) {
        WorkerView worker = workers.get(ref.guard());
        if (worker != null) {
            runs.onOrderOutcome(worker, ref, task, run, start, outcome, nowMs);
        }
    }

    /** Records that a guard has no session any more. Its worker gets no new work before the next report. */
    public void onGuardLost(String guard) {
        WorkerView worker = workers.get(guard);
        if (worker != null) {
            worker.recordDisconnected();
        }
    }

    /**
     * Records that a start was handed to a session of its guard. Must be called for each such start before the next
     * report or response of the guard, since a run whose start was not sent counts as not begun.
     */
    public void onStartSent(JobOrder.Start start, long nowMs) {
        runs.onStartSent(start, nowMs);
    }

    /** Releases the task of a start that was not sent, because the guard of its worker has no session. */
    public void onStartNotSent(JobOrder.Start start) {
        onGuardLost(start.worker().guard());
        runs.onStartNotSent(start, "not sent, the guard has no session");
    }

    /** Fails the task of a start that fits no message to a guard. */
    public void onStartUndeliverable(JobOrder.Start start) {
        runs.onStartUndeliverable(start);
    }

    /** Releases the task of a start that was dropped since it is not applicable any more. */
    public void onStartDropped(JobOrder.Start start) {
        runs.onStartNotSent(start, "not sent, not applicable any more");
    }

    /**
     * Asks for a lease of a guard; returns whether it may get one now. If leases are withheld from it,
     * {@link #takeWithheldLeases} returns a record without it next.
     */
    public boolean requestLease(String guard) {
        return withholder.request(guard);
    }

    /** Tells whether leases are withheld from a guard, so that no order may be sent to it. */
    public boolean withholdsLease(String guard) {
        return withholder.withholds(guard);
    }

    /**
     * Returns the bounds on the leases of silent guards that must be stored next, if they have changed: milliseconds by
     * guard, counted from now. From then on these guards may get no lease.
     *
     * @param mayWithholdMore whether leases may be withheld from further guards; false while the store does not answer,
     *     since they could not be granted again
     */
    public Optional<Map<String, Long>> takeWithheldLeases(boolean mayWithholdMore, long nowMs) {
        return withholder.takeRecord(workers.values(), mayWithholdMore, nowMs);
    }

    /** Returns the bounds on all leases, for the record of a leader that resigns and grants none from now on. */
    public Map<String, Long> findLeaseBounds(long nowMs) {
        return withholder.findBounds(workers.values(), nowMs);
    }

    /** Applies the store's acknowledgement of the last record of withheld leases; returns the guards to grant one. */
    public Set<String> onWithheldLeasesStored() {
        return withholder.onStored();
    }

    /** Records that former leaders may have granted leases until a time at most, earlier than was known before. */
    public void boundFormerGrants(long untilMs) {
        formerLeases = formerLeases.boundedBy(untilMs);
        workers.values().forEach(worker -> worker.boundFormerGrants(untilMs));
    }

    /** Records that a grant is being sent to a guard, also to one of whose worker no report counts yet. */
    public void onGrantSent(String guard, long nowMs) {
        workers.computeIfAbsent(guard, unknown -> newView(unknown, nowMs)).recordGrant(nowMs);
    }

    /**
     * Expires leases, places waiting tasks, stops and settles ended jobs, and removes old ones.
     *
     * @param placing whether waiting tasks may be placed; false while start orders cannot be sent
     */
    public void tick(long nowMs, long unixMs, boolean placing) {
        expireLeases(nowMs);
        for (WorkerView worker : workers.values()) {
            runs.releaseStopped(worker, limits.stopEndMs(), nowMs);
        }
        crashes.review(nowMs);
        headroom.beginPass(active, nowMs);
        jobWaits.review(active, nowMs, unixMs);
        placement.beginPass(nowMs);
        List<Job> ordered = new ArrayList<>();
        for (Job job : active) {
            if (job.hasWaitingTasks() || job.status().isFinal()) {
                ordered.add(job);
            }
        }
        Map<Job, JobUrgency.Rank> ranks = new HashMap<>();
        for (Job job : ordered) {
            QueuePolicy policy = policies.find(job);
            boolean shortOfRoom = policy != null && headroom.isShortOfRoom(policy.service(), nowMs);
            ranks.put(job, JobUrgency.rank(job, policy, times, shortOfRoom, unixMs));
        }
        ordered.sort(Comparator.comparing(ranks::get));
        for (Job job : ordered) {
            advanceJob(job, nowMs, unixMs, placing);
        }
        placer.placeTrials(config.version(), nowMs);
        retention.removeExpired(active, unixMs);
        waits.review(nowMs, unixMs, placing);
        jobWaitMonitor.review(nowMs, unixMs, placing);
        nextSteps.review(nowMs, unixMs);
        loadMeter.review(active, nowMs, unixMs);
    }

    /*
     * Outputs
     */

    /** Returns the pending changes to write, with the orders that depend on them, and clears both. */
    public JobBatch takeBatch() {
        return decisions.takeBatch(retention.removing());
    }

    /** Applies the store's acknowledgement of a batch. */
    public void onCommitted(JobBatch batch) {
        batch.progress().forEach((id, change) -> registry.find(id).ifPresent(job -> job.acknowledge(change)));
        retention.onRemoved(batch.removed());
    }

    /** Returns the orders that may be sent without a preceding write, and clears them. */
    public List<JobOrder> takeImmediateOrders() {
        return decisions.takeImmediate();
    }

    /**
     * Tells whether an order still applies. The append that precedes a start may take seconds, and in the meantime the
     * job may have been cancelled, the run withdrawn, or the capacity of the worker reduced. The caller reports a start
     * that it drops with {@link #onStartDropped} before it checks the next one, which may fit then.
     */
    public boolean isApplicable(JobOrder order) {
        if (!(order instanceof JobOrder.Start start)) {
            return true;
        }
        JobTask task = registry.findTask(start.task().toString());
        WorkerView worker = workers.get(start.worker().guard());
        return task != null
                && (worker == null || worker.isWithinCapacity() && !worker.isEvacuated())
                && task.isCurrent(start.worker(), start.run())
                && !task.job().status().isFinal()
                && task.progress().stopOrderedAtMs() == 0;
    }

    /** Returns the number of jobs that still have something to schedule or to stop. */
    public int activeJobs() {
        return active.size();
    }

    /** Returns for how long the standing task that has waited longest is not at work, in ms; 0 if all are. */
    public long longestStandingWaitMs(long nowMs) {
        return waits.longestWaitMs(nowMs);
    }

    /** Returns the processors that standing tasks leave to short jobs, in millicores, before the bound by capacity. */
    public long headroomMilliCores() {
        return headroom.milliCores();
    }

    /** Returns the load of the pools as measured in the last seconds. */
    public PoolLoad poolLoad() {
        return loadMeter.load();
    }

    /** Returns when the load of the pools was measured. */
    public long poolLoadMeasuredAtMs() {
        return loadMeter.measuredAtMs();
    }

    RunTimeModel runTimes() {
        return times;
    }

    Placement placement() {
        return placement;
    }

    /** Returns the views of all workers that this leader knows. */
    Collection<WorkerView> workerViews() {
        return workers.values();
    }

    /** Returns one line of text per worker, for the operators' state page. */
    public List<String> describeWorkers() {
        return workers.values().stream().map(WorkerView::describe).toList();
    }

    /** Returns one line of text per service with a headroom, for the operators' state page. */
    public List<String> describeHeadroom() {
        return headroom.describe();
    }

    /*
     * Helpers
     */

    private WorkerView newView(String guard, long nowMs) {
        return new WorkerView(guard, formerLeases.lastGrantMs(guard, limits), nowMs);
    }

    private void adopt(Job job, long nowMs) {
        adoptTasks(job, nowMs);
        if (job.hasAssignedTasks() || job.settledAtMs() == 0) {
            active.add(job);
        }
    }

    /** Takes up the runs of a former leader, and its suspicions. */
    private void adoptTasks(Job job, long nowMs) {
        for (JobTask task : job.findTasks(state -> state.phase() == TaskPhase.ASSIGNED || state.crashes() > 0)) {
            WorkerView worker = null;
            if (task.isAssigned()) {
                if (task.hasWorkerView() || task.isEndForgotten()) {
                    continue;
                }
                RunProgress adopted = RunProgress.orderedAt(nowMs);
                task.updateProgress(task.state().stopConfirmed() ? adopted.withStopConfirmed(nowMs) : adopted);
                // The former leader may have granted leases until it learned that it was replaced.
                worker = workers.computeIfAbsent(task.state().worker().guard(), guard -> newView(guard, nowMs));
                worker.add(task);
            }
            crashes.adopt(task, worker, nowMs);
        }
    }

    private void expireLeases(long nowMs) {
        for (WorkerView worker : workers.values()) {
            long ageMs = nowMs - worker.grantedAtMs();
            if (ageMs > limits.leaseExpiryMs() && worker.isReportOverdue(nowMs)) {
                for (JobTask task : List.copyOf(worker.assigned())) {
                    runs.markLost(task, worker, "no grant for " + ageMs + " ms", nowMs);
                }
            }
        }
    }

    private void advanceJob(Job job, long nowMs, long unixMs, boolean placing) {
        JobStatus status = job.status();
        if (status.isFinal()) {
            boolean stopping = false;
            for (JobTask task : job.presentTasks()) {
                if (task.isEndForgotten()) {
                    runs.settleForgotten(task);
                } else if (task.isAssigned()) {
                    stopping = true;
                    mover.stop(task, "job " + status, nowMs);
                }
            }
            if (job.settledAtMs() == 0) {
                job.settle(unixMs);
                decisions.markChanged(job);
                log.record(
                        Decision.JOB_SETTLED,
                        job.spec().id(),
                        "status",
                        status,
                        "queue",
                        job.spec().queue(),
                        "ageMs",
                        unixMs - job.spec().acceptedAtMs());
            }
            if (!stopping) {
                active.remove(job);
            }
            return;
        }
        if (!placing) {
            return;
        }
        placer.placeReadySteps(job, policies.find(job), config.version(), nowMs, unixMs);
    }
}
