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
 * The tasks of one VM under the grants of their leaders: decides what to start, renew and stop at the worker agent and
 * what to report. Every method checks the grants first, so that after a pause lapsed tasks are stopped before anything
 * else happens. Pure; times are readings of one monotonic clock. Owned by one thread.
 *
 * <p>Until the agent has been listed once, nothing is started and no absence is reported, since tasks of an earlier
 * incarnation may run. Such tasks are reported and not renewed until their leader renews exactly them.
 */
public final class GuardTasks {
    /** A start that travelled longer is refused; it bounds the life of a message delayed in the network. */
    public static final long MAX_START_AGE_MS = 5_000;
    /** A grant is never longer than this, whatever the message says; leaders rely on it for takeovers. */
    public static final long MAX_GRANT_MS = 10_000;

    /** Bound of a start at the agent and its lease: an unclear start that is not listed after this has not run. */
    private static final long UNCLEAR_START_MS = 8_000;

    private static final int FAILED_STARTS_UNTIL_FAILING = 3;

    private final long incarnation;
    private final TaskAdmission admission;
    private final HeldTasks tasks;
    private final WorkerOrders orders;
    private final Map<String, Long> terms = new HashMap<>();
    private final Map<TaskId, Runnable> ordersBeforeList = new LinkedHashMap<>();
    private boolean listed;
    private boolean leaving;
    private int failedStarts;

    /**
     * Constructs the state of a guard that knows nothing yet.
     *
     * @param incarnation number of this run of the guard
     * @param workerLeaseMs lease at the worker agent in milliseconds
     * @param admission resources of the VM
     */
    public GuardTasks(long incarnation, int workerLeaseMs, TaskAdmission admission) {
        this.incarnation = incarnation;
        this.admission = admission;
        this.tasks = new HeldTasks(admission);
        this.orders = new WorkerOrders(tasks, workerLeaseMs);
    }

    /*
     * Orders of the leaders
     */

    /** Applies an order to start; returns false when its term has been superseded. */
    public boolean start(StartOrder order, long nowMs) {
        checkGrants(nowMs);
        if (!acceptTerm(order.shard(), order.term())) {
            return false;
        }
        if (order.incarnation() != incarnation || tasks.contains(order.task())) {
            return true;
        }
        if (!listed) {
            String reason = "WORKER_FAILED: the worker agent has not been listed yet";
            ordersBeforeList.putIfAbsent(order.task(), () -> tasks.refuseIfAbsent(order.shard(), order.task(), reason));
            return true;
        }
        Optional<String> obstacle = findObstacle(order, nowMs);
        if (obstacle.isPresent()) {
            tasks.refuse(order.shard(), order.task(), obstacle.get());
            return true;
        }
        HeldTask held = new HeldTask(order.task(), order.shard(), GuardTaskPhase.STARTING);
        held.grantEndMs = grantEndMs(order.tickEchoMs(), order.leaseMs());
        held.checkpoint = order.checkpoint();
        held.startPending = true;
        held.startSentMs = nowMs;
        held.renewSentMs = nowMs;
        tasks.add(held);
        tasks.requireSingleEpochs();
        orders.start(held, order, nowMs);
        return true;
    }

    /** Extends the grants of exactly the given tasks; returns false when the term has been superseded. */
    public boolean renew(String shard, long term, long tickEchoMs, int leaseMs, List<TaskId> renewed, long nowMs) {
        checkGrants(nowMs);
        if (!acceptTerm(shard, term)) {
            return false;
        }
        if (tickEchoMs > nowMs) {
            return true;
        }
        for (TaskId task : renewed) {
            HeldTask held = tasks.find(task);
            if (held != null && held.isLive()) {
                held.grantEndMs = Math.max(held.grantEndMs, grantEndMs(tickEchoMs, leaseMs));
                held.shard = shard;
            }
        }
        checkGrants(nowMs);
        return true;
    }

    /** Stops a task, or refuses it for ever if it has not been seen; returns false when the term was superseded. */
    public boolean stop(String shard, long term, TaskId task, boolean withCheckpoint, long nowMs) {
        checkGrants(nowMs);
        if (!acceptTerm(shard, term)) {
            return false;
        }
        if (!listed) {
            ordersBeforeList.put(task, () -> applyStop(shard, task, withCheckpoint));
            return true;
        }
        applyStop(shard, task, withCheckpoint);
        orders.sendStops(nowMs);
        return true;
    }

    /** Notes that the leader has recorded final states; returns false when its term has been superseded. */
    public boolean acknowledge(String shard, long term, List<TaskId> acknowledged, long nowMs) {
        checkGrants(nowMs);
        if (!acceptTerm(shard, term)) {
            return false;
        }
        acknowledged.forEach(task -> tasks.forget(task, nowMs));
        return true;
    }

    /** Refuses lower terms of a shard from now on; returns false when a higher one is known. */
    public boolean fence(String shard, long term, long nowMs) {
        checkGrants(nowMs);
        return acceptTerm(shard, term);
    }

    /** Sets whether new tasks are refused; on leaving, all tasks are stopped with a checkpoint. */
    public void setLeaving(boolean newLeaving, long nowMs) {
        checkGrants(nowMs);
        leaving = newLeaving;
        if (leaving) {
            tasks.all().stream()
                    .filter(held -> !held.phase.isFinal())
                    .forEach(held -> held.markStopping("LEAVING", true));
        }
        orders.sendStops(nowMs);
    }

    /*
     * Answers of the worker agent
     */

    /** Notes that the agent started a task. */
    public void noteStarted(TaskId task, long nowMs) {
        checkGrants(nowMs);
        failedStarts = 0;
        HeldTask held = tasks.find(task);
        if (held == null || !held.startPending) {
            return;
        }
        held.startPending = false;
        held.runningSinceMs = nowMs;
        held.stopSentMs = HeldTask.NEVER;
        if (held.phase == GuardTaskPhase.STARTING) {
            held.phase = GuardTaskPhase.RUNNING;
        }
        orders.sendStops(nowMs);
    }

    /** Notes that the agent refused to start a task, which never runs under this id. */
    public void noteStartFailed(TaskId task, String reason, long nowMs) {
        checkGrants(nowMs);
        failedStarts++;
        HeldTask held = tasks.find(task);
        if (held != null && held.startPending) {
            tasks.end(held, GuardTaskPhase.FAILED, reason);
        }
    }

    /** Notes that the outcome of a start is not known; later lists decide it. */
    public void noteStartUnclear(TaskId task, long nowMs) {
        checkGrants(nowMs);
        HeldTask held = tasks.find(task);
        if (held != null && held.startPending) {
            held.startUnclear = true;
        }
    }

    /**
     * Notes that a task does not run any more.
     *
     * @param checkpoint progress to go on from; null when none was taken
     * @throws InvariantViolationException if the stop was sent before its start was answered, which proves nothing
     */
    public void noteStopped(TaskId task, String checkpoint, long nowMs) {
        checkGrants(nowMs);
        HeldTask held = tasks.find(task);
        if (held == null || held.phase != GuardTaskPhase.STOPPING) {
            return;
        }
        if (!held.stopPending) {
            throw new InvariantViolationException("I2: no stop of " + task + " that proves its end is under way");
        }
        held.checkpoint = checkpoint == null ? held.checkpoint : checkpoint;
        tasks.end(held, GuardTaskPhase.STOPPED, null);
    }

    /** Notes that a stop could not be confirmed; it is repeated. */
    public void noteStopFailed(TaskId task, long nowMs) {
        checkGrants(nowMs);
        HeldTask held = tasks.find(task);
        if (held != null) {
            held.stopPending = false;
        }
    }

    /**
     * Applies the agent's list.
     *
     * @param agentTasks all tasks that the agent knows and whose ids have the form of this system
     * @param askedMs when the list was asked for; tasks started later may be missing from it
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
        for (HeldTask held : List.copyOf(tasks.all())) {
            if (!running.contains(held.task)) {
                applyMissing(held, askedMs);
            }
        }
        if (!listed) {
            listed = true;
            ordersBeforeList.values().forEach(Runnable::run);
            ordersBeforeList.clear();
        }
        orders.sendStops(nowMs);
    }

    /*
     * Time and reports
     */

    /** Stops tasks whose grants lapsed, and renews those that are due. Called several times a second. */
    public void tick(long nowMs) {
        checkGrants(nowMs);
        tasks.dropOutdated(nowMs);
        orders.sendRenewals(nowMs);
        orders.sendStops(nowMs);
    }

    /** Returns what must be done at the worker agent since the last call, in order. */
    public List<TaskAction> takeActions() {
        return orders.takeActions();
    }

    /** Returns all tasks: live ones, and final states that are not acknowledged. */
    public List<GuardTaskView> views() {
        return tasks.all().stream()
                .map(held -> held.view(terms.getOrDefault(held.shard, 0L)))
                .toList();
    }

    /** Tells whether the last starts all failed, at least three. */
    public boolean isWorkerFailing() {
        return failedStarts >= FAILED_STARTS_UNTIL_FAILING;
    }

    /** Tells whether all tasks have ended and the leaders have acknowledged those that they know to be here. */
    public boolean isDrained() {
        return tasks.all().stream().allMatch(held -> held.phase.isFinal() && held.shard.isEmpty());
    }

    /** Tells whether the worker agent has been listed in this incarnation. */
    public boolean isListed() {
        return listed;
    }

    /*
     * Helpers
     */

    private void checkGrants(long nowMs) {
        tasks.stopLapsed(nowMs);
        orders.sendStops(nowMs);
    }

    private boolean acceptTerm(String shard, long term) {
        Long highest = terms.get(shard);
        if (highest != null && term < highest) {
            return false;
        }
        terms.put(shard, term);
        return true;
    }

    private Optional<String> findObstacle(StartOrder order, long nowMs) {
        long ageMs = nowMs - order.tickEchoMs();
        if (tasks.isForgotten(order.task())) {
            return Optional.of("REFUSED_EARLIER");
        }
        if (ageMs < 0 || ageMs > MAX_START_AGE_MS || grantEndMs(order.tickEchoMs(), order.leaseMs()) <= nowMs) {
            return Optional.of("STALE: the order echoes a tick " + ageMs + " ms old");
        }
        if (leaving) {
            return Optional.of("LEAVING");
        }
        Optional<HeldTask> other = tasks.findLive(order.task());
        if (other.isPresent()) {
            stopOlderEpoch(other.get(), order.task());
            orders.sendStops(nowMs);
            return Optional.of("EPOCH_LIVE: epoch " + other.get().task.epoch() + " has not ended");
        }
        return switch (admission.admit(order.task(), order.size(), nowMs)) {
            case Result.Ok<Resources> ok -> Optional.empty();
            case Result.Err<Resources> err ->
                Optional.of("NO_CAPACITY: " + err.problem().message());
        };
    }

    private static void stopOlderEpoch(HeldTask held, TaskId task) {
        if (held.task.epoch() < task.epoch()) {
            held.markStopping("EPOCH_SUPERSEDED", false);
        }
    }

    private void applyStop(String shard, TaskId task, boolean withCheckpoint) {
        HeldTask held = tasks.find(task);
        if (held == null) {
            tasks.refuse(shard, task, "STOPPED_BEFORE_START");
            return;
        }
        if (!held.phase.isFinal()) {
            held.shard = shard;
            held.markStopping(withCheckpoint ? "EVICTED" : "STOPPED", withCheckpoint);
        }
    }

    private void applyRunning(AgentTask agentTask, long nowMs) {
        HeldTask held = tasks.find(agentTask.task());
        if (held == null || held.phase.isFinal()) {
            if (listed) {
                // A start that arrived after it had been given up on; its lease is not renewed either.
                orders.stopUnknown(agentTask.task());
                return;
            }
            held = tasks.adopt(agentTask, nowMs);
        }
        held.used = agentTask.used();
        held.usageLagMs = agentTask.lagMs();
        if (nowMs - held.runningSinceMs >= agentTask.lagMs()) {
            // Before, the lagging figures are those of a time at which the task did not run.
            admission.observe(held.task, agentTask.used(), nowMs);
        }
        if (held.startUnclear) {
            held.startUnclear = false;
            noteStarted(held.task, nowMs);
        }
    }

    private void applyEnded(AgentTask agentTask, long nowMs) {
        HeldTask held = tasks.find(agentTask.task());
        // A stop under way brings the checkpoint with its answer.
        boolean awaitsStop = held != null && held.stopPending && agentTask.phase() == GuardTaskPhase.STOPPED;
        if (held == null && !listed && agentTask.phase() != GuardTaskPhase.STOPPED) {
            tasks.adoptEnded(agentTask, nowMs);
        } else if (held != null && !held.phase.isFinal() && !awaitsStop) {
            if (held.startPending && agentTask.phase() == GuardTaskPhase.FAILED) {
                failedStarts++;
            }
            tasks.end(held, agentTask.phase(), agentTask.reason());
        }
    }

    private void applyMissing(HeldTask held, long askedMs) {
        // The agent may have made the list before it got the start, unless the start had been answered by then.
        if (held.phase == GuardTaskPhase.RUNNING && held.runningSinceMs < askedMs) {
            tasks.end(held, GuardTaskPhase.STOPPED, "LOST: the worker agent does not know the task");
        }
        if (held.startUnclear && askedMs - held.startSentMs >= UNCLEAR_START_MS) {
            failedStarts++;
            tasks.end(
                    held, GuardTaskPhase.FAILED, "WORKER_FAILED: the start was not answered and the task does not run");
        }
    }

    private static long grantEndMs(long tickEchoMs, int leaseMs) {
        return tickEchoMs + Math.min(leaseMs, MAX_GRANT_MS);
    }
}
