package org.fulmarreach.core.work;

import java.util.ArrayList;
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

    private static final long RENEW_INTERVAL_MS = 1_000;
    private static final long STOP_RETRY_MS = 1_000;
    /** Far longer than a start can be under way, so that a late start of a forgotten id is refused by its age. */
    private static final long TOMBSTONE_MS = 60_000;
    /** Bound of a start at the agent and its lease: an unclear start that is not listed after this has not run. */
    private static final long UNCLEAR_START_MS = 8_000;

    private static final int FAILED_STARTS_UNTIL_FAILING = 3;

    private final long incarnation;
    private final int workerLeaseMs;
    private final TaskAdmission admission;
    private final Map<TaskId, HeldTask> tasks = new LinkedHashMap<>();
    private final Map<TaskId, Long> tombstones = new LinkedHashMap<>();
    private final Map<String, Long> terms = new HashMap<>();
    private final Map<TaskId, Runnable> ordersBeforeList = new LinkedHashMap<>();
    private List<TaskAction> actions = new ArrayList<>();
    private boolean listed;
    private boolean leaving;
    private int failedStarts;

    /** A run of a work, whose epochs must not overlap. */
    private record Run(String work, long run) {}

    /**
     * Constructs the state of a guard that knows nothing yet.
     *
     * @param incarnation number of this run of the guard
     * @param workerLeaseMs lease at the worker agent in milliseconds
     * @param admission resources of the VM
     */
    public GuardTasks(long incarnation, int workerLeaseMs, TaskAdmission admission) {
        this.incarnation = incarnation;
        this.workerLeaseMs = workerLeaseMs;
        this.admission = admission;
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
        if (order.incarnation() != incarnation || tasks.containsKey(order.task())) {
            return true;
        }
        if (!listed) {
            String reason = "WORKER_FAILED: the worker agent has not been listed yet";
            ordersBeforeList.putIfAbsent(order.task(), () -> refuseIfAbsent(order.shard(), order.task(), reason));
            return true;
        }
        Optional<String> obstacle = findObstacle(order, nowMs);
        if (obstacle.isPresent()) {
            refuse(order.shard(), order.task(), obstacle.get());
            return true;
        }
        HeldTask held = new HeldTask(order.task(), order.shard(), GuardTaskPhase.STARTING);
        held.grantEndMs = grantEndMs(order.tickEchoMs(), order.leaseMs());
        held.checkpoint = order.checkpoint();
        held.startPending = true;
        held.startSentMs = nowMs;
        held.renewSentMs = nowMs;
        tasks.put(order.task(), held);
        requireSingleEpochs();
        actions.add(new TaskAction.Start(
                order.task(), leaseWithinGrant(held, nowMs), order.size(), order.command(), order.checkpoint()));
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
            HeldTask held = tasks.get(task);
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
        sendStops(nowMs);
        return true;
    }

    /** Notes that the leader has recorded final states; returns false when its term has been superseded. */
    public boolean acknowledge(String shard, long term, List<TaskId> acknowledged, long nowMs) {
        checkGrants(nowMs);
        if (!acceptTerm(shard, term)) {
            return false;
        }
        for (TaskId task : acknowledged) {
            HeldTask held = tasks.get(task);
            if (held != null && held.phase.isFinal()) {
                tasks.remove(task);
                tombstones.put(task, nowMs + TOMBSTONE_MS);
            }
        }
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
            tasks.values().stream()
                    .filter(held -> !held.phase.isFinal())
                    .forEach(held -> markStopping(held, "LEAVING", true));
        }
        sendStops(nowMs);
    }

    /*
     * Answers of the worker agent
     */

    /** Notes that the agent started a task. */
    public void noteStarted(TaskId task, long nowMs) {
        checkGrants(nowMs);
        failedStarts = 0;
        HeldTask held = tasks.get(task);
        if (held == null || !held.startPending) {
            return;
        }
        held.startPending = false;
        held.runningSinceMs = nowMs;
        held.stopSentMs = HeldTask.NEVER;
        if (held.phase == GuardTaskPhase.STARTING) {
            held.phase = GuardTaskPhase.RUNNING;
        }
        sendStops(nowMs);
    }

    /** Notes that the agent refused to start a task, which never runs under this id. */
    public void noteStartFailed(TaskId task, String reason, long nowMs) {
        checkGrants(nowMs);
        failedStarts++;
        HeldTask held = tasks.get(task);
        if (held != null && held.startPending) {
            end(held, GuardTaskPhase.FAILED, reason);
        }
    }

    /** Notes that the outcome of a start is not known; later lists decide it. */
    public void noteStartUnclear(TaskId task, long nowMs) {
        checkGrants(nowMs);
        HeldTask held = tasks.get(task);
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
        HeldTask held = tasks.get(task);
        if (held == null || held.phase != GuardTaskPhase.STOPPING) {
            return;
        }
        if (!held.stopPending) {
            throw new InvariantViolationException("I2: no stop of " + task + " that proves its end is under way");
        }
        held.checkpoint = checkpoint == null ? held.checkpoint : checkpoint;
        end(held, GuardTaskPhase.STOPPED, null);
    }

    /** Notes that a stop could not be confirmed; it is repeated. */
    public void noteStopFailed(TaskId task, long nowMs) {
        checkGrants(nowMs);
        HeldTask held = tasks.get(task);
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
        for (HeldTask held : List.copyOf(tasks.values())) {
            if (!running.contains(held.task)) {
                applyMissing(held, askedMs);
            }
        }
        if (!listed) {
            listed = true;
            ordersBeforeList.values().forEach(Runnable::run);
            ordersBeforeList.clear();
        }
        sendStops(nowMs);
    }

    /*
     * Time and reports
     */

    /** Stops tasks whose grants lapsed, and renews those that are due. Called several times a second. */
    public void tick(long nowMs) {
        checkGrants(nowMs);
        tombstones.values().removeIf(untilMs -> untilMs <= nowMs);
        tasks.values().removeIf(held -> held.phase.isFinal() && held.dropAtMs <= nowMs);
        for (HeldTask held : tasks.values()) {
            boolean due = nowMs - held.renewSentMs >= RENEW_INTERVAL_MS;
            if (held.phase == GuardTaskPhase.RUNNING && held.grantEndMs != HeldTask.NO_GRANT && due) {
                held.renewSentMs = nowMs;
                actions.add(new TaskAction.Renew(held.task, leaseWithinGrant(held, nowMs)));
            }
        }
        sendStops(nowMs);
    }

    /** Returns what must be done at the worker agent since the last call, in order. */
    public List<TaskAction> takeActions() {
        List<TaskAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    /** Returns all tasks: live ones, and final states that are not acknowledged. */
    public List<GuardTaskView> views() {
        return tasks.values().stream()
                .map(held -> held.view(terms.getOrDefault(held.shard, 0L)))
                .toList();
    }

    /** Tells whether the last starts all failed, at least three. */
    public boolean isWorkerFailing() {
        return failedStarts >= FAILED_STARTS_UNTIL_FAILING;
    }

    /** Tells whether all tasks have ended and the leaders have acknowledged those that they know to be here. */
    public boolean isDrained() {
        return tasks.values().stream().allMatch(held -> held.phase.isFinal() && held.shard.isEmpty());
    }

    /** Tells whether the worker agent has been listed in this incarnation. */
    public boolean isListed() {
        return listed;
    }

    /*
     * Helpers
     */

    private void checkGrants(long nowMs) {
        for (HeldTask held : tasks.values()) {
            if (held.isLive() && held.grantEndMs != HeldTask.NO_GRANT && held.grantEndMs <= nowMs) {
                markStopping(held, "GRANT_LAPSED", false);
            }
        }
        sendStops(nowMs);
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
        if (tombstones.containsKey(order.task())) {
            return Optional.of("REFUSED_EARLIER");
        }
        if (ageMs < 0 || ageMs > MAX_START_AGE_MS || grantEndMs(order.tickEchoMs(), order.leaseMs()) <= nowMs) {
            return Optional.of("STALE: the order echoes a tick " + ageMs + " ms old");
        }
        if (leaving) {
            return Optional.of("LEAVING");
        }
        Optional<HeldTask> other = findLive(order.task());
        if (other.isPresent()) {
            stopOlderEpoch(other.get(), order.task());
            sendStops(nowMs);
            return Optional.of("EPOCH_LIVE: epoch " + other.get().task.epoch() + " has not ended");
        }
        return switch (admission.admit(order.task(), order.size(), nowMs)) {
            case Result.Ok<Resources> ok -> Optional.empty();
            case Result.Err<Resources> err ->
                Optional.of("NO_CAPACITY: " + err.problem().message());
        };
    }

    private Optional<HeldTask> findLive(TaskId task) {
        for (HeldTask held : tasks.values()) {
            boolean sameRun = held.task.run() == task.run() && held.task.work().equals(task.work());
            if (sameRun && !held.phase.isFinal()) {
                return Optional.of(held);
            }
        }
        return Optional.empty();
    }

    private static void stopOlderEpoch(HeldTask held, TaskId task) {
        if (held.task.epoch() < task.epoch()) {
            markStopping(held, "EPOCH_SUPERSEDED", false);
        }
    }

    private void refuse(String shard, TaskId task, String reason) {
        HeldTask refused = new HeldTask(task, shard, GuardTaskPhase.REFUSED);
        refused.reason = reason;
        tasks.put(task, refused);
    }

    private void refuseIfAbsent(String shard, TaskId task, String reason) {
        if (!tasks.containsKey(task)) {
            refuse(shard, task, reason);
        }
    }

    private void applyStop(String shard, TaskId task, boolean withCheckpoint) {
        HeldTask held = tasks.get(task);
        if (held == null) {
            refuse(shard, task, "STOPPED_BEFORE_START");
            return;
        }
        if (!held.phase.isFinal()) {
            held.shard = shard;
            markStopping(held, withCheckpoint ? "EVICTED" : "STOPPED", withCheckpoint);
        }
    }

    private static void markStopping(HeldTask held, String reason, boolean withCheckpoint) {
        if (held.phase != GuardTaskPhase.STOPPING) {
            held.phase = GuardTaskPhase.STOPPING;
            held.reason = reason;
            held.stopWithCheckpoint = withCheckpoint;
        }
    }

    /** A start under way may overtake a stop, so a stop sent before the start was answered is sent again after it. */
    private void sendStops(long nowMs) {
        for (HeldTask held : tasks.values()) {
            boolean due = held.stopSentMs == HeldTask.NEVER || nowMs - held.stopSentMs >= STOP_RETRY_MS;
            if (held.phase == GuardTaskPhase.STOPPING && !held.stopPending && due) {
                held.stopSentMs = nowMs;
                held.stopPending = !held.startPending;
                actions.add(new TaskAction.Stop(held.task, held.stopWithCheckpoint, !held.startPending));
            }
        }
    }

    private void applyRunning(AgentTask agentTask, long nowMs) {
        HeldTask held = tasks.get(agentTask.task());
        if (held == null || held.phase.isFinal()) {
            if (listed) {
                // A start that arrived after it had been given up on; its lease is not renewed either.
                actions.add(new TaskAction.Stop(agentTask.task(), false, false));
                return;
            }
            held = adopt(agentTask, nowMs);
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

    private HeldTask adopt(AgentTask agentTask, long nowMs) {
        HeldTask held = new HeldTask(agentTask.task(), "", GuardTaskPhase.RUNNING);
        findLive(held.task).ifPresent(other -> {
            boolean otherIsOlder = other.task.epoch() < held.task.epoch();
            markStopping(otherIsOlder ? other : held, "EPOCH_SUPERSEDED", false);
        });
        tasks.put(held.task, held);
        admission.adopt(held.task, agentTask.used(), nowMs);
        return held;
    }

    private void applyEnded(AgentTask agentTask, long nowMs) {
        HeldTask held = tasks.get(agentTask.task());
        // A stop under way brings the checkpoint with its answer.
        boolean awaitsStop = held != null && held.stopPending && agentTask.phase() == GuardTaskPhase.STOPPED;
        if (held == null && !listed && agentTask.phase() != GuardTaskPhase.STOPPED) {
            adoptEnded(agentTask, nowMs);
        } else if (held != null && !held.phase.isFinal() && !awaitsStop) {
            if (held.startPending && agentTask.phase() == GuardTaskPhase.FAILED) {
                failedStarts++;
            }
            end(held, agentTask.phase(), agentTask.reason());
        }
    }

    /** The earlier incarnation may not have reported the end; its leader may have forgotten it, so it is dropped. */
    private void adoptEnded(AgentTask agentTask, long nowMs) {
        HeldTask held = new HeldTask(agentTask.task(), "", agentTask.phase());
        held.reason = agentTask.reason();
        held.dropAtMs = nowMs + TOMBSTONE_MS;
        tasks.put(held.task, held);
    }

    private void applyMissing(HeldTask held, long askedMs) {
        // The agent may have made the list before it got the start, unless the start had been answered by then.
        if (held.phase == GuardTaskPhase.RUNNING && held.runningSinceMs < askedMs) {
            end(held, GuardTaskPhase.STOPPED, "LOST: the worker agent does not know the task");
        }
        if (held.startUnclear && askedMs - held.startSentMs >= UNCLEAR_START_MS) {
            failedStarts++;
            end(held, GuardTaskPhase.FAILED, "WORKER_FAILED: the start was not answered and the task does not run");
        }
    }

    private void end(HeldTask held, GuardTaskPhase phase, String reason) {
        held.finish(phase, reason);
        held.startUnclear = false;
        admission.release(held.task);
    }

    private static long grantEndMs(long tickEchoMs, int leaseMs) {
        return tickEchoMs + Math.min(leaseMs, MAX_GRANT_MS);
    }

    /** The lease at the agent ends with the grant at the latest, apart from the time that the call travels. */
    private int leaseWithinGrant(HeldTask held, long nowMs) {
        if (held.grantEndMs == HeldTask.NO_GRANT || held.grantEndMs <= nowMs) {
            throw new InvariantViolationException(
                    "I2: " + held.task + " would be renewed past its grant, " + (nowMs - held.grantEndMs) + " ms late");
        }
        return (int) Math.min(workerLeaseMs, held.grantEndMs - nowMs);
    }

    private void requireSingleEpochs() {
        Set<Run> live = new HashSet<>();
        for (HeldTask held : tasks.values()) {
            if (held.isLive() && !live.add(new Run(held.task.work(), held.task.run()))) {
                throw new InvariantViolationException("I2: two live epochs of " + held.task);
            }
        }
    }
}
