package org.fulmarreach.guard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.fulmarreach.core.admission.TaskAdmission;
import org.fulmarreach.core.exc.InvariantViolationException;
import org.fulmarreach.core.interference.RunningTask;
import org.fulmarreach.core.interference.ThrottleController;
import org.fulmarreach.core.interference.ThrottleDecision;
import org.fulmarreach.core.interference.ThrottleSettings;
import org.fulmarreach.core.interference.WindowStats;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.work.GuardTaskPhase;
import org.fulmarreach.core.work.GuardTaskView;
import org.fulmarreach.core.work.GuardTasks;
import org.fulmarreach.core.work.TaskAction;
import org.fulmarreach.platform.WorkerClient;
import org.fulmarreach.platform.WorkerStart;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Fence;
import org.fulmarreach.protocol.thrift.RenewTasks;
import org.fulmarreach.protocol.thrift.StopMode;
import org.fulmarreach.protocol.thrift.StopTask;
import org.fulmarreach.protocol.thrift.TaskReportAck;
import org.fulmarreach.protocol.thrift.TaskStatus;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.Invariants;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Owns the tasks of the VM: applies the decisions of {@link GuardTasks} and {@link ThrottleController} at the worker
 * agent. It stops when an invariant is violated; the leases of the tasks then expire at the agent.
 */
final class TaskActor extends AbstractBehavior<TaskCommand> {
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration LIST_INTERVAL = Duration.ofMillis(1_000);
    private static final int FAILED_LISTS_UNTIL_FAILING = 3;

    private final Dependencies dependencies;
    private final TaskAdmission admission = new TaskAdmission();
    private final GuardTasks tasks;
    private final ThrottleController controller = new ThrottleController(ThrottleSettings.DEFAULT);
    private final Map<TaskId, Double> appliedShares = new HashMap<>();
    private final Map<TaskId, GuardTaskPhase> loggedPhases = new HashMap<>();
    private final Map<TaskId, String> evictions = new HashMap<>();
    private boolean listInFlight;
    private int failedLists;
    private boolean leaving;
    private boolean wasFailing;

    /**
     * Settings and collaborators of the actor.
     *
     * @param incarnation incarnation of this guard
     * @param workerLeaseMs lease of tasks at the agent, in milliseconds
     * @param worker client of the agent; null if the VM has none
     * @param clock clock of this guard
     * @param log events
     * @param invariants reports violations as events and counters
     * @param guardian receives a message when all tasks have ended in a planned stop
     */
    record Dependencies(
            long incarnation,
            int workerLeaseMs,
            WorkerClient worker,
            MonotonicClock clock,
            EventLog log,
            Invariants invariants,
            ActorRef<GuardCommand> guardian) {}

    private TaskActor(ActorContext<TaskCommand> context, Dependencies dependencies) {
        super(context);
        this.dependencies = dependencies;
        this.tasks = new GuardTasks(dependencies.incarnation, dependencies.workerLeaseMs, admission);
    }

    static Behavior<TaskCommand> create(Dependencies dependencies) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> {
            if (dependencies.worker != null) {
                timers.startTimerAtFixedRate(TaskCommand.Timer.TICK, TICK);
                timers.startTimerWithFixedDelay(TaskCommand.Timer.LIST, Duration.ZERO, LIST_INTERVAL);
            }
            return new TaskActor(context, dependencies);
        }));
    }

    @Override
    public Receive<TaskCommand> createReceive() {
        return newReceiveBuilder().onAnyMessage(this::apply).build();
    }

    private Behavior<TaskCommand> apply(TaskCommand command) {
        try {
            applyCommand(command, dependencies.clock.nowMs());
        } catch (InvariantViolationException e) {
            InvariantReports.report(dependencies.invariants, e);
            return Behaviors.stopped();
        }
        return this;
    }

    private void applyCommand(TaskCommand command, long nowMs) {
        if (dependencies.worker != null) {
            // Stops tasks whose grants expired before handling the message, because the process may have been paused.
            tasks.tick(nowMs);
        }
        switch (command) {
            case TaskCommand.EntryMessage received -> applyBody(received.body(), nowMs);
            case TaskCommand.WindowClosed window -> applyWindow(window, nowMs);
            case TaskCommand.SetLeaving change -> {
                leaving = change.leaving();
                tasks.setLeaving(leaving, nowMs);
            }
            case TaskCommand.ReportStatus report -> report.replyTo().tell(buildReport());
            case TaskCommand.StartAnswered answered -> applyStart(answered, nowMs);
            case TaskCommand.StopAnswered answered -> applyStop(answered, nowMs);
            case TaskCommand.ThrottleAnswered answered -> {
                if (answered.applied()) {
                    appliedShares.put(answered.task(), answered.share());
                }
            }
            case TaskCommand.Listed listed -> {
                listInFlight = false;
                failedLists = 0;
                tasks.applyList(TaskMapping.toAgentTasks(listed.tasks()), listed.askedMs(), nowMs);
            }
            case TaskCommand.ListFailed failed -> applyListFailure(failed.reason());
            case TaskCommand.CapacityAnswered answered -> {
                if (answered.capacity() != null) {
                    admission.setCapacity(answered.capacity());
                }
            }
            case TaskCommand.Timer timer -> {
                if (timer == TaskCommand.Timer.LIST) {
                    requestList(nowMs);
                }
            }
        }
        tasks.drainActions().forEach(this::send);
        logChanges();
        if (leaving && tasks.isDrained()) {
            dependencies.guardian.tell(GuardCommand.Step.TASKS_ENDED);
        }
    }

    /*
     * Messages of the leaders
     */

    private void applyBody(Body body, long nowMs) {
        boolean accepted = switch (body.getSetField()) {
            case START_TASK -> tasks.start(TaskMapping.toOrder(body.getStartTask()), nowMs);
            case RENEW_TASKS -> {
                RenewTasks renew = body.getRenewTasks();
                yield tasks.renew(
                        renew.getShard(),
                        renew.getTerm(),
                        renew.getTickEchoMs(),
                        renew.getLeaseMs(),
                        TaskMapping.toTaskIds(renew.getTasks()),
                        nowMs);
            }
            case STOP_TASK -> {
                StopTask stop = body.getStopTask();
                boolean checkpoint = stop.getMode() == StopMode.CHECKPOINT_AND_STOP;
                TaskId task = TaskMapping.toTaskId(stop.getTask());
                yield tasks.stop(stop.getShard(), stop.getTerm(), task, checkpoint, nowMs);
            }
            case TASK_REPORT_ACK -> {
                TaskReportAck ack = body.getTaskReportAck();
                List<TaskId> ids = TaskMapping.toTaskIds(ack.getTasks());
                yield tasks.acknowledge(ack.getShard(), ack.getTerm(), ids, nowMs);
            }
            case FENCE -> {
                Fence fence = body.getFence();
                yield tasks.fence(fence.getShard(), fence.getTerm(), nowMs);
            }
            default -> true;
        };
        if (!accepted) {
            dependencies.log.emit(GuardEvent.TERM_REFUSED, "message", body.getSetField());
        }
    }

    /*
     * Worker agent
     */

    private void send(TaskAction action) {
        switch (action) {
            case TaskAction.Start start ->
                getContext()
                        .pipeToSelf(
                                dependencies.worker.start(
                                        start.task().toAgentId(),
                                        start.leaseMs(),
                                        start.size(),
                                        start.command(),
                                        start.checkpoint()),
                                (outcome, failure) -> new TaskCommand.StartAnswered(start.task(), outcome, failure));
            // A failed renewal shows in the next list, or the lease expires.
            case TaskAction.Renew renew ->
                dependencies.worker.renew(renew.task().toAgentId(), renew.leaseMs());
            case TaskAction.Stop stop ->
                getContext()
                        .pipeToSelf(
                                stopWithOptionalCheckpoint(stop),
                                (checkpoint, failure) -> new TaskCommand.StopAnswered(stop, checkpoint, failure));
        }
    }

    /** Completes with the checkpoint, or with null if none was requested or it failed. */
    private CompletionStage<String> stopWithOptionalCheckpoint(TaskAction.Stop stop) {
        String id = stop.task().toAgentId();
        CompletionStage<String> checkpoint = stop.checkpoint()
                ? dependencies.worker.checkpoint(id).exceptionally(failure -> null)
                : CompletableFuture.completedStage(null);
        return checkpoint.thenCompose(text -> dependencies.worker.stop(id).thenApply(done -> text));
    }

    private void applyStart(TaskCommand.StartAnswered answered, long nowMs) {
        switch (answered.outcome()) {
            case null -> tasks.onStartOutcomeUnknown(answered.task(), nowMs);
            case WorkerStart.Started started -> tasks.onStarted(answered.task(), nowMs);
            case WorkerStart.Failed failed -> tasks.onStartFailed(answered.task(), failed.reason(), nowMs);
        }
    }

    private void applyStop(TaskCommand.StopAnswered answered, long nowMs) {
        TaskAction.Stop stop = answered.stop();
        if (!stop.conclusive()) {
            return;
        }
        if (answered.failure() == null) {
            tasks.onStopped(stop.task(), answered.checkpoint(), nowMs);
        } else {
            tasks.onStopFailed(stop.task(), nowMs);
        }
    }

    private void requestList(long nowMs) {
        if (admission.capacity().equals(Resources.NONE)) {
            getContext()
                    .pipeToSelf(
                            dependencies.worker.capacity(),
                            (capacity, failure) -> new TaskCommand.CapacityAnswered(failure == null ? capacity : null));
        }
        if (listInFlight) {
            return;
        }
        listInFlight = true;
        getContext()
                .pipeToSelf(
                        dependencies.worker.list(),
                        (listed, failure) -> failure == null
                                ? new TaskCommand.Listed(listed, nowMs)
                                : new TaskCommand.ListFailed(String.valueOf(failure.getMessage())));
    }

    private void applyListFailure(String reason) {
        listInFlight = false;
        failedLists++;
        if (failedLists == FAILED_LISTS_UNTIL_FAILING) {
            dependencies.log.emit(GuardEvent.WORKER_UNREACHABLE, "reason", reason);
        }
    }

    /*
     * Throttling
     */

    private void applyWindow(TaskCommand.WindowClosed window, long nowMs) {
        admission.observeService(window.busySlots(), window.slots(), nowMs);
        List<RunningTask> running = new ArrayList<>();
        for (GuardTaskView view : tasks.views()) {
            if (view.phase() == GuardTaskPhase.RUNNING) {
                running.add(new RunningTask(view.task(), view.usage().milliCores(), view.usageLagMs()));
            }
        }
        TaskAdmission.Overload overload = admission.overload();
        WindowStats stats = new WindowStats(window.service(), window.p99Ms(), window.calls(), overload.cores());
        ThrottleDecision decision = controller.onWindow(nowMs, stats, running);
        evictions.keySet().removeIf(task -> controller.share(task) > ThrottleSettings.DEFAULT.minShare() + 1e-9);
        decision.evict().ifPresent(task -> requestEviction(task, "the lowest share brought no relief"));
        if (overload.memory() > 1) {
            findLargestMemory().ifPresent(task -> requestEviction(task, "the tasks use more memory than the VM holds"));
        }
        running.forEach(task -> applyShare(task.task()));
        appliedShares
                .keySet()
                .removeIf(task -> running.stream().noneMatch(r -> r.task().equals(task)));
    }

    /** Sends the share that the controller decided, unless the agent has applied it already. */
    private void applyShare(TaskId task) {
        double share = controller.share(task);
        if (Math.abs(appliedShares.getOrDefault(task, 1.0) - share) < 1e-9) {
            return;
        }
        dependencies.log.emit(GuardEvent.TASK_THROTTLED, "task", task.toAgentId(), "share", share);
        getContext()
                .pipeToSelf(
                        dependencies.worker.throttle(task.toAgentId(), share),
                        (applied, failure) -> new TaskCommand.ThrottleAnswered(
                                task, share, failure == null && Boolean.TRUE.equals(applied)));
    }

    private java.util.Optional<TaskId> findLargestMemory() {
        return tasks.views().stream()
                .filter(view -> view.phase() == GuardTaskPhase.RUNNING)
                .max(java.util.Comparator.comparingLong(view -> view.usage().memoryMb()))
                .map(GuardTaskView::task);
    }

    private void requestEviction(TaskId task, String reason) {
        if (evictions.put(task, "EVICTION_NEEDED: " + reason) == null) {
            dependencies.log.emit(GuardEvent.EVICTION_NEEDED, "task", task.toAgentId(), "reason", reason);
        }
    }

    /*
     * Reports
     */

    private LinksCommand.TasksReported buildReport() {
        List<TaskStatus> statuses = new ArrayList<>();
        for (GuardTaskView view : tasks.views()) {
            statuses.add(TaskMapping.toStatus(view, controller.share(view.task()), evictions.get(view.task())));
        }
        Resources free = admission.free();
        Resources nonNegativeFree = new Resources(
                Math.max(0, free.milliCores()), Math.max(0, free.memoryMb()), Math.max(0, free.accelerators()));
        return new LinksCommand.TasksReported(
                statuses, admission.capacity(), nonNegativeFree, isFailing(), tasks.hasListedAgentTasks());
    }

    private boolean isFailing() {
        return dependencies.worker != null && (tasks.isWorkerFailing() || failedLists >= FAILED_LISTS_UNTIL_FAILING);
    }

    private void logChanges() {
        Map<TaskId, GuardTaskPhase> present = new HashMap<>();
        for (GuardTaskView view : tasks.views()) {
            present.put(view.task(), view.phase());
            if (loggedPhases.get(view.task()) != view.phase()) {
                logPhase(view);
            }
        }
        loggedPhases.clear();
        loggedPhases.putAll(present);
        evictions.keySet().retainAll(present.keySet());
        if (isFailing() && !wasFailing) {
            dependencies.log.emit(GuardEvent.WORKER_FAILING);
        }
        wasFailing = isFailing();
    }

    private void logPhase(GuardTaskView view) {
        String id = view.task().toAgentId();
        switch (view.phase()) {
            case RUNNING ->
                dependencies.log.emit(
                        view.shard().isEmpty() ? GuardEvent.TASK_ADOPTED : GuardEvent.TASK_STARTED, "task", id);
            case STOPPING -> {
                if ("GRANT_LAPSED".equals(view.reason())) {
                    dependencies.log.emit(GuardEvent.GRANT_LAPSED, "task", id, "shard", view.shard());
                }
            }
            case STOPPED, SUCCEEDED, FAILED ->
                dependencies.log.emit(
                        GuardEvent.TASK_ENDED, "task", id, "phase", view.phase(), "reason", view.reason());
            case REFUSED -> dependencies.log.emit(GuardEvent.TASK_REFUSED, "task", id, "reason", view.reason());
            default -> {
                // The outcome of a start is logged later.
            }
        }
    }
}
