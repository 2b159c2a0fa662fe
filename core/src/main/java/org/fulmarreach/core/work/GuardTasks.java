package org.fulmarreach.core.work;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fulmarreach.core.admission.TaskAdmission;
import org.fulmarreach.core.exc.InvariantViolationException;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;

/**
 * Manages the tasks of one VM under the grants of their leaders: decides what to start, renew and stop at the worker
 * agent and what to report. Every method that changes state checks the grants first, so that after a process pause
 * tasks with expired grants are stopped before anything else happens. Performs no I/O; times are readings of one
 * monotonic clock in milliseconds. Owned by one thread.
 *
 * <p>Until the agent's tasks have been listed once, no task is started and no task is reported as missing, because
 * tasks of an earlier guard incarnation may still run. Such tasks are reported, but their leases are renewed only after
 * their leader renews exactly these task ids.
 */
public final class GuardTasks {
    /** A start order older than this is refused, which limits how long a message delayed in the network stays valid. */
    public static final long MAX_START_AGE_MS = 5_000;
    /** Upper limit of a grant's duration, whatever the message requests; takeovers by new leaders rely on it. */
    public static final long MAX_GRANT_MS = 10_000;

    /**
     * Upper limit of the start call to the agent plus the task's lease. A start with an unknown outcome whose task is
     * not listed after this time has failed.
     */
    private static final long UNKNOWN_START_TIMEOUT_MS = 8_000;

    private static final int FAILING_WORKER_THRESHOLD = 3;

    private final long incarnation;
    private final TaskAdmission admission;
    private final TrackedTasks tasks;
    private final WorkerActions workerActions;
    private final Map<String, Long> terms = new HashMap<>();
    private final Map<TaskId, Runnable> deferredOrders = new LinkedHashMap<>();
    private boolean listed;
    private boolean leaving;
    private int consecutiveFailedStarts;

    /**
     * Constructs the state of a guard without tasks.
     *
     * @param incarnation number of this lifetime of the guard process
     * @param workerLeaseMs duration of a lease at the worker agent in milliseconds
     * @param admission admission control for the VM's resources
     */
    public GuardTasks(long incarnation, int workerLeaseMs, TaskAdmission admission) {
        this.incarnation = incarnation;
        this.admission = admission;
        this.tasks = new TrackedTasks(admission);
        this.workerActions = new WorkerActions(tasks, workerLeaseMs);
    }

    /*
     * Orders from the leaders
     */

    /** Applies a start order; returns false if its term has been superseded. */
    public boolean start(StartOrder order, long nowMs) {
        checkGrants(nowMs);
        if (!acceptTerm(order.shard(), order.term())) {
            return false;
        }
        if (order.incarnation() != incarnation || tasks.contains(order.task())) {
            return true;
        }
        if (!listed) {
            String reason = "WORKER_FAILED: the tasks of the worker agent have not been listed yet";
            deferredOrders.putIfAbsent(order.task(), () -> tasks.refuseIfAbsent(order.shard(), order.task(), reason));
            return true;
        }
        Optional<String> refusalReason = findRefusalReason(order, nowMs);
        if (refusalReason.isPresent()) {
            tasks.refuse(order.shard(), order.task(), refusalReason.get());
            return true;
        }
        TrackedTask tracked = new TrackedTask(order.task(), order.shard(), GuardTaskPhase.STARTING);
        tracked.grantEndMs = grantEndMs(order.tickEchoMs(), order.leaseMs());
        tracked.checkpoint = order.checkpoint();
        tracked.startPending = true;
        tracked.startSentMs = nowMs;
        tracked.renewSentMs = nowMs;
        tasks.add(tracked);
        tasks.requireSingleEpochs();
        workerActions.start(tracked, order, nowMs);
        return true;
    }

    /** Extends the grants of exactly the given tasks; returns false if the term has been superseded. */
    public boolean renew(String shard, long term, long tickEchoMs, int leaseMs, List<TaskId> renewed, long nowMs) {
        checkGrants(nowMs);
        if (!acceptTerm(shard, term)) {
            return false;
        }
        if (tickEchoMs > nowMs) {
            return true;
        }
        for (TaskId task : renewed) {
            TrackedTask tracked = tasks.find(task);
            if (tracked != null && tracked.isLive()) {
                tracked.grantEndMs = Math.max(tracked.grantEndMs, grantEndMs(tickEchoMs, leaseMs));
                tracked.shard = shard;
            }
        }
        checkGrants(nowMs);
        return true;
    }

    /** Stops a task, or permanently refuses an unknown one; returns false if the term has been superseded. */
    public boolean stop(String shard, long term, TaskId task, boolean withCheckpoint, long nowMs) {
        checkGrants(nowMs);
        if (!acceptTerm(shard, term)) {
            return false;
        }
        if (!listed) {
            deferredOrders.put(task, () -> applyStop(shard, task, withCheckpoint));
            return true;
        }
        applyStop(shard, task, withCheckpoint);
        workerActions.sendStops(nowMs);
        return true;
    }

    /** Drops final states that the leader has recorded; returns false if the term has been superseded. */
    public boolean acknowledge(String shard, long term, List<TaskId> acknowledged, long nowMs) {
        checkGrants(nowMs);
        if (!acceptTerm(shard, term)) {
            return false;
        }
        acknowledged.forEach(task -> tasks.forget(task, nowMs));
        return true;
    }

    /** Rejects lower terms of a shard from now on; returns false if a higher term has already been seen. */
    public boolean fence(String shard, long term, long nowMs) {
        checkGrants(nowMs);
        return acceptTerm(shard, term);
    }

    /**
     * Sets whether the VM is leaving: new tasks are refused, and all tasks that have not ended are stopped with a
     * checkpoint.
     */
    public void setLeaving(boolean newLeaving, long nowMs) {
        checkGrants(nowMs);
        leaving = newLeaving;
        if (leaving) {
            tasks.all().stream()
                    .filter(tracked -> !tracked.phase.isFinal())
                    .forEach(tracked -> tracked.markStopping("LEAVING", true));
        }
        workerActions.sendStops(nowMs);
    }

    /*
     * Responses of the worker agent
     */

    /** Records that the agent started a task. */
    public void onStarted(TaskId task, long nowMs) {
        checkGrants(nowMs);
        consecutiveFailedStarts = 0;
        TrackedTask tracked = tasks.find(task);
        if (tracked == null || !tracked.startPending) {
            return;
        }
        tracked.startPending = false;
        tracked.runningSinceMs = nowMs;
        tracked.stopSentMs = TrackedTask.NEVER;
        if (tracked.phase == GuardTaskPhase.STARTING) {
            tracked.phase = GuardTaskPhase.RUNNING;
        }
        workerActions.sendStops(nowMs);
    }

    /** Records that the agent failed to start a task; the task never runs under this id. */
    public void onStartFailed(TaskId task, String reason, long nowMs) {
        checkGrants(nowMs);
        consecutiveFailedStarts++;
        TrackedTask tracked = tasks.find(task);
        if (tracked != null && tracked.startPending) {
            tasks.end(tracked, GuardTaskPhase.FAILED, reason);
        }
    }

    /** Records that the outcome of a start is unknown; later task lists of the agent determine it. */
    public void onStartOutcomeUnknown(TaskId task, long nowMs) {
        checkGrants(nowMs);
        TrackedTask tracked = tasks.find(task);
        if (tracked != null && tracked.startPending) {
            tracked.startOutcomeUnknown = true;
        }
    }

    /**
     * Records that a task no longer runs.
     *
     * @param checkpoint checkpoint to resume from; null if none was taken
     * @throws InvariantViolationException if no stop is pending whose answer proves the end of the task; a stop sent
     *     before the start was answered does not prove it
     */
    public void onStopped(TaskId task, String checkpoint, long nowMs) {
        checkGrants(nowMs);
        TrackedTask tracked = tasks.find(task);
        if (tracked == null || tracked.phase != GuardTaskPhase.STOPPING) {
            return;
        }
        if (!tracked.stopPending) {
            throw new InvariantViolationException(
                    "I2: no pending stop of " + task + " can prove that the task has ended");
        }
        tracked.checkpoint = checkpoint == null ? tracked.checkpoint : checkpoint;
        tasks.end(tracked, GuardTaskPhase.STOPPED, null);
    }

    /** Records that a stop was not confirmed; it will be retried. */
    public void onStopFailed(TaskId task, long nowMs) {
        checkGrants(nowMs);
        TrackedTask tracked = tasks.find(task);
        if (tracked != null) {
            tracked.stopPending = false;
        }
    }

    /**
     * Applies a task list of the agent.
     *
     * @param agentTasks all tasks that the agent lists and whose ids have this system's format
     * @param askedMs time at which the list was requested; tasks started later may be missing from it
     */
    public void applyList(List<AgentTask> agentTasks, long askedMs, long nowMs) {
        checkGrants(nowMs);
        Set<TaskId> running = new HashSet<>();
        for (AgentTask agentTask : agentTasks) {
            if (agentTask.phase() == GuardTaskPhase.RUNNING) {
                running.add(agentTask.task());
                applyRunning(agentTask, nowMs);
            } else {
                applyEnded(agentTask, nowMs);
            }
        }
        for (TrackedTask tracked : List.copyOf(tasks.all())) {
            if (!running.contains(tracked.task)) {
                applyMissing(tracked, askedMs);
            }
        }
        if (!listed) {
            listed = true;
            deferredOrders.values().forEach(Runnable::run);
            deferredOrders.clear();
        }
        workerActions.sendStops(nowMs);
    }

    /*
     * Periodic work and reports
     */

    /** Stops tasks whose grants have expired and renews leases that are due. Call it several times a second. */
    public void tick(long nowMs) {
        checkGrants(nowMs);
        tasks.dropOutdated(nowMs);
        workerActions.sendRenewals(nowMs);
        workerActions.sendStops(nowMs);
    }

    /** Returns the actions to perform at the worker agent that were added since the last call, in order. */
    public List<TaskAction> drainActions() {
        return workerActions.drainActions();
    }

    /** Returns the states of all tasks: those that have not ended, and final states that are not acknowledged. */
    public List<GuardTaskView> views() {
        return tasks.all().stream()
                .map(tracked -> tracked.view(terms.getOrDefault(tracked.shard, 0L)))
                .toList();
    }

    /** Returns whether at least three consecutive starts have failed. */
    public boolean isWorkerFailing() {
        return consecutiveFailedStarts >= FAILING_WORKER_THRESHOLD;
    }

    /**
     * Returns whether all tasks have ended and the leaders have acknowledged all tasks that they started or renewed.
     */
    public boolean isDrained() {
        return tasks.all().stream().allMatch(tracked -> tracked.phase.isFinal() && tracked.shard.isEmpty());
    }

    /** Returns whether the worker agent's tasks have been listed in this incarnation. */
    public boolean hasListedAgentTasks() {
        return listed;
    }

    /*
     * Helpers
     */

    private void checkGrants(long nowMs) {
        tasks.stopLapsed(nowMs);
        workerActions.sendStops(nowMs);
    }

    private boolean acceptTerm(String shard, long term) {
        Long highest = terms.get(shard);
        if (highest != null && term < highest) {
            return false;
        }
        terms.put(shard, term);
        return true;
    }

    private Optional<String> findRefusalReason(StartOrder order, long nowMs) {
        long ageMs = nowMs - order.tickEchoMs();
        if (tasks.hasTombstone(order.task())) {
            return Optional.of("REFUSED_EARLIER");
        }
        if (ageMs < 0 || ageMs > MAX_START_AGE_MS || grantEndMs(order.tickEchoMs(), order.leaseMs()) <= nowMs) {
            return Optional.of("STALE: the order is based on a heartbeat sent " + ageMs + " ms ago");
        }
        if (leaving) {
            return Optional.of("LEAVING");
        }
        Optional<TrackedTask> other = tasks.findLive(order.task());
        if (other.isPresent()) {
            stopOlderEpoch(other.get(), order.task());
            workerActions.sendStops(nowMs);
            return Optional.of("EPOCH_LIVE: epoch " + other.get().task.epoch() + " has not ended");
        }
        return switch (admission.admit(order.task(), order.size(), nowMs)) {
            case Result.Ok<Resources> ok -> Optional.empty();
            case Result.Err<Resources> err ->
                Optional.of("NO_CAPACITY: " + err.problem().message());
        };
    }

    private static void stopOlderEpoch(TrackedTask tracked, TaskId task) {
        if (tracked.task.epoch() < task.epoch()) {
            tracked.markStopping("EPOCH_SUPERSEDED", false);
        }
    }

    private void applyStop(String shard, TaskId task, boolean withCheckpoint) {
        TrackedTask tracked = tasks.find(task);
        if (tracked == null) {
            tasks.refuse(shard, task, "STOPPED_BEFORE_START");
            return;
        }
        if (!tracked.phase.isFinal()) {
            tracked.shard = shard;
            tracked.markStopping(withCheckpoint ? "EVICTED" : "STOPPED", withCheckpoint);
        }
    }

    private void applyRunning(AgentTask agentTask, long nowMs) {
        TrackedTask tracked = tasks.find(agentTask.task());
        if (tracked == null || tracked.phase.isFinal()) {
            if (listed) {
                // The start took effect after it was given up on. The task's lease is not renewed either.
                workerActions.stopUnknown(agentTask.task());
                return;
            }
            tracked = tasks.adopt(agentTask, nowMs);
        }
        tracked.usage = agentTask.usage();
        tracked.usageLagMs = agentTask.usageLagMs();
        if (nowMs - tracked.runningSinceMs >= agentTask.usageLagMs()) {
            // Until then, the delayed usage figures refer to a time before the task was running.
            admission.observe(tracked.task, agentTask.usage(), nowMs);
        }
        if (tracked.startOutcomeUnknown) {
            tracked.startOutcomeUnknown = false;
            onStarted(tracked.task, nowMs);
        }
    }

    private void applyEnded(AgentTask agentTask, long nowMs) {
        TrackedTask tracked = tasks.find(agentTask.task());
        // The response to the pending stop will deliver the checkpoint.
        boolean awaitsStop = tracked != null && tracked.stopPending && agentTask.phase() == GuardTaskPhase.STOPPED;
        if (tracked == null && !listed && agentTask.phase() != GuardTaskPhase.STOPPED) {
            tasks.adoptEnded(agentTask, nowMs);
        } else if (tracked != null && !tracked.phase.isFinal() && !awaitsStop) {
            if (tracked.startPending && agentTask.phase() == GuardTaskPhase.FAILED) {
                consecutiveFailedStarts++;
            }
            tasks.end(tracked, agentTask.phase(), agentTask.reason());
        }
    }

    private void applyMissing(TrackedTask tracked, long askedMs) {
        // The agent may have created the list before it received the start, unless the start had been answered by then.
        if (tracked.phase == GuardTaskPhase.RUNNING && tracked.runningSinceMs < askedMs) {
            tasks.end(tracked, GuardTaskPhase.STOPPED, "LOST: the worker agent no longer lists the task");
        }
        if (tracked.startOutcomeUnknown && askedMs - tracked.startSentMs >= UNKNOWN_START_TIMEOUT_MS) {
            consecutiveFailedStarts++;
            tasks.end(
                    tracked,
                    GuardTaskPhase.FAILED,
                    "WORKER_FAILED: the start was not answered and the task is not running");
        }
    }

    private static long grantEndMs(long tickEchoMs, int leaseMs) {
        return tickEchoMs + Math.min(leaseMs, MAX_GRANT_MS);
    }
}
