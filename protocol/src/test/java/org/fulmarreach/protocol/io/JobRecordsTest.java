package org.fulmarreach.protocol.io;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.core.jobs.FencingToken;
import org.fulmarreach.core.jobs.JobSnapshot;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.jobs.JobStatus;
import org.fulmarreach.core.jobs.JobStep;
import org.fulmarreach.core.jobs.QueuePolicy;
import org.fulmarreach.core.jobs.TaskPhase;
import org.fulmarreach.core.jobs.TaskState;
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.protocol.thrift.JobProgress;
import org.fulmarreach.protocol.thrift.JobTaskState;
import org.fulmarreach.protocol.thrift.JobWorkerRef;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against jobs, and progress of them, that is lost between two leaders, or between two versions. */
class JobRecordsTest {
    private static final WorkerRef WORKER = new WorkerRef("guard-1", "worker-1", 7);
    private static final JobStep STEP = new JobStep(
            1,
            new Resources(100, 100, 0),
            100,
            List.of(),
            false,
            false,
            false,
            "",
            "",
            0,
            false,
            false,
            "",
            0,
            false,
            0);

    @Test
    void progressIsStoredInParts() {
        List<TaskState> states = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            states.add(new TaskState(TaskPhase.ASSIGNED, i, WORKER, 0, "save " + i));
        }
        JobSnapshot snapshot = new JobSnapshot(states, 5_000, true);
        List<TaskState> decoded = new ArrayList<>();
        for (int part = 0; part < snapshot.states().countParts(); part++) {
            decoded.addAll(JobRecords.decodePart(
                    JobRecords.encodePart(snapshot.states().part(part))));
        }
        assertEquals(states, decoded);
        byte[] rest = JobRecords.encodeDivided(snapshot);
        assertEquals(new JobSnapshot(List.of(), 5_000, true), JobRecords.decodeProgress(rest));
        assertThrows(FrameException.class, () -> JobRecords.decodePart(rest));
        assertThrows(FrameException.class, () -> JobRecords.decodePart(JobRecords.encode(snapshot)));
        assertEquals("job", JobTopics.jobIdOfPart(JobTopics.partKey("job", 12)));
        assertEquals(12, JobTopics.partNumber(JobTopics.partKey("job", 12)));
        assertThrows(FrameException.class, () -> JobTopics.partNumber("p/job/x"));
    }

    /** A new leader reads the count from the record of its predecessor; without it the task would start anew. */
    @Test
    void crashesOutlastAHandOver() {
        JobSnapshot snapshot = new JobSnapshot(
                List.of(
                        new TaskState(TaskPhase.PENDING, 3, WORKER, 1, "save", 2, 1),
                        new TaskState(TaskPhase.ASSIGNED, 1, WORKER, 0, "")),
                0,
                true);
        assertEquals(
                snapshot,
                JobRecords.fromThrift(
                        JobRecords.decodeState(JobRecords.encode(snapshot)).getProgress()));
    }

    /** The next leader waited for a lease although the worker had confirmed the stop to the former leader. */
    @Test
    void confirmationOfAStopOutlastsAHandOver() {
        TaskState stopped = new TaskState(TaskPhase.ASSIGNED, 1, WORKER, 0, "", 0, 0, true, false);
        JobSnapshot snapshot = new JobSnapshot(List.of(stopped), 0, true);
        assertEquals(
                snapshot,
                JobRecords.fromThrift(
                        JobRecords.decodeState(JobRecords.encode(snapshot)).getProgress()));
    }

    /** The next leader started a task again whose former run may have succeeded. */
    @Test
    void forgottenEndOutlastsAHandOver() {
        TaskState ended = new TaskState(TaskPhase.ASSIGNED, 1, WORKER, 0, "", 0, 0, false, true);
        JobSnapshot snapshot = new JobSnapshot(List.of(ended), 0, true);
        assertEquals(
                snapshot,
                JobRecords.fromThrift(
                        JobRecords.decodeState(JobRecords.encode(snapshot)).getProgress()));
    }

    /** A leader that does not know the queue any more finds no service for the job without them. */
    @Test
    void settingsOfTheQueueAreStoredWithTheJob() {
        QueuePolicy policy = new QueuePolicy("service", 3, 2, 1_000, 2.5);
        JobSpec job = new JobSpec("job", "q", "text", List.of(STEP), 0, 0, 0, 5, policy);
        assertEquals(job, JobRecords.decodeJob("job", JobRecords.encode(job)));
    }

    /** Records of the former version have no settings of the queue; refusing them would lose their jobs. */
    @Test
    void jobWithoutSettingsOfItsQueueIsRead() {
        JobSpec job = new JobSpec("job", "q", "text", List.of(STEP), 0, 0, 0, 5);
        JobSpec read = JobRecords.decodeJob("job", JobRecords.encode(job));
        assertNull(read.queuePolicy());
        assertEquals(job, read);
    }

    /** Records of the former version have no counts. */
    @Test
    void recordWithoutCrashesIsRead() {
        JobProgress former = new JobProgress(
                List.of(new JobWorkerRef("guard-1", "worker-1", 7)), List.of(new JobTaskState(0, 2, 0, 1, "")), 0);
        assertEquals(
                List.of(new TaskState(TaskPhase.PENDING, 2, WORKER, 1, "")),
                JobRecords.fromThrift(former).tasks());
    }

    /** A job whose record says nothing of it must not count as begun: its starts may all have been refused. */
    @Test
    void jobOfARecordWithoutTheMarkHasNotBegun() {
        JobSnapshot ordered = new JobSnapshot(List.of(new TaskState(TaskPhase.ASSIGNED, 1, WORKER, 0, "")), 0, false);
        JobProgress written = JobRecords.decodeState(JobRecords.encode(ordered)).getProgress();
        assertFalse(written.isSetBegun());
        assertEquals(JobStatus.QUEUED, JobRecords.fromThrift(written).status(false));
    }

    /** A record of the former version; its job fell back from running to queued between two steps. */
    @Test
    void jobOfARecordWithoutTheMarkHasBegunIfATaskIsDone() {
        JobProgress former = new JobProgress(
                List.of(new JobWorkerRef("guard-1", "worker-1", 7)),
                List.of(new JobTaskState(TaskPhase.DONE.ordinal(), 1, 0, 0, ""), new JobTaskState(0, 0, -1, 0, "")),
                0);
        assertEquals(JobStatus.RUNNING, JobRecords.fromThrift(former).status(false));
    }

    /** A task without crashes is written as the former version wrote it. */
    @Test
    void taskWithoutCrashesHasNoFieldForThem() {
        JobSnapshot snapshot = new JobSnapshot(List.of(new TaskState(TaskPhase.ASSIGNED, 1, WORKER, 0, "")), 0, false);
        JobTaskState written = JobRecords.decodeState(JobRecords.encode(snapshot))
                .getProgress()
                .getTasks()
                .get(0);
        assertFalse(written.isSetCrashes() || written.isSetSoleCrashes());
    }

    /** The leader must tell a crash from a silence; a guard of a former version reports neither crash nor token. */
    @Test
    void crashOfAWorkerIsReported() {
        for (boolean crashed : new boolean[] {true, false}) {
            WorkerReport report = new WorkerReport(
                    WORKER,
                    "service",
                    "zone",
                    new Resources(1, 2, 3),
                    List.of("a", "rack"),
                    false,
                    false,
                    true,
                    List.of(),
                    List.of(),
                    5,
                    crashed,
                    crashed ? null : new FencingToken(7, 8));
            assertEquals(report, GuardMessages.fromThrift(GuardMessages.toThrift(report)));
            assertEquals(crashed, GuardMessages.toThrift(report).isSetCrashed());
            assertEquals(!crashed, GuardMessages.toThrift(report).isSetFencingToken());
        }
    }
}
