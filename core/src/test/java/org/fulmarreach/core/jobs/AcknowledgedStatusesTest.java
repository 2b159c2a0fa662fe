package org.fulmarreach.core.jobs;

import java.util.List;
import java.util.Optional;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against answers to callers that are ahead of the store, or that differ from those of the registry. */
class AcknowledgedStatusesTest {
    private static final TaskState DONE = new TaskState(TaskPhase.DONE, 1, new WorkerRef("g", "w", 1), 0, "");
    private static final JobSnapshot COMPLETED = new JobSnapshot(List.of(DONE), 2_000, true);

    private final JobRegistry registry = new JobRegistry();
    private final AcknowledgedStatuses statuses = registry.acknowledgedStatuses();

    @Test
    void changeShowsOnceItIsAcknowledged() {
        registry.submit(job("job-1"));
        Job job = registry.find("job-1").orElseThrow();
        job.markBegun();
        job.tasks().get(0).restore(DONE);
        assertEquals(JobStatus.COMPLETED, job.status());
        assertEquals(Optional.of(JobStatus.QUEUED), statuses.find("job-1"));
        job.acknowledge(COMPLETED);
        assertEquals(Optional.of(JobStatus.COMPLETED), statuses.find("job-1"));
    }

    /** A leader that is replaced discards what it has not stored. */
    @Test
    void unwrittenChangeNeverShowsAfterAChangeOfTheLeader() {
        registry.submit(job("job-1"));
        registry.find("job-1").orElseThrow().tasks().get(0).restore(DONE);
        registry.rollBack();
        assertEquals(Optional.of(JobStatus.QUEUED), statuses.find("job-1"));
        assertEquals(1, statuses.countWaiting("q"));
    }

    /** Progress and cancellations may be read before the submission they belong to. */
    @Test
    void jobShowsFirstWithWhatWasKnownBeforeItsSubmission() {
        registry.restore("job-1", COMPLETED);
        registry.cancel("job-2", 1_000);
        assertEquals(Optional.empty(), statuses.find("job-1"));
        assertEquals(Optional.empty(), statuses.find("job-2"));
        registry.submit(job("job-1"));
        registry.submit(job("job-2"));
        assertEquals(Optional.of(JobStatus.COMPLETED), statuses.find("job-1"));
        assertEquals(Optional.of(JobStatus.CANCELLED), statuses.find("job-2"));
    }

    /** An append may be acknowledged after the job's records have been removed. */
    @Test
    void removedJobIsNotShownAgain() {
        registry.submit(job("job-1"));
        Job job = registry.find("job-1").orElseThrow();
        registry.remove("job-1");
        job.acknowledge(COMPLETED);
        job.cancel();
        assertEquals(Optional.empty(), statuses.find("job-1"));
    }

    /** A whole pool with cancellations, a lost worker, removed jobs and a change of the leader. */
    @Test
    void statusesAreThoseOfTheRegistry() {
        LargePool large = new LargePool(5, 11, 0.25);
        large.submitStandingJobs();
        for (int round = 0; round < 4; round++) {
            large.runTraffic(3);
            large.pool.cancel(large.submitted.get("batch").getLast());
            checkAgainst(large.pool.registry);
            large.pool.replaceLeader();
            checkAgainst(large.pool.registry);
        }
        String removed = large.submitted.get("small").get(0);
        large.pool.remove(removed);
        checkAgainst(large.pool.registry);
        assertEquals(
                Optional.empty(), large.pool.registry.acknowledgedStatuses().find(removed));
    }

    private static void checkAgainst(JobRegistry registry) {
        AcknowledgedStatuses shown = registry.acknowledgedStatuses();
        assertTrue(registry.jobs().size() > 10);
        for (Job job : registry.jobs()) {
            assertEquals(
                    Optional.of(job.acknowledgedStatus()), shown.find(job.spec().id()));
        }
        long waiting = registry.jobs().stream()
                .filter(job -> job.spec().queue().equals("small") && job.acknowledgedStatus() == JobStatus.QUEUED)
                .count();
        assertEquals(waiting, shown.countWaiting("small"));
    }

    private static JobSpec job(String id) {
        JobStep step =
                TestSteps.of(1, new Resources(100, 100, 0), 400, List.of()).build();
        return new JobSpec(id, "q", "", List.of(step), 0, 0, 0, 1_000);
    }
}
