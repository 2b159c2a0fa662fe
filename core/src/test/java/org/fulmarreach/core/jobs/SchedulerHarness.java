package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmarreach.core.jobs.DecisionLog.Decision;
import org.fulmarreach.core.model.Resources;

/**
 * A leader's scheduler under virtual time, with workers, guards and a store that a test can stop one by one. Guards
 * report every 500 ms, and passes follow one another every 50 ms. Records the decisions of the leader.
 */
final class SchedulerHarness {
    static final JobTimeLimits LIMITS = new JobTimeLimits(6_000, 120_000, 3_000, 900);
    private static final JobConfig CONFIG = new JobConfig(
            1, List.of(new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5)), 1_000_000);
    private static final int STEP_MS = 50;

    /** Most ends that a worker lists at a time, the oldest first. */
    private static final int MOST_LISTED_ENDS = 500;

    private static final int REPORT_MS = 500;

    final JobRegistry registry = new JobRegistry();
    final Map<String, Worker> workers = new LinkedHashMap<>();
    final List<Line> lines = new ArrayList<>();
    JobScheduler scheduler;

    /** Starts that the workers got. */
    final List<JobOrder.Start> starts = new ArrayList<>();

    long nowMs = 1_000_000;

    /** Whether the pass places waiting tasks. */
    boolean placing = true;

    /** Whether the store acknowledges appends. */
    boolean storing = true;

    private JobBatch inFlight;
    private long pollNumber;

    /** A decision of the leader with its fields. */
    record Line(long atMs, Decision decision, String subject, Map<String, Object> fields) {}

    /** A worker with its guard. */
    static final class Worker {
        final WorkerRef ref;
        final Resources capacity;
        List<String> labels = List.of("a", "rack");
        String zone = "zone";
        boolean silent;
        boolean draining;

        /** Whether the worker lists the runs whose starts it got. */
        boolean lists = true;

        /** Whether it confirms stops. */
        boolean confirmsStops = true;

        /** Whether it ends the runs that it is told to stop. */
        boolean endsRuns = true;

        int percent = 100;

        /** Number of stops that the worker got. */
        int stops;

        /** Outcome of starts; empty if it accepts them. */
        String refusal = "";

        private final Map<String, WorkerReport.Running> running = new LinkedHashMap<>();
        private final List<WorkerReport.Ended> ended = new ArrayList<>();

        /** Newest run of each task that has ended; the worker refuses starts of it and of earlier ones. */
        private final Map<String, Integer> endedRuns = new HashMap<>();

        private long ends;

        private Worker(WorkerRef ref, Resources capacity) {
            this.ref = ref;
            this.capacity = capacity;
        }

        /** Ends a run by itself. */
        void endRun(String task, RunEnd how) {
            addEnd(running.remove(task), how);
        }

        /** Ends all runs by themselves. */
        void endRuns(RunEnd how) {
            running.values().forEach(run -> addEnd(run, how));
            running.clear();
        }

        private void addEnd(WorkerReport.Running run, RunEnd how) {
            ends++;
            ended.add(new WorkerReport.Ended(ends, run.task(), run.run(), how, ""));
            endedRuns.put(run.task(), run.run());
        }
    }

    SchedulerHarness() {
        scheduler = new JobScheduler(
                registry,
                CONFIG,
                LIMITS,
                new FormerLeases(nowMs, Map.of()),
                (decision, subject, fields) -> lines.add(new Line(nowMs, decision, subject, toMap(fields))),
                nowMs);
    }

    /** Replaces the leader by a new one that continues from the stored state. */
    void replaceLeader(EvacuatedZones zones) {
        inFlight = null;
        registry.rollBack();
        scheduler = new JobScheduler(
                registry,
                CONFIG,
                LIMITS,
                new FormerLeases(nowMs, Map.of()),
                (decision, subject, fields) -> lines.add(new Line(nowMs, decision, subject, toMap(fields))),
                nowMs);
        scheduler.evacuate(zones, nowMs);
    }

    private static Map<String, Object> toMap(Object... fields) {
        Map<String, Object> map = new HashMap<>();
        for (int i = 0; i < fields.length; i += 2) {
            map.put((String) fields[i], fields[i + 1]);
        }
        return map;
    }

    Worker addWorker(int milliCores) {
        String guard = "guard-" + workers.size();
        Worker worker = new Worker(
                new WorkerRef(guard, "worker-" + workers.size(), 1_000), new Resources(milliCores, 8_000, 0));
        workers.put(guard, worker);
        return worker;
    }

    Worker addWorker(String zone, int milliCores) {
        Worker worker = addWorker(milliCores);
        worker.zone = zone;
        return worker;
    }

    /** Returns the names of the tasks that a worker runs. */
    static Set<String> runningOn(Worker worker) {
        return Set.copyOf(worker.running.keySet());
    }

    JobTask submit(String id, TestSteps... steps) {
        return submit(id, "q", steps);
    }

    JobTask submit(String id, String queue, TestSteps... steps) {
        List<JobStep> made = new ArrayList<>();
        for (TestSteps step : steps) {
            made.add(step.build());
        }
        registry.submit(new JobSpec(id, queue, "", made, 0, 0, 0, nowMs));
        Job job = registry.find(id).orElseThrow();
        scheduler.activate(job, nowMs);
        return job.tasks().get(0);
    }

    void elapse(long forMs) {
        for (long untilMs = nowMs + forMs; nowMs < untilMs; ) {
            nowMs += STEP_MS;
            if (nowMs % REPORT_MS == 0) {
                workers.values().forEach(this::report);
            }
            decide();
        }
    }

    /** Returns the reasons that were recorded for a task, in their order. */
    List<String> reasons(JobTask task) {
        return of(Decision.TASK_WAITING, task).stream()
                .map(line -> (String) line.fields().get("reason"))
                .toList();
    }

    /** Returns the next steps that were recorded as overdue for a task, in their order. */
    List<String> overdue(JobTask task) {
        return of(Decision.TASK_OVERDUE, task).stream()
                .map(line -> (String) line.fields().get("step"))
                .toList();
    }

    List<Line> of(Decision decision) {
        return lines.stream().filter(line -> line.decision() == decision).toList();
    }

    private List<Line> of(Decision decision, JobTask task) {
        return of(decision).stream()
                .filter(line -> line.subject().equals(task.name().toString()))
                .toList();
    }

    /** Returns the report of a guard whose worker has no runs. */
    static WorkerReport emptyReport(String guard, long pollNumber) {
        return new WorkerReport(
                new WorkerRef(guard, "worker", 1_000),
                FakeWorker.SERVICE,
                "zone",
                new Resources(4_000, 8_000, 0),
                List.of("a", "rack"),
                false,
                true,
                false,
                List.of(),
                List.of(),
                pollNumber);
    }

    private void report(Worker worker) {
        if (worker.silent) {
            return;
        }
        pollNumber++;
        List<WorkerReport.Running> running = worker.lists ? List.copyOf(worker.running.values()) : List.of();
        WorkerReport report = new WorkerReport(
                worker.ref,
                FakeWorker.SERVICE,
                worker.zone,
                worker.capacity,
                worker.labels,
                worker.draining,
                true,
                false,
                running,
                worker.ended.stream().limit(MOST_LISTED_ENDS).toList(),
                pollNumber);
        // The leader holds the report of a guard from which it withholds leases.
        if (scheduler.requestLease(worker.ref.guard()) && scheduler.onReport(report, nowMs)) {
            scheduler.onTermKnown(report, nowMs);
            scheduler.onGrantSent(worker.ref.guard(), nowMs);
        }
    }

    private void decide() {
        scheduler.tick(nowMs, nowMs, placing);
        if (placing && storing) {
            scheduler.moveOutOfZones(nowMs);
        }
        send(scheduler.takeImmediateOrders());
        if (inFlight == null) {
            inFlight = scheduler.takeBatch();
        }
        if (storing) {
            JobBatch batch = inFlight;
            inFlight = null;
            scheduler.onCommitted(batch);
            send(batch.orders());
        }
    }

    private void send(List<JobOrder> orders) {
        for (JobOrder order : orders) {
            Worker worker = workers.get(order.worker().guard());
            if (!scheduler.isApplicable(order)) {
                scheduler.onStartDropped((JobOrder.Start) order);
            } else if (!worker.silent) {
                execute(worker, order);
            }
        }
    }

    private void execute(Worker worker, JobOrder order) {
        switch (order) {
            case JobOrder.Start start -> {
                String name = start.task().toString();
                scheduler.onStartSent(start, nowMs);
                if (start.run() <= worker.endedRuns.getOrDefault(name, 0)) {
                    scheduler.onOrderOutcome(worker.ref, name, start.run(), true, "old", nowMs);
                    return;
                }
                starts.add(start);
                if (worker.refusal.isEmpty()) {
                    worker.running.put(name, new WorkerReport.Running(name, start.run(), "", worker.percent, 5));
                } else {
                    scheduler.onOrderOutcome(worker.ref, name, start.run(), true, worker.refusal, nowMs);
                }
            }
            case JobOrder.Stop stop -> {
                worker.stops++;
                WorkerReport.Running stopped = worker.endsRuns ? worker.running.remove(stop.task()) : null;
                if (stopped != null) {
                    worker.addEnd(stopped, RunEnd.STOPPED);
                }
                if (worker.confirmsStops) {
                    scheduler.onOrderOutcome(worker.ref, stop.task(), stop.run(), false, "done", nowMs);
                }
            }
            case JobOrder.Acknowledge acknowledge ->
                worker.ended.removeIf(end -> end.number() <= acknowledge.upToNumber());
            case JobOrder.SetCpuShare share -> {
                // Changes of the CPU share have no effect on these workers.
            }
        }
    }
}
