package org.fulmarreach.protocol.io;

import java.util.List;
import java.util.function.Consumer;

import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.protocol.thrift.EndedRun;
import org.fulmarreach.protocol.thrift.JobProgress;
import org.fulmarreach.protocol.thrift.JobQueuePolicy;
import org.fulmarreach.protocol.thrift.JobRequest;
import org.fulmarreach.protocol.thrift.JobStep;
import org.fulmarreach.protocol.thrift.JobSubmitted;
import org.fulmarreach.protocol.thrift.JobTaskState;
import org.fulmarreach.protocol.thrift.JobWorkerRef;
import org.fulmarreach.protocol.thrift.Resources;
import org.fulmarreach.protocol.thrift.RunStatus;
import org.fulmarreach.protocol.thrift.WorkerStatus;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Records and reports that lack fields or have impossible numbers. They failed with exceptions that the reader does not
 * expect, or were accepted and failed later, where each ends the process.
 */
class OddRecordsTest {
    private static final int TOO_MANY_TASKS = 2_000_000_000;

    @Test
    void usualSubmissionIsRead() {
        JobSpec read = decodeJob(submission -> {});
        assertEquals(2, read.steps().get(1).taskCount());
        assertEquals(List.of(0), read.steps().get(1).predecessors());
    }

    @Test
    void oddSubmissionIsAFrameException() {
        List<Consumer<JobSubmitted>> changes = List.of(
                submission -> submission.setQueue(null),
                submission -> submission.setPayload(null),
                submission -> submission.setSteps(null),
                submission -> submission.setSteps(List.of()),
                submission -> submission.setRepetitions(-1),
                submission -> submission.setRepetitions(TOO_MANY_TASKS),
                submission -> submission.setFirstRunMs(Long.MAX_VALUE),
                submission -> submission.setIntervalMs(-1),
                submission -> submission.setIntervalMs(Long.MAX_VALUE),
                submission -> submission.setQueuePolicy(new JobQueuePolicy(null, 0, 1, 0, 1)),
                submission -> submission.setQueuePolicy(new JobQueuePolicy("s", -1, 1, 0, 1)),
                submission -> submission.setQueuePolicy(new JobQueuePolicy("s", 0, 0, 0, 1)),
                submission -> submission.setQueuePolicy(new JobQueuePolicy("s", 0, 1, -1, 1)),
                submission -> submission.setQueuePolicy(new JobQueuePolicy("s", 0, 1, Long.MAX_VALUE, 1)),
                submission -> submission.setQueuePolicy(new JobQueuePolicy("s", 0, 1, 0, -1)),
                submission -> submission.setQueuePolicy(new JobQueuePolicy("s", 0, 1, 0, Double.POSITIVE_INFINITY)),
                submission -> submission.setQueuePolicy(new JobQueuePolicy("s", 0, 1, 0, Double.NaN)));
        for (int i = 0; i < changes.size(); i++) {
            Consumer<JobSubmitted> change = changes.get(i);
            assertThrows(FrameException.class, () -> decodeJob(change), "change " + i);
        }
    }

    /** Billions of tasks in a record of a hundred bytes would exhaust the memory of the entry. */
    @Test
    void oddStepIsAFrameException() {
        List<Consumer<JobStep>> changes = List.of(
                step -> step.setTaskCount(-1),
                step -> step.setTaskCount(0),
                step -> step.setTaskCount(TOO_MANY_TASKS),
                step -> step.setDemand(null),
                step -> step.setDemand(new Resources(-1, 1, 0)),
                step -> step.setDemand(new Resources(1, -1, 0)),
                step -> step.setDemand(new Resources(1, 1, -1)),
                step -> step.setDemand(new Resources(Integer.MAX_VALUE, 1, 0)),
                step -> step.setEstimatedMs(-1),
                step -> step.setEstimatedMs(Long.MAX_VALUE),
                step -> step.setAfter(null),
                step -> step.setAfter(List.of(1)),
                step -> step.setAfter(List.of(-1)),
                step -> step.setRequiredLabel(null),
                step -> step.setDataRack(null),
                step -> step.setImage(null),
                step -> step.setMaxPerWorker(-1),
                step -> step.setTargetLatencyMs(-1),
                step -> step.setMaxAbsent(-1));
        for (int i = 0; i < changes.size(); i++) {
            Consumer<JobStep> change = changes.get(i);
            assertThrows(
                    FrameException.class,
                    () -> decodeJob(
                            submission -> change.accept(submission.getSteps().get(1))),
                    "change " + i);
        }
    }

    @Test
    void oddProgressIsAFrameException() {
        List<Consumer<JobProgress>> changes = List.of(
                progress -> progress.setWorkers(null),
                progress -> progress.setTasks(null),
                // Every job has a task; without any, all of them counted as done and the job as completed.
                progress -> progress.setTasks(List.of()),
                progress -> progress.setSettledAtMs(-1),
                progress -> progress.getTasks().get(0).setPhase(99),
                progress -> progress.getTasks().get(0).setPhase(-1),
                progress -> progress.getTasks().get(0).setRun(-1),
                progress -> progress.getTasks().get(0).setFailures(-1),
                progress -> progress.getTasks().get(0).setWorker(7),
                progress -> progress.getTasks().get(0).setCrashes(-1),
                progress -> progress.getWorkers().get(0).setGuard(null),
                progress -> progress.getWorkers().get(0).setId(null));
        for (int i = 0; i < changes.size(); i++) {
            JobProgress progress = new JobProgress(
                    List.of(new JobWorkerRef("guard", "worker", 7)), List.of(new JobTaskState(1, 2, 0, 0, "")), 0);
            changes.get(i).accept(progress);
            assertThrows(FrameException.class, () -> JobRecords.fromThrift(progress), "change " + i);
        }
    }

    /** A report without a service was accepted and failed when the leader compared it. */
    @Test
    void oddReportIsAFrameException() {
        List<Consumer<WorkerStatus>> changes = List.of(
                status -> status.setRef(null),
                status -> status.getRef().setId(null),
                status -> status.setServiceName(null),
                status -> status.setZone(null),
                status -> status.setCapacity(null),
                status -> status.setCapacity(new Resources(-1, 1, 0)),
                status -> status.setCapacity(new Resources(Integer.MAX_VALUE, 1, 0)),
                status -> status.setLabels(null),
                status -> status.setRunning(null),
                status -> status.setEnded(null),
                status -> status.getRunning().get(0).setTask(null),
                status -> status.getRunning().get(0).setRun(-1),
                status -> status.getRunning().get(0).setCheckpoint(null),
                status -> status.getEnded().get(0).setTask(null),
                status -> status.getEnded().get(0).setRun(-1),
                status -> status.getEnded().get(0).setHow("melted"),
                status -> status.getEnded().get(0).setHow(null),
                status -> status.getEnded().get(0).setCheckpoint(null));
        for (int i = 0; i < changes.size(); i++) {
            WorkerStatus status = new WorkerStatus(
                    new JobWorkerRef("guard", "worker", 7),
                    "service",
                    "zone",
                    new Resources(1_000, 1_000, 0),
                    List.of("kind"),
                    false,
                    true,
                    false,
                    List.of(new RunStatus("job.0.0.0", 1, "", 41, 300)),
                    List.of(new EndedRun(1, "job.0.0.1", 1, "DONE", "")),
                    1);
            changes.get(i).accept(status);
            assertThrows(FrameException.class, () -> GuardMessages.fromThrift(status), "change " + i);
        }
    }

    private static JobSpec decodeJob(Consumer<JobSubmitted> change) {
        JobSubmitted submission =
                new JobSubmitted("q", "text", List.of(step(1, List.of()), step(2, List.of(0))), 0, 0, 0, 5);
        change.accept(submission);
        return JobRecords.decodeJob("job", ThriftBytes.encode(JobRequest.submitted(submission)));
    }

    private static JobStep step(int tasks, List<Integer> after) {
        return new JobStep(
                tasks,
                new Resources(100, 100, 0),
                100,
                after,
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
    }
}
