package org.fulmarreach.guard;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Props;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.platform.WorkerTask;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.RenewTasks;
import org.fulmarreach.protocol.thrift.Resources;
import org.fulmarreach.protocol.thrift.StartTask;
import org.fulmarreach.protocol.thrift.StopMode;
import org.fulmarreach.protocol.thrift.StopTask;
import org.fulmarreach.protocol.thrift.TaskId;
import org.fulmarreach.protocol.thrift.TaskPhase;
import org.fulmarreach.protocol.thrift.TaskReportAck;
import org.fulmarreach.protocol.thrift.TaskStatus;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.Invariants;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against tasks that outlive their grant, lose their checkpoint or report, or slow the target unthrottled. */
class TaskActorTest {
    private static final String SHARD = "work-sued-0";
    private static final long INCARNATION = 9;

    private final ActorSystem<Void> system = ActorSystems.construct(Behaviors.empty(), "test", 2);
    private final AtomicLong nowMs = new AtomicLong(1_000_000);
    private final FakeWorker worker = new FakeWorker();
    private final BlockingQueue<LinksCommand> reports = new LinkedBlockingQueue<>();
    private final BlockingQueue<GuardCommand> steps = new LinkedBlockingQueue<>();
    private final ActorRef<LinksCommand> links = collect(reports, "links");
    private final ActorRef<GuardCommand> guardian = collect(steps, "guardian");
    private ActorRef<TaskCommand> actor;

    private <T> ActorRef<T> collect(BlockingQueue<T> queue, String name) {
        return system.systemActorOf(
                Behaviors.receiveMessage(message -> {
                    queue.add(message);
                    return Behaviors.same();
                }),
                name,
                Props.empty());
    }

    private void startActor() throws Exception {
        EventLog log = new EventLog("guard-1");
        actor = system.systemActorOf(
                TaskActor.create(new TaskActor.Dependencies(
                        INCARNATION,
                        5_000,
                        worker,
                        nowMs::get,
                        log,
                        new Invariants(new SimpleMeterRegistry(), log),
                        guardian)),
                "tasks",
                Props.empty());
        awaitReport(report -> report.capacity().milliCores() > 0);
    }

    @AfterEach
    void stop() {
        system.terminate();
    }

    private LinksCommand.TasksReported awaitReport(Predicate<LinksCommand.TasksReported> condition) throws Exception {
        LinksCommand.TasksReported last = null;
        for (int i = 0; i < 500; i++) {
            actor.tell(new TaskCommand.ReportStatus(links));
            last = (LinksCommand.TasksReported) reports.poll(5, TimeUnit.SECONDS);
            if (last != null && condition.test(last)) {
                return last;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("no matching report within 5 s, the last is " + last);
    }

    private TaskStatus awaitPhase(TaskPhase phase) throws Exception {
        return awaitReport(report ->
                        report.tasks().size() == 1 && report.tasks().get(0).getPhase() == phase)
                .tasks()
                .get(0);
    }

    private void send(Body body) {
        actor.tell(new TaskCommand.EntryMessage(body));
    }

    private void start(TaskId task) {
        send(Body.startTask(new StartTask()
                .setShard(SHARD)
                .setTerm(1)
                .setTask(task)
                .setCommand("run")
                .setSize(new Resources(1_000, 1_000, 0))
                .setTickEchoMs(nowMs.get())
                .setLeaseMs(10_000)
                .setMember("kreidekiste")
                .setGuardIncarnation(INCARNATION)
                .setStanding(false)));
    }

    @Test
    void evictedTaskIsReportedWithItsCheckpointUntilAcknowledged() throws Exception {
        startActor();
        TaskId task = new TaskId("build", 1, 1);
        start(task);
        awaitPhase(TaskPhase.RUNNING);
        send(Body.stopTask(new StopTask(SHARD, 1, task, StopMode.CHECKPOINT_AND_STOP)));
        assertEquals("checkpoint-of-build.1.1", awaitPhase(TaskPhase.STOPPED).getCheckpoint());
        assertEquals(WorkerTask.State.STOPPED, worker.tasks.get("build.1.1"));
        send(Body.taskReportAck(new TaskReportAck(SHARD, 1, List.of(task))));
        awaitReport(report -> report.tasks().isEmpty());
    }

    @Test
    void pausedGuardStopsTaskWithExpiredGrantBeforeRenewal() throws Exception {
        startActor();
        TaskId task = new TaskId("build", 1, 1);
        start(task);
        awaitPhase(TaskPhase.RUNNING);
        nowMs.addAndGet(10_000);
        send(Body.renewTasks(new RenewTasks(SHARD, 1, nowMs.get() - 500, 10_000, List.of(task))));
        assertEquals("GRANT_LAPSED", awaitPhase(TaskPhase.STOPPED).getReason());
        assertNull(worker.renewals.get("build.1.1"));
    }

    @Test
    void unansweredStartIsResolvedByList() throws Exception {
        startActor();
        worker.losesStartAnswers = true;
        start(new TaskId("build", 1, 1));
        awaitPhase(TaskPhase.RUNNING);
    }

    @Test
    void failingAndSilentAgentsAreReported() throws Exception {
        startActor();
        worker.failsStarts = true;
        for (int run = 1; run <= 3; run++) {
            start(new TaskId("build", run, 1));
        }
        awaitReport(LinksCommand.TasksReported::workerFailing);
        worker.failsStarts = false;
        start(new TaskId("build", 4, 1));
        awaitReport(report -> !report.workerFailing());
        worker.isSilent = true;
        awaitReport(LinksCommand.TasksReported::workerFailing);
    }

    @Test
    void tasksOfEarlierIncarnationAreRenewedOnlyOnRequest() throws Exception {
        worker.tasks.put("watch.0.3", WorkerTask.State.RUNNING);
        worker.tasks.put("foreign", WorkerTask.State.RUNNING);
        startActor();
        assertEquals(3, awaitPhase(TaskPhase.RUNNING).getTask().getEpoch());
        nowMs.addAndGet(2_000);
        awaitPhase(TaskPhase.RUNNING);
        assertFalse(worker.renewals.containsKey("watch.0.3"));
        TaskId task = new TaskId("watch", 0, 3);
        send(Body.renewTasks(new RenewTasks(SHARD, 4, nowMs.get(), 10_000, List.of(task))));
        awaitReport(report -> worker.renewals.containsKey("watch.0.3"));
        assertFalse(worker.renewals.containsKey("foreign"));
    }

    @Test
    void slowTargetThrottlesItsTasksAndDrainStopsThem() throws Exception {
        startActor();
        // The baseline is the average of the first eight windows; no task is throttled before.
        for (int i = 0; i < 10; i++) {
            closeWindow(20);
        }
        start(new TaskId("build", 1, 1));
        awaitPhase(TaskPhase.RUNNING);
        closeWindow(60);
        assertTrue(awaitReport(report -> report.tasks().get(0).getThrottleShare() < 1)
                        .tasks()
                        .get(0)
                        .getThrottleShare()
                < 0.6);
        awaitReport(report -> worker.shares.containsKey("build.1.1"));
        actor.tell(new TaskCommand.SetLeaving(true));
        assertEquals("checkpoint-of-build.1.1", awaitPhase(TaskPhase.STOPPED).getCheckpoint());
        assertNull(steps.poll());
        send(Body.taskReportAck(new TaskReportAck(SHARD, 1, List.of(new TaskId("build", 1, 1)))));
        assertEquals(GuardCommand.Step.TASKS_ENDED, steps.poll(5, TimeUnit.SECONDS));
    }

    private void closeWindow(int p99Ms) {
        nowMs.addAndGet(2_000);
        actor.tell(new TaskCommand.WindowClosed(p99Ms, 200, 4, 8, "bestellung"));
    }
}
