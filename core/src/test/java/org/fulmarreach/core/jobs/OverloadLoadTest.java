package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.overload.AdmissionDecision;
import org.fulmarreach.core.overload.AdmissionGate;
import org.fulmarreach.core.overload.PoolLoad;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * The door under a burst of long work, then one of urgent work. Arrivals are generated from a seed and are the same
 * with and without it; estimates are off by up to 5 times either way. Guards against refusals of jobs that would be
 * served, and against callers that are served worse because of refusals.
 */
class OverloadLoadTest {
    private static final int WORKERS = 14;
    private static final Resources WORKER = new Resources(16_000, 64_000, 0);
    private static final QueuePolicy URGENT = new QueuePolicy(FakeWorker.SERVICE, 0, 3, 300, 1.5);
    private static final QueuePolicy LONG = new QueuePolicy(FakeWorker.SERVICE, 1, 3, 1_000, 1.5);
    private static final JobConfig CONFIG = new JobConfig(1, List.of(queue("urgent", URGENT), queue("long", LONG)), 1);

    /** Usual rates, at which the pool is about two thirds full. */
    private static final double URGENT_PER_S = 2.4;

    private static final double LONG_PER_S = 0.8;

    private static final int LATE_FACTOR = 3;
    private static final int STEP_MS = 100;

    /** A submitted job with the actual durations of its tasks. */
    private record Arrival(JobSpec spec, long taskMs, long targetMs) {}

    /** A phase of the load, with factors on the usual rates. */
    private record Phase(long ms, double urgent, double longs) {}

    /** What became of the jobs of a run. */
    private record Outcome(Set<String> onTime, Set<String> useful, Set<String> refused) {}

    private static final List<Phase> BURSTS =
            List.of(new Phase(4_000, 1, 1), new Phase(6_000, 1, 2.4), new Phase(6_000, 1.9, 1), new Phase(4_000, 1, 1));

    /** Long enough that work piles up beyond what is of use. */
    private static final List<Phase> FLOOD =
            List.of(new Phase(4_000, 1, 1), new Phase(60_000, 1.9, 4), new Phase(4_000, 1, 1));

    @Test
    void shortBurstsAreServedWithoutRefusals() {
        for (int seed = 1; seed <= 3; seed++) {
            Outcome without = play(seed, BURSTS, false);
            Outcome with = play(seed, BURSTS, true);
            assertEquals(Set.of(), with.refused(), "refused although they are of use, seed " + seed);
            assertEquals(without.onTime(), with.onTime(), "served on time, seed " + seed);
        }
    }

    /**
     * Which jobs of a flood are served is a matter of chance, so single refused ones might have been; but refusals must
     * not cost the callers as a whole anything: no fewer are served on time, and no fewer in time to be of use.
     */
    @Test
    void refusalsInAFloodCostNothingOnTheWhole() {
        int refused = 0;
        for (int seed = 1; seed <= 3; seed++) {
            Outcome without = play(seed, FLOOD, false);
            Outcome with = play(seed, FLOOD, true);
            refused += with.refused().size();
            String compared = "seed " + seed + ": " + with.refused().size() + " refused, on time "
                    + without.onTime().size() + " without the door, "
                    + with.onTime().size() + " with it; of use "
                    + without.useful().size() + ", " + with.useful().size();
            assertTrue(with.onTime().size() >= without.onTime().size(), compared);
            assertTrue(with.useful().size() >= without.useful().size(), compared);
        }
        assertTrue(refused > 0, "nobody was refused in the flood");
    }

    /** A new leader has heard of few workers, so that the room for the backlog looks too small. */
    @Test
    void newLeaderReportsNoShortageBeforeAllWorkersAreKnown() {
        PoolEmulator pool = startPool();
        List<Arrival> arrivals = arrivals(1, List.of(new Phase(30_000, 1.9, 4)));
        play(pool, arrivals, false, 30_000, new HashSet<>());
        assertTrue(pool.poolLoad().isShort());
        pool.replaceLeader();
        for (long ms = 0; ms < 1_900; ms += STEP_MS) {
            pool.run(STEP_MS);
            assertFalse(pool.poolLoad().isShort(), "shortage " + ms + " ms after the begin of the term");
        }
        pool.run(1_000);
        assertTrue(pool.poolLoad().isShort());
        assertTrue(pool.poolLoadAgeMs() <= 500, "age " + pool.poolLoadAgeMs());
    }

    /** Nothing is written in calm, and entries are told when a shortage is over. */
    @Test
    void shortageBeginsWithTheFloodAndEnds() {
        PoolEmulator pool = startPool();
        List<Arrival> calm = arrivals(1, List.of(new Phase(20_000, 1, 0.8)));
        long startMs = pool.nowMs;
        int shortPasses = 0;
        int next = 0;
        while (pool.nowMs < startMs + 20_000) {
            next = submitDue(pool, calm, next, startMs, new HashSet<>(), false);
            pool.run(STEP_MS);
            shortPasses += pool.poolLoad().isShort() ? 1 : 0;
        }
        assertEquals(0, shortPasses, "passes with a shortage in calm");
        for (int i = 0; i < 40; i++) {
            pool.submit(job("flood-" + i, "long", LONG, 2, pool.nowMs), Collections.nCopies(40, 2_400L));
        }
        pool.run(2_000);
        assertTrue(pool.poolLoad().isShort());
        PoolLoad.ServiceLoad load = pool.poolLoad().find(FakeWorker.SERVICE).orElseThrow();
        assertEquals(WORKERS, load.workers());
        assertEquals(WORKERS * WORKER.milliCores(), load.reserving().roomMilliCores());
        pool.run(120_000);
        assertFalse(pool.poolLoad().isShort());
    }

    /** Jobs that wait for a label that no worker has are no sign of too little room. */
    @Test
    void jobsThatWaitForSomethingElseAreNoShortage() {
        PoolEmulator pool = startPool();
        for (int i = 0; i < 100; i++) {
            JobStep step = TestSteps.of(20, new Resources(1_800, 100, 0), 2_400, List.of())
                    .requiring("absent")
                    .build();
            JobSpec spec = new JobSpec("job-" + i, "long", "", List.of(step), 0, 0, 0, pool.nowMs, LONG);
            pool.submit(spec, Collections.nCopies(20, 2_400L));
        }
        pool.run(5_000);
        assertFalse(pool.poolLoad().isShort());
    }

    @Test
    void standingAndTimedJobsAreNeverRefused() {
        JobStep standing = TestSteps.of(14, new Resources(500, 100, 0), 0, List.of())
                .longRunning()
                .build();
        JobStep step =
                TestSteps.of(14, new Resources(500, 100, 0), 100, List.of()).build();
        assertEquals(
                Optional.empty(),
                JobAdmission.request(new JobSpec("a", "q", "", List.of(step, standing), 0, 0, 0, 1, LONG)));
        assertEquals(
                Optional.empty(), JobAdmission.request(new JobSpec("a", "q", "", List.of(step), 1, 1_000, 3, 1, LONG)));
        assertEquals(
                Optional.empty(), JobAdmission.request(new JobSpec("a", "q", "", List.of(step), 0, 0, 0, 1, null)));
        assertTrue(JobAdmission.request(new JobSpec("a", "q", "", List.of(step), 0, 0, 0, 1, LONG))
                .isPresent());
    }

    /*
     * Helpers
     */

    private static JobQueue queue(String name, QueuePolicy policy) {
        return new JobQueue(
                name,
                "h",
                "/" + name + "/",
                FakeWorker.SERVICE,
                policy.priority(),
                policy.maxAttempts(),
                3_000,
                policy.targetLatencyMs(),
                policy.criticalPathFactor());
    }

    private static JobSpec job(String id, String queue, QueuePolicy policy, double estimate, long nowMs) {
        boolean urgent = queue.equals("urgent");
        Resources demand = new Resources(urgent ? 370 : 1_800, 256, 0);
        long estimatedMs = Math.max(1, (long) (estimate * (urgent ? 1_140 : 2_400)));
        int tasks = urgent ? 10 : 20;
        List<JobStep> steps = List.of(
                TestSteps.of(tasks, demand, estimatedMs, List.of()).build(),
                TestSteps.of(tasks, demand, estimatedMs, List.of(0)).build());
        return new JobSpec(id, queue, "", steps, 0, 0, 0, nowMs, policy);
    }

    /** Generates arrivals; the target follows from the actual work, which only the caller knows. */
    private static List<Arrival> arrivals(int seed, List<Phase> phases) {
        Random random = new Random(seed);
        List<Arrival> arrivals = new ArrayList<>();
        long startMs = 0;
        for (Phase phase : phases) {
            for (long ms = startMs; ms < startMs + phase.ms(); ms += STEP_MS) {
                for (String queue : List.of("urgent", "long")) {
                    boolean urgent = queue.equals("urgent");
                    double rate = urgent ? URGENT_PER_S * phase.urgent() : LONG_PER_S * phase.longs();
                    if (random.nextDouble() < rate * STEP_MS / 1_000) {
                        QueuePolicy policy = urgent ? URGENT : LONG;
                        long taskMs = urgent ? 1_140 : 2_400;
                        double error = Math.pow(5, 2 * random.nextDouble() - 1);
                        JobSpec spec = job(queue + "-" + arrivals.size(), queue, policy, error, ms);
                        long targetMs = (long) (policy.criticalPathFactor() * 2 * taskMs) + policy.targetLatencyMs();
                        arrivals.add(new Arrival(spec, taskMs, targetMs));
                    }
                }
            }
            startMs += phase.ms();
        }
        return arrivals;
    }

    private static PoolEmulator startPool() {
        PoolEmulator pool = new PoolEmulator(1, 0, 0, CONFIG);
        for (int i = 0; i < WORKERS; i++) {
            pool.addWorker(i, WORKER);
        }
        pool.run(3_000);
        return pool;
    }

    private static Outcome play(int seed, List<Phase> phases, boolean refusing) {
        PoolEmulator pool = startPool();
        List<Arrival> arrivals = arrivals(seed, phases);
        Set<String> refused = new HashSet<>();
        long lastMs = phases.stream().mapToLong(Phase::ms).sum();
        play(pool, arrivals, refusing, lastMs + 30_000, refused);
        Set<String> onTime = new HashSet<>();
        Set<String> useful = new HashSet<>();
        for (Arrival arrival : arrivals) {
            String id = arrival.spec().id();
            long latencyMs = refused.contains(id) ? -1 : pool.latencyMs(id);
            if (latencyMs >= 0 && latencyMs <= LATE_FACTOR * arrival.targetMs()) {
                useful.add(id);
                if (latencyMs <= arrival.targetMs()) {
                    onTime.add(id);
                }
            }
        }
        return new Outcome(onTime, useful, refused);
    }

    private static void play(
            PoolEmulator pool, List<Arrival> arrivals, boolean refusing, long forMs, Set<String> refused) {
        long startMs = pool.nowMs;
        int next = 0;
        while (pool.nowMs < startMs + forMs) {
            next = submitDue(pool, arrivals, next, startMs, refused, refusing);
            pool.run(STEP_MS);
        }
    }

    private static int submitDue(
            PoolEmulator pool, List<Arrival> arrivals, int from, long startMs, Set<String> refused, boolean refusing) {
        int next = from;
        while (next < arrivals.size() && arrivals.get(next).spec().acceptedAtMs() + startMs <= pool.nowMs) {
            Arrival arrival = arrivals.get(next);
            JobSpec timed = arrival.spec();
            JobSpec spec =
                    new JobSpec(timed.id(), timed.queue(), "", timed.steps(), 0, 0, 0, pool.nowMs, timed.queuePolicy());
            AdmissionDecision decision = AdmissionGate.decide(
                    JobAdmission.request(spec).orElseThrow(), pool.poolLoad(), pool.poolLoadAgeMs());
            if (refusing && decision instanceof AdmissionDecision.Refuse) {
                refused.add(spec.id());
            } else {
                int tasks = 2 * spec.steps().get(0).taskCount();
                pool.submit(spec, Collections.nCopies(tasks, arrival.taskMs()));
            }
            next++;
        }
        return next;
    }
}
