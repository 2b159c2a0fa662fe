package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/**
 * Decisions of the leader, for one term. It changes the {@link JobBook} ahead of the log; {@link #takeBatch} hands out
 * what must be written, with the orders that may leave only after that. Orders that follow from records that are in the
 * log already, and stops, leave at once by {@link #takeImmediateOrders}. Not thread-safe.
 *
 * <p>{@code nowMs} is a reading of the leader's monotonic clock, {@code unixMs} of its wall clock; the latter only
 * decides when occurrences are due and how long settled jobs are kept.
 */
public final class JobScheduler {
    private final JobBook book;
    private final JobTimes times;
    private final DecisionLog log;
    private final Decisions decisions = new Decisions();
    private final Map<String, WorkerView> workers = new LinkedHashMap<>();
    private final Set<Job> active = new LinkedHashSet<>();
    private final RunTracker runs;
    private final RunMover mover;
    private final FillPacer pacer;
    private final Placement placement;
    private final Map<String, JobQueue> knownQueues = new HashMap<>();
    private JobConfig config;

    /**
     * Constructs the scheduler of a new term.
     *
     * @param book all jobs as the log has them, read to its end
     * @param config operators' configuration in force
     * @param times bounds
     * @param log takes a line for each decision
     * @param nowMs when the term began
     */
    public JobScheduler(JobBook book, JobConfig config, JobTimes times, DecisionLog log, long nowMs) {
        this.book = book;
        configure(config);
        this.times = times;
        this.log = log;
        this.runs = new RunTracker(book, decisions, log);
        this.mover = new RunMover(decisions, log);
        InterferenceModel model = new InterferenceModel();
        this.pacer = new FillPacer(model, decisions, log);
        this.placement = new Placement(model);
        for (Job job : book.jobs()) {
            adopt(job, nowMs);
        }
    }

    /*
     * Inputs
     */

    /** Puts another configuration in force. */
    public void configure(JobConfig newConfig) {
        config = newConfig;
        newConfig.queues().forEach(queue -> knownQueues.put(queue.name(), queue));
    }

    /** Takes up a job that was added to the book, or cancelled in it, after the term began. */
    public void takeUp(Job job) {
        active.add(job);
    }

    /** Takes up the report of a guard; the caller sends it a grant in return. */
    public void report(WorkerReport report, long nowMs) {
        WorkerView worker = workers.computeIfAbsent(report.ref().guard(), guard -> new WorkerView(guard, nowMs));
        if (worker.report() != null
                && report.ref().bornMs() < worker.report().ref().bornMs()) {
            log.decided(
                    Decision.WORKER_CHANGED,
                    report.ref().id(),
                    "bornMs",
                    report.ref().bornMs(),
                    "newestBornMs",
                    worker.report().ref().bornMs(),
                    "outcome",
                    "report of a former lifetime ignored");
            return;
        }
        noteWorkerChange(worker, report);
        worker.accept(report, nowMs);
        for (JobTask task : List.copyOf(worker.assigned())) {
            if (!task.state().worker().equals(report.ref())) {
                runs.lose(task, worker, "newer lifetime " + report.ref().bornMs());
            } else if (report.leaseLapsed()) {
                runs.lose(task, worker, "lease lapsed on an unreachable worker");
            }
        }
        runs.apply(report, worker, this::maxAttempts, nowMs);
        mover.review(worker, nowMs);
        pacer.review(worker, nowMs);
    }

    /** Takes up the worker's answer to an order. */
    public void outcome(WorkerRef ref, String task, int run, boolean start, String outcome, long nowMs) {
        WorkerView worker = workers.get(ref.guard());
        if (worker != null) {
            runs.outcome(worker, ref, task, run, start, outcome, nowMs);
        }
    }

    /** Notes that a grant is sent to a guard now. */
    public void granted(String guard, long nowMs) {
        WorkerView worker = workers.get(guard);
        if (worker != null) {
            worker.grant(nowMs);
        }
    }

    /**
     * Decides what time and the inputs since the last call allow.
     *
     * @param placing whether waiting tasks may get workers; not while their starts could not leave
     */
    public void tick(long nowMs, long unixMs, boolean placing) {
        expireLeases(nowMs);
        placement.beginPass();
        List<Job> ordered = new ArrayList<>();
        for (Job job : active) {
            if (job.hasWaitingTasks() || job.status().isFinal()) {
                ordered.add(job);
            }
        }
        Map<Job, JobUrgency.Rank> ranks = new HashMap<>();
        for (Job job : ordered) {
            ranks.put(job, JobUrgency.rank(job, queue(job), unixMs));
        }
        ordered.sort(Comparator.comparing(ranks::get));
        for (Job job : ordered) {
            step(job, nowMs, unixMs, placing);
        }
        forgetOld(unixMs);
    }

    /*
     * Outputs
     */

    /** Takes what must be written next, with the orders that follow from it. */
    public JobBatch takeBatch() {
        return decisions.takeBatch();
    }

    /** Notes that the store has acknowledged a batch. */
    public void committed(JobBatch batch) {
        batch.progress().forEach((id, snapshot) -> book.find(id).ifPresent(job -> job.acknowledge(snapshot)));
        batch.forgotten().forEach(book::forget);
    }

    /** Takes the orders that may leave at once. */
    public List<JobOrder> takeImmediateOrders() {
        return decisions.takeImmediate();
    }

    /**
     * Tells whether an order is still wanted. The append that a start waits for may take seconds, and its job may have
     * been cancelled, or its run withdrawn, in the meantime.
     */
    public boolean isWanted(JobOrder order) {
        if (!(order instanceof JobOrder.Start start)) {
            return true;
        }
        JobTask task = book.findTask(start.task().toString());
        return task != null
                && task.isCurrent(start.worker(), start.run())
                && !task.job().status().isFinal()
                && task.progress().stopOrderedAtMs() == 0;
    }

    /** Returns the number of jobs that are not settled. */
    public int activeJobs() {
        return active.size();
    }

    Placement placement() {
        return placement;
    }

    /** Returns one line for each worker, for operators. */
    public List<String> describeWorkers() {
        List<String> lines = new ArrayList<>();
        for (WorkerView worker : workers.values()) {
            String id =
                    worker.report() == null ? "unknown" : worker.report().ref().id();
            lines.add(worker.guard() + " worker=" + id + " tasks="
                    + worker.assigned().size() + " faultsInRow=" + worker.faultsInRow());
        }
        return lines;
    }

    /*
     * Helpers
     */

    private void adopt(Job job, long nowMs) {
        boolean assigned = false;
        for (JobTask task : job.tasks()) {
            if (task.isAssigned()) {
                assigned = true;
                task.observe(RunProgress.orderedAt(nowMs));
                // The former leader may have granted leases until it knew that it was replaced.
                workers.computeIfAbsent(
                                task.state().worker().guard(),
                                guard -> new WorkerView(guard, nowMs + JobTimes.GRANT_WITHOUT_STORE_MS))
                        .add(task);
            }
        }
        if (assigned || job.settledAtMs() == 0) {
            active.add(job);
        }
    }

    private void noteWorkerChange(WorkerView worker, WorkerReport report) {
        WorkerReport before = worker.report();
        if (before == null || !before.ref().equals(report.ref())) {
            log.decided(
                    Decision.WORKER_SEEN,
                    report.ref().id(),
                    "guard",
                    report.ref().guard(),
                    "bornMs",
                    report.ref().bornMs(),
                    "zone",
                    report.zone(),
                    "milliCores",
                    report.capacity().milliCores(),
                    "memoryMb",
                    report.capacity().memoryMb());
        } else if (before.reachable() != report.reachable() || before.draining() != report.draining()) {
            log.decided(
                    Decision.WORKER_CHANGED,
                    report.ref().id(),
                    "reachable",
                    report.reachable(),
                    "draining",
                    report.draining(),
                    "look",
                    report.lookNumber());
        }
    }

    private void expireLeases(long nowMs) {
        for (WorkerView worker : workers.values()) {
            long ageMs = nowMs - worker.grantedAtMs();
            if (ageMs > times.lapseMs() && worker.isSilent(nowMs)) {
                for (JobTask task : List.copyOf(worker.assigned())) {
                    runs.lose(task, worker, "no grant for " + ageMs + " ms");
                }
            }
        }
    }

    private void step(Job job, long nowMs, long unixMs, boolean placing) {
        JobStatus status = job.status();
        if (status.isFinal()) {
            boolean stopping = false;
            for (JobTask task : job.tasks()) {
                if (task.isAssigned()) {
                    stopping = true;
                    mover.stop(task, "job " + status, nowMs);
                }
            }
            if (job.settledAtMs() == 0) {
                job.settle(unixMs);
                decisions.change(job);
                log.decided(
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
        JobQueue queue = queue(job);
        String service = queue == null ? null : queue.service();
        for (int occurrence = 0; occurrence < job.spec().occurrences(); occurrence++) {
            if (job.spec().dueMs(occurrence) > unixMs) {
                break;
            }
            for (int step = 0; step < job.spec().steps().size(); step++) {
                if (job.isReady(occurrence, step)) {
                    place(job, occurrence, step, service, nowMs);
                }
            }
        }
    }

    private void place(Job job, int occurrence, int step, String service, long nowMs) {
        if (service == null) {
            return;
        }
        List<JobTask> tasks = job.tasksOf(occurrence, step);
        if (job.spec().steps().get(step).gang()) {
            placeGang(tasks, service, nowMs);
            return;
        }
        for (JobTask task : tasks) {
            if (task.state().phase() == TaskPhase.PENDING) {
                WorkerView worker = placement.choose(task, service, workers.values(), nowMs);
                if (worker == null) {
                    // Tasks of a step are alike, so the next one finds no place either.
                    return;
                }
                assign(task, worker, task.state().run() + 1, nowMs);
            }
        }
    }

    private void placeGang(List<JobTask> tasks, String service, long nowMs) {
        List<WorkerView> chosen = new ArrayList<>();
        int run = 0;
        for (JobTask task : tasks) {
            if (task.state().phase() != TaskPhase.PENDING) {
                break;
            }
            WorkerView worker = placement.choose(task, service, workers.values(), nowMs);
            if (worker == null) {
                break;
            }
            worker.add(task);
            chosen.add(worker);
            run = Math.max(run, task.state().run());
        }
        for (int i = 0; i < chosen.size(); i++) {
            chosen.get(i).remove(tasks.get(i));
        }
        if (chosen.size() < tasks.size()) {
            placement.noteFreedRoom();
        } else {
            for (int i = 0; i < tasks.size(); i++) {
                assign(tasks.get(i), chosen.get(i), run + 1, nowMs);
            }
        }
    }

    private void assign(JobTask task, WorkerView worker, int run, long nowMs) {
        task.assign(worker.report().ref(), worker.rack(), run, nowMs);
        worker.add(task);
        decisions.change(task.job());
        decisions.start(task);
        log.decided(
                Decision.RUN_ASSIGNED,
                task.name().toString(),
                "run",
                run,
                "worker",
                worker.report().ref().id(),
                "guard",
                worker.guard(),
                "look",
                worker.report().lookNumber(),
                "fillMilliCores",
                worker.fillMilliCores(),
                "reservedMilliCores",
                worker.reserved().milliCores(),
                "checkpoint",
                task.state().checkpoint(),
                "config",
                config.version());
    }

    private void forgetOld(long unixMs) {
        for (Job job : book.jobs()) {
            boolean old = job.settledAtMs() > 0 && unixMs - job.settledAtMs() > times.statusRetentionMs();
            if (old && !active.contains(job)) {
                decisions.forget(job.spec().id());
                log.decided(Decision.JOB_FORGOTTEN, job.spec().id(), "settledForMs", unixMs - job.settledAtMs());
            }
        }
    }

    /** Returns the newest configuration of a job's queue; jobs of a queue that was removed go on as before. */
    private JobQueue queue(Job job) {
        return knownQueues.get(job.spec().queue());
    }

    private int maxAttempts(Job job) {
        JobQueue queue = queue(job);
        return queue == null ? Integer.MAX_VALUE : queue.maxAttempts();
    }
}
