package org.fulmarreach.core.jobs;

import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What a leader learns of run times that differ from the estimates. */
class RunTimeModelTest {
    private static final int RUNS = 300;

    /** Buckets of a quarter octave are off by 9% at most. */
    private static final double BUCKET_ERROR = 0.1;

    private final RunTimeModel model = new RunTimeModel();

    /** Guards against a first guess that is worse than that of the submitter. */
    @Test
    void estimateIsThePrior() {
        assertEquals(1_000, model.expectedMs("q", step(1_000, 500)));
        model.recordDone("q", step(1_000, 500), 5_000);
        assertEquals(1_000, model.expectedMs("q", step(1_000, 500)), "one run says little");
    }

    /** Guards against a queue that gains rank by declaring a fifth of its run time, or loses by declaring 5 times. */
    @Test
    void learnsEstimatesThatAreOffFiveTimesEitherWay() {
        for (int i = 0; i < RUNS; i++) {
            model.recordDone("low", step(200, 500), 1_000);
            model.recordDone("high", step(5_000, 500), 1_000);
        }
        assertEquals(1_000, model.expectedMs("low", step(200, 500)), 1_000 * BUCKET_ERROR);
        assertEquals(1_000, model.expectedMs("high", step(5_000, 500)), 1_000 * BUCKET_ERROR);
        assertEquals(200, model.expectedMs("low", step(200, 8_000)), "nothing is known of steps of another shape");
    }

    /** Guards against a mean: 3 in 100 tasks take 7 times as long, and all jobs would look late. */
    @Test
    void fewLongRunsMoveOnlyTheHighQuantiles() {
        for (int i = 0; i < RUNS; i++) {
            model.recordDone("q", step(1_000, 500), i % 100 < 3 ? 7_000 : 1_000);
        }
        assertEquals(1_000, model.expectedMs("q", step(1_000, 500)));
        assertEquals(1_000, model.expectedMs("q", step(1_000, 500), 0.9));
        assertEquals(7_000, model.expectedMs("q", step(1_000, 500), 0.99), 7_000 * BUCKET_ERROR);
    }

    /** Guards against a model that can't follow a queue whose tasks change. */
    @Test
    void forgetsWhatWasLongAgo() {
        for (int i = 0; i < 10 * RUNS; i++) {
            model.recordDone("q", step(1_000, 500), 4_000);
        }
        for (int i = 0; i < 2 * RUNS; i++) {
            model.recordDone("q", step(1_000, 500), 1_000);
        }
        assertEquals(1_000, model.expectedMs("q", step(1_000, 500)));
    }

    /** Guards against the delay of starts being taken for work, and against memory that grows with the queues. */
    @Test
    void leavesOutTheDelayOfStartsAndIsBounded() {
        for (int i = 0; i < RUNS; i++) {
            model.recordStart(500);
            model.recordDone("q", step(1_000, 500), 1_500);
        }
        assertEquals(500, model.startDelayMs(), 5);
        assertEquals(1_000, model.expectedMs("q", step(1_000, 500)), 1_000 * BUCKET_ERROR);
        for (int i = 0; i < 10_000; i++) {
            model.recordDone("queue-" + i, step(1_000, 500), 8_000);
        }
        assertTrue(model.classes() <= 256, model.classes() + " classes");
    }

    /** The pool learns while it works: after some jobs, a queue with estimates of a fifth ranks by its real time. */
    @Test
    void schedulerLearnsFromDoneRunsAndRanksByThem() {
        QueuePolicy policy = new QueuePolicy(FakeWorker.SERVICE, 0, 2, 400, 1.5);
        Job job = new Job(new JobSpec("job", "q", "", List.of(step(200, 500)), 0, 0, 0, 0), new AcknowledgedStatuses());
        assertEquals(400 + 300, JobUrgency.claim(job, policy, model, 0).targetInMs());
        for (int i = 0; i < RUNS; i++) {
            model.recordDone("q", step(200, 500), 1_000);
        }
        assertEquals(1_000, JobUrgency.claim(job, policy, model, 0).remainingMs(), 1_000 * BUCKET_ERROR);
        assertEquals(400 + 1_500, JobUrgency.claim(job, policy, model, 0).targetInMs(), 1_500 * BUCKET_ERROR);
    }

    /** A throttled run takes longer than its work; by that, a congested pool would count late jobs as on time. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void throttledRunsAreLeftOut(boolean throttled) {
        JobConfig config = new JobConfig(
                1, List.of(new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5)), 1_000_000);
        PoolEmulator pool = new PoolEmulator(11, 0, 0, config);
        pool.addWorker(0, new Resources(10_000, 100_000, 0));
        pool.run(1_000);
        pool.submit(new JobSpec("job", "q", "", List.of(step(1_000, 500)), 0, 0, 0, pool.nowMs), List.of(1_000L));
        pool.run(500);
        Job job = pool.registry.find("job").orElseThrow();
        if (throttled) {
            job.tasks().get(0).setCpuSharePercent(50);
            job.tasks().get(0).setCpuSharePercent(100);
        }
        pool.run(3_000);
        assertEquals(JobStatus.COMPLETED, job.status());
        assertEquals(throttled ? 0 : 1, pool.runTimes().classes());
    }

    private static JobStep step(long estimatedMs, int milliCores) {
        return TestSteps.of(1, new Resources(milliCores, 100, 0), estimatedMs, List.of())
                .build();
    }
}
