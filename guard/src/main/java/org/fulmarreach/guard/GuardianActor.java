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
 * Starts the guard's actors and takes the steps of a planned stop in order: refuse new calls, let the running ones end,
 * stop the tasks with a checkpoint, and wait until their states are acknowledged.
 */
final class GuardianActor extends AbstractBehavior<GuardCommand> {
    /** Part of the drain bound for running calls; the rest is for checkpoints and acknowledgements. */
    private static final double CALLS_PART = 0.7;

    private final TimerScheduler<GuardCommand> timers;
    private final long drainTimeoutMs;
    private final EventLog log;
    private final CompletableFuture<Void> drained;
    private final Children children;
    private boolean draining;
    private boolean tasksLeaving;

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
     * @param drainTimeoutMs bound of a planned stop in milliseconds
     * @param drained completed at its end
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
                .onSignal(Terminated.class, this::stopPart)
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
        children.calls.tell(new CallCommand.Leave(cause));
        timers.startSingleTimer(
                GuardCommand.Step.CALLS_OVERDUE, Duration.ofMillis(Math.round(drainTimeoutMs * CALLS_PART)));
        timers.startSingleTimer(GuardCommand.Step.DRAIN_OVERDUE, Duration.ofMillis(drainTimeoutMs));
    }

    private void applyStep(GuardCommand.Step step) {
        switch (step) {
            case CALLS_ENDED, CALLS_OVERDUE -> setTasksLeaving(true);
            case TARGET_RETURNED -> setTasksLeaving(draining);
            case TASKS_ENDED -> finishDrain(GuardEvent.DRAINED);
            default -> finishDrain(RuntimeEvent.DRAIN_TIMEOUT);
        }
    }

    private void setTasksLeaving(boolean leaving) {
        if (leaving || tasksLeaving) {
            tasksLeaving = leaving;
            children.tasks.tell(new TaskCommand.SetLeaving(leaving));
        }
    }

    private void finishDrain(org.fulmarreach.runtime.log.Event event) {
        if (draining && !drained.isDone()) {
            log.emit(event);
            drained.complete(null);
        }
    }

    /**
     * One part has stopped after a violated invariant. Tasks then lapse at their worker agent. Without calls or links
     * the guard is of no use and stops; its connections close.
     */
    private Behavior<GuardCommand> stopPart(Terminated signal) {
        if (signal.getRef().equals(children.tasks)) {
            return this;
        }
        drained.complete(null);
        return Behaviors.stopped();
    }
}
