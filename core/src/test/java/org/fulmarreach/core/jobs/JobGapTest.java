package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * A pool under more best-effort work than its idle processors carry, whose leader changes and which loses all power
 * once. Each seed gives another random load. Property: in calm, no job is without a run for 3 s while there is room for
 * its task twice over and less than half of the processors are reserved.
 */
class JobGapTest {
    private static final int SEEDS = Integer.getInteger("job.gap.seeds", 200);
    private static final int FIRST_SEED = Integer.getInteger("job.gap.first", 0);

    private static final Resources WORKER = new Resources(64_000, 250_000, 0);
    private static final int WORKERS = 5;
    private static final int STEP_MS = 100;
    private static final int TRAFFIC_MS = 24_000;
    private static final int FINISH_MS = 14_000;
    private static final int POWER_OFF_MS = 1_600;

    /** Callers expect a job to have a run within this time. */
    private static final int MAX_WITHOUT_RUN_MS = 3_000;

    /** Time without any event before which nothing is expected. */
    private static final int SETTLE_MS = 4_000;

    private static final JobConfig CONFIG = new JobConfig(
            1,
            List.of(
                    new JobQueue("quick", "h", "/b/", FakeWorker.SERVICE, 0, 3, 3_000, 400, 1.5),
                    new JobQueue("long", "h", "/p/", FakeWorker.SERVICE, 2, 3, 3_000, 1_000, 2.0),
                    new JobQueue("standing", "h", "/s/", FakeWorker.SERVICE, 0, 3, 3_000, 2_500, 2.2)),
            1_000_000);

    /** Guards against a job that waits without a bound, behind others or since nobody keeps for how long it has. */
    @Test
    void noJobIsWithoutARunWhileThereIsRoom() {
        assertEquals(List.of(), simulate(false), "jobs without a run for over 3 s beside free room");
    }

    /**
     * The same with workers that fail all runs for a while, jobs that fail or crash their workers, and standing tasks
     * too large for any worker. Guards against a job that waits for workers which are suspected, reserved for a trial,
     * or held for another task.
     */
    @Test
    void noJobIsWithoutARunAfterFaults() {
        assertEquals(List.of(), simulate(true), "jobs without a run for over 3 s beside free room");
    }

    private static List<String> simulate(boolean faulty) {
        List<String> violations = new ArrayList<>();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            violations.addAll(new Scenario(seed, faulty).simulate());
        }
        return violations;
    }

    /** One random load with its events. */
    private static final class Scenario {
        private final int seed;
        private final boolean faulty;
        private final Random random;
        private final PoolEmulator pool;
        private final Map<String, Long> hinderedAtMs = new HashMap<>();
        private final Set<String> lost = new HashSet<>();
        private final Map<String, String> reasons = new HashMap<>();
        private final List<String> violations = new ArrayList<>();
        private long disturbedAtMs;
        private int jobs;

        Scenario(int seed, boolean faulty) {
            this.seed = seed;
            this.faulty = faulty;
            this.random = new Random(seed);
            this.pool = new PoolEmulator(seed, 0.3 * random.nextDouble(), 1 + 2 * random.nextDouble(), CONFIG);
            for (int i = 0; i < WORKERS; i++) {
                pool.addWorker(i, WORKER);
            }
            pool.workers.values().forEach(worker -> {
                worker.beginMs = 150;
                worker.checkpointMs = 1_000;
            });
            pool.observer = (decision, subject, fields) -> {
                if (decision == DecisionLog.Decision.JOB_WAITING) {
                    reasons.put(subject.substring(0, subject.indexOf('.')), List.of(fields) + "");
                }
            };
            disturbedAtMs = pool.nowMs;
        }

        List<String> simulate() {
            pool.run(1_000);
            int standing = random.nextInt(4);
            for (int i = 0; i < standing; i++) {
                Resources demand = new Resources(8_000 + random.nextInt(6_000), 26_000, 0);
                submit(
                        "standing",
                        TestSteps.of(2 + random.nextInt(3), demand, 0, List.of())
                                .serving("serve-" + i, 18),
                        0);
            }
            if (faulty) {
                submit(
                        "standing",
                        TestSteps.of(3, new Resources(40_000, 26_000, 0), 0, List.of())
                                .serving("large", 18),
                        0);
            }
            double quickPerStep = 0.2 * random.nextDouble();
            double longPerStep = 0.02 + 0.12 * random.nextDouble();
            long powerOffAtMs = pool.nowMs + TRAFFIC_MS / 2 + random.nextInt(TRAFFIC_MS / 2);
            long endMs = pool.nowMs + TRAFFIC_MS;
            while (pool.nowMs < endMs) {
                if (random.nextDouble() < quickPerStep) {
                    submitQuick();
                }
                if (random.nextDouble() < longPerStep) {
                    submitLong();
                }
                if (random.nextInt(60) == 0) {
                    disturbedAtMs = pool.nowMs;
                    pool.replaceLeader();
                }
                if (faulty) {
                    injectFault();
                }
                if (pool.nowMs >= powerOffAtMs) {
                    powerOffAtMs = Long.MAX_VALUE;
                    pool.losePower(POWER_OFF_MS);
                    disturbedAtMs = pool.nowMs;
                }
                advance();
            }
            pool.workers.values().forEach(worker -> worker.failing = false);
            for (long untilMs = pool.nowMs + FINISH_MS; pool.nowMs < untilMs; ) {
                advance();
            }
            return violations;
        }

        /** Begins or ends a time in which a worker fails all runs, crashes one, or submits a job that does harm. */
        private void injectFault() {
            List<FakeWorker> workers = List.copyOf(pool.workers.values());
            FakeWorker worker = workers.get(random.nextInt(WORKERS));
            switch (random.nextInt(100)) {
                case 0, 1, 2 -> worker.failing = !worker.failing;
                case 3 -> {
                    if (workers.stream().noneMatch(FakeWorker::isDown)) {
                        worker.crash();
                    }
                }
                case 4 -> pool.faultyJobs.add(submitQuick());
                case 5 -> {
                    String id = "quick-" + jobs;
                    pool.deadlyTasks.add(id + ".0.0.0");
                    submitQuick();
                }
                default -> {
                    // No fault in this step.
                }
            }
        }

        private String submitQuick() {
            int taskMs = 400 + random.nextInt(2_000);
            Resources demand = new Resources(1_000 + random.nextInt(3_000), 2_000 + random.nextInt(6_000), 0);
            return submit("quick", TestSteps.of(1 + random.nextInt(10), demand, taskMs, List.of()), taskMs);
        }

        private void submitLong() {
            int taskMs = 1_500 + random.nextInt(4_000);
            Resources demand = new Resources(4_000 + random.nextInt(6_000), 8_000 + random.nextInt(10_000), 0);
            submit(
                    "long",
                    TestSteps.of(2 + random.nextInt(50), demand, taskMs, List.of())
                            .bestEffort("fill-" + random.nextInt(6)),
                    taskMs);
        }

        private String submit(String queue, TestSteps steps, long taskMs) {
            String id = queue + "-" + jobs++;
            JobStep step = steps.build();
            pool.submit(
                    new JobSpec(id, queue, "", List.of(step), 0, 0, 0, pool.nowMs),
                    Collections.nCopies(step.taskCount(), taskMs));
            return id;
        }

        /*
         * Property
         */

        private void advance() {
            pool.run(STEP_MS);
            if (pool.workers.values().stream().anyMatch(worker -> worker.failing || worker.isDown())) {
                disturbedAtMs = pool.nowMs;
            }
            boolean calm = pool.nowMs - disturbedAtMs > SETTLE_MS;
            boolean mostlyFree = isMostlyFree();
            for (Job job : pool.registry.jobs()) {
                String id = job.spec().id();
                boolean waits = !job.status().isFinal() && job.hasWaitingTasks() && !isAtWork(job);
                if (!waits
                        || !calm
                        || !mostlyFree
                        || !hasRoomTwice(job.tasks().get(0).step())) {
                    hinderedAtMs.put(id, pool.nowMs);
                } else if (pool.nowMs - hinderedAtMs.getOrDefault(id, job.spec().acceptedAtMs()) > MAX_WITHOUT_RUN_MS
                        && lost.add(id)) {
                    violations.add("seed " + seed + " at " + pool.nowMs + ": " + id + " accepted at "
                            + job.spec().acceptedAtMs() + ", last reason " + reasons.get(id) + "\n");
                }
            }
        }

        private boolean isAtWork(Job job) {
            return job.tasks().stream()
                    .anyMatch(task -> pool.workers.values().stream()
                            .anyMatch(worker -> worker.runs(task.name().toString())));
        }

        /** Tells whether less than half of the processors are reserved by what runs. */
        private boolean isMostlyFree() {
            long reserved = 0;
            for (FakeWorker worker : pool.workers.values()) {
                reserved += WORKER.milliCores() - free(worker).milliCores();
            }
            return 2 * reserved < (long) WORKERS * WORKER.milliCores();
        }

        private boolean hasRoomTwice(JobStep step) {
            int slots = 0;
            for (FakeWorker worker : pool.workers.values()) {
                Resources left = worker.isDown() ? Resources.NONE : free(worker);
                while (slots < 2 && step.reserved().fitsInto(left)) {
                    left = left.minus(step.reserved());
                    slots++;
                }
            }
            return slots >= 2;
        }

        private Resources free(FakeWorker worker) {
            Resources left = worker.capacity();
            for (String name : worker.runningNames()) {
                left = left.minus(pool.registry.findTask(name).step().reserved());
            }
            return left;
        }
    }
}
