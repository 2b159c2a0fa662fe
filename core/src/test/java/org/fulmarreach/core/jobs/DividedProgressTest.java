package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

/** Progress of a job whose tasks are stored in parts. */
class DividedProgressTest {
    private static final WorkerRef WORKER = new WorkerRef("guard", "worker", 1_000);
    private static final TaskState DONE = new TaskState(TaskPhase.DONE, 1, WORKER, 0, "");
    private static final TaskState ASSIGNED = new TaskState(TaskPhase.ASSIGNED, 1, WORKER, 0, "");
    private static final int TASKS = 300;

    private final JobRegistry registry = new JobRegistry();

    @Test
    void onlyPartsWithChangesAreStored() {
        Job job = submit();
        assertNull(job.takeChange());
        job.tasks().get(130).assign(WORKER, "rack", 1, 1_000);
        JobChange change = job.takeChange();
        assertEquals(List.of(1), change.parts());
        job.acknowledge(change);
        assertEquals(List.of(1), job.storedParts());
        job.tasks().get(0).assign(WORKER, "rack", 1, 1_000);
        job.tasks().get(299).assign(WORKER, "rack", 1, 1_000);
        change = job.takeChange();
        assertEquals(List.of(0, 2), change.parts());
        job.acknowledge(change);
        job.settle(1_000);
        assertEquals(List.of(), job.takeChange().parts());
    }

    /** A former version stored the job as a whole, and all of it has to be stored again. */
    @Test
    void jobThatWasStoredAsAWholeIsStoredInParts() {
        Job job = submit();
        registry.restore("job", new JobSnapshot(states(200, DONE), 0, true));
        job.tasks().get(299).assign(WORKER, "rack", 1, 1_000);
        JobChange change = job.takeChange();
        assertEquals(List.of(0, 1, 2), change.parts());
        job.acknowledge(change);
        assertEquals(200, job.doneTasks());
    }

    /** The keys of parts come first in a load, and an interrupted change from a whole leaves both. */
    @Test
    void partsAreNewerThanTheWhole() {
        registry.restorePart("job", 1, Collections.nCopies(128, DONE));
        registry.restore("job", new JobSnapshot(states(140, ASSIGNED), 0, true));
        Job job = submit();
        assertEquals(TaskPhase.ASSIGNED, job.stateAt(127).phase());
        assertEquals(TaskPhase.DONE, job.stateAt(128).phase());
        assertEquals(128, job.doneTasks());
        assertEquals(JobStatus.RUNNING, job.acknowledgedStatus());
    }

    @Test
    void statusFollowsFromAllParts() {
        Job job = submit();
        registry.restore("job", new JobSnapshot(List.of(), 0, true));
        assertEquals(JobStatus.RUNNING, job.acknowledgedStatus());
        registry.restorePart("job", 0, Collections.nCopies(128, DONE));
        registry.restorePart("job", 1, Collections.nCopies(128, DONE));
        assertEquals(JobStatus.RUNNING, job.acknowledgedStatus());
        registry.restorePart("job", 2, Collections.nCopies(44, DONE));
        assertEquals(JobStatus.COMPLETED, job.acknowledgedStatus());
    }

    @Test
    void oddPartsAreIgnored() {
        Job job = submit();
        registry.restorePart("job", 3, Collections.nCopies(128, DONE));
        registry.restorePart("job", 2, Collections.nCopies(128, DONE));
        assertEquals(0, job.doneTasks());
        assertEquals(List.of(), job.storedParts());
    }

    @Test
    void changesThatAreNotStoredAreRolledBack() {
        Job job = submit();
        registry.restorePart("job", 0, Collections.nCopies(128, DONE));
        job.tasks().get(200).assign(WORKER, "rack", 1, 1_000);
        job.takeChange();
        registry.rollBack();
        assertEquals(TaskState.INITIAL, job.tasks().get(200).state());
        assertEquals(128, job.doneTasks());
    }

    private Job submit() {
        JobStep step =
                TestSteps.of(TASKS, new Resources(10, 10, 0), 100, List.of()).build();
        registry.submit(new JobSpec("job", "q", "", List.of(step), 0, 0, 0, 0));
        return registry.find("job").orElseThrow();
    }

    private static List<TaskState> states(int count, TaskState first) {
        List<TaskState> states = new ArrayList<>(Collections.nCopies(count, first));
        states.addAll(Collections.nCopies(TASKS - count, TaskState.INITIAL));
        return states;
    }
}
