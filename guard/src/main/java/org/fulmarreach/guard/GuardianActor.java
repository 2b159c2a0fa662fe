package org.fulmarreach.guard;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.Terminated;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.log.RuntimeEvent;

/**
 * Starts the guard's actors and carries out a planned stop in steps: refuse new calls, wait for the running ones, stop
 * the tasks with a checkpoint, wait until their states are acknowledged, and wait until the entries send no more calls
 * and have all answers.
 */
final class GuardianActor extends AbstractBehavior<GuardCommand> {
    /** Share of the drain timeout for running calls; the rest is for checkpoints and acknowledgements. */
    private static final double CALLS_SHARE = 0.7;

    private final TimerScheduler<GuardCommand> timers;
    private final long drainTimeoutMs;
    private final EventLog log;
    private final CompletableFuture<Void> drained;
    private final Children children;
    private boolean draining;
    private boolean confirming;
    private boolean tasksLeaving;
    private boolean tasksStopped;

    /**
     * The actors of a guard.
     *
     * @param calls owner of the calls
     * @param tasks owner of the tasks
     * @param links owner of the connections
     */
    record Children(ActorRef<CallCommand> calls, ActorRef<TaskCommand> tasks, ActorRef<LinksCommand> links) {}

    private GuardianActor(
            ActorContext<GuardCommand> context,
            TimerScheduler<GuardCommand> timers,
            long drainTimeoutMs,
            EventLog log,
            CompletableFuture<Void> drained,
            Children children) {
        super(context);
        this.timers = timers;
        this.drainTimeoutMs = drainTimeoutMs;
        this.log = log;
        this.drained = drained;
        this.children = children;
        context.watch(children.calls);
        context.watch(children.tasks);
        context.watch(children.links);
    }

    /**
     * Returns the behavior.
     *
     * @param drainTimeoutMs longest duration of a planned stop, in milliseconds
     * @param drained completed at the end of a planned stop
     * @param spawn starts the actors
     */
    static Behavior<GuardCommand> create(
            long drainTimeoutMs,
            EventLog log,
            CompletableFuture<Void> drained,
            Function<ActorContext<GuardCommand>, Children> spawn) {
        return Behaviors.setup(context -> Behaviors.withTimers(
                timers -> new GuardianActor(context, timers, drainTimeoutMs, log, drained, spawn.apply(context))));
    }

    @Override
    public Receive<GuardCommand> createReceive() {
        return newReceiveBuilder()
                .onSignal(Terminated.class, this::onChildStopped)
                .onAnyMessage(this::apply)
                .build();
    }

    private Behavior<GuardCommand> apply(GuardCommand command) {
        switch (command) {
            case GuardCommand.Drain drain -> startDrain(drain.cause());
            case GuardCommand.CallsChanged changed ->
                children.links.tell(new LinksCommand.CallsReported(changed.status(), true));
            case GuardCommand.Step step -> applyStep(step);
        }
        return this;
    }

    private void startDrain(String cause) {
        if (draining) {
            return;
        }
        draining = true;
        children.calls.tell(new CallCommand.StartLeaving(cause));
        timers.startSingleTimer(
                GuardCommand.Step.CALLS_OVERDUE, Duration.ofMillis(Math.round(drainTimeoutMs * CALLS_SHARE)));
        timers.startSingleTimer(GuardCommand.Step.DRAIN_OVERDUE, Duration.ofMillis(drainTimeoutMs));
    }

    private void applyStep(GuardCommand.Step step) {
        switch (step) {
            case CALLS_ENDED, CALLS_OVERDUE -> setTasksLeaving(true);
            case TARGET_RETURNED -> setTasksLeaving(draining);
            case TASKS_ENDED -> confirmStop();
            case ENTRIES_CONFIRMED -> finishDrain(GuardEvent.DRAINED);
            case ENTRIES_SILENT -> {
                log.emit(GuardEvent.STOP_UNCONFIRMED);
                finishDrain(GuardEvent.DRAINED);
            }
            default -> finishDrain(RuntimeEvent.DRAIN_TIMEOUT);
        }
    }

    private void setTasksLeaving(boolean leaving) {
        if (leaving || tasksLeaving) {
            tasksLeaving = leaving;
            children.tasks.tell(new TaskCommand.SetLeaving(leaving));
        }
        if (leaving && tasksStopped) {
            confirmStop();
        }
    }

    private void confirmStop() {
        if (draining && !confirming) {
            confirming = true;
            children.links.tell(new LinksCommand.ConfirmStop(getContext().getSelf()));
        }
    }

    private void finishDrain(org.fulmarreach.runtime.log.Event event) {
        if (draining && !drained.isDone()) {
            log.emit(event);
            drained.complete(null);
        }
    }

    /**
     * Handles a child actor that stopped after a violated invariant. Without the actor for tasks, the leases of the
     * tasks expire at the worker agent. Without the actor for calls or links, the guard cannot work, so it stops and
     * closes its connections.
     */
    private Behavior<GuardCommand> onChildStopped(Terminated signal) {
        if (signal.getRef().equals(children.tasks)) {
            tasksStopped = true;
            children.links.tell(new LinksCommand.TasksLost());
            return this;
        }
        drained.complete(null);
        return Behaviors.stopped();
    }
}
