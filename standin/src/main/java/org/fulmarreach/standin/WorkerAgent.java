package org.fulmarreach.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import org.fulmarreach.core.model.Resources;

/**
 * Simulated worker agent of one VM: tasks run under leases measured on the agent's own monotonic clock. No work is
 * performed; the progress of a task is elapsed time multiplied by its throttle share. Thread-safe. {@link #tick()} must
 * be called regularly.
 */
final class WorkerAgent {
    private static final String CHECKPOINT_PREFIX = "progressMs:";

    /** Number of ended tasks that stay listed, so that a client that lost a response can look up the result. */
    private static final int MAX_ENDED = 100;

    private final LongSupplier clockMs;
    private final Journal journal;
    private final Resources capacity;
    private final long usageLagMs;
    private final long defaultRunMs;
    private final Set<String> standingNames;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final List<Task> running = new ArrayList<>();
    private final Deque<String> ended = new ArrayDeque<>();
    private boolean failAll;
    private long usagePausedAtMs = -1;

    /**
     * Constructs an agent without tasks.
     *
     * @param clockMs monotonic clock in milliseconds
     * @param usageLagMs age of the reported usage figures in milliseconds
     * @param defaultRunMs run time of a task whose specification has none, in milliseconds
     * @param standingNames plain names of tasks that run until they are stopped
     */
    WorkerAgent(
            LongSupplier clockMs,
            Journal journal,
            Resources capacity,
            long usageLagMs,
            long defaultRunMs,
            Set<String> standingNames) {
        this.clockMs = clockMs;
        this.journal = journal;
        this.capacity = capacity;
        this.usageLagMs = usageLagMs;
        this.defaultRunMs = defaultRunMs;
        this.standingNames = Set.copyOf(standingNames);
    }

    Resources capacity() {
        return capacity;
    }

    synchronized void setFailAll(boolean newFailAll) {
        failAll = newFailAll;
    }

    /** If {@code paused}, freezes the reported usage so that its lag grows; otherwise resumes the updates. */
    synchronized void setUsagePaused(boolean paused) {
        usagePausedAtMs = paused ? clockMs.getAsLong() : -1;
    }

    /** Starts a task; returns null if it runs, otherwise the reason why it does not run under this id. */
    synchronized String start(String id, long leaseMs, Resources declared, String text, String checkpoint) {
        tick();
        Task existing = tasks.get(id);
        if (existing != null) {
            return existing.state.equals("RUNNING") ? null : "the task " + id + " has ended as " + existing.state;
        }
        TaskSpec spec = TaskSpec.parse(text, defaultRunMs);
        if (standingNames.contains(spec.name())) {
            spec = new TaskSpec(spec.name(), spec.milliCores(), spec.memoryMb(), TaskSpec.FOREVER, spec.failAtMs());
        }
        long nowMs = clockMs.getAsLong();
        Task task = new Task(id, declared, spec, nowMs, parseCheckpoint(checkpoint));
        task.leaseEndMs = nowMs + leaseMs;
        tasks.put(id, task);
        running.add(task);
        if (failAll || spec.failsAtStart()) {
            end(task, "FAILED", "FAIL_START", "the task cannot start");
            return task.reason;
        }
        journal.add("START", "id", id, "fromMs", task.progressMs, "text", text);
        checkCapacity();
        return null;
    }

    /** Extends the lease of a task; returns null if the id is unknown and false if the task has ended. */
    synchronized Boolean renew(String id, long leaseMs) {
        return updateRunning(id, task -> task.leaseEndMs = clockMs.getAsLong() + leaseMs);
    }

    synchronized Boolean throttle(String id, double share) {
        if (!(share > 0 && share <= 1)) {
            throw new IllegalArgumentException("throttle share must be in (0, 1]");
        }
        return updateRunning(id, task -> {
            task.share = share;
            task.shares.add(new Share(clockMs.getAsLong(), share));
            journal.add("THROTTLE", "id", id, "share", share);
        });
    }

    /** Returns a checkpoint of a running task, or null if no such task is running. */
    synchronized String checkpoint(String id) {
        tick();
        Task task = tasks.get(id);
        if (task == null || !task.state.equals("RUNNING")) {
            return null;
        }
        String checkpoint = CHECKPOINT_PREFIX + task.progressMs;
        journal.add("CHECKPOINT", "id", id, "progressMs", task.progressMs);
        return checkpoint;
    }

    /** Stops a task; returns false if the id is unknown. */
    synchronized boolean stop(String id) {
        tick();
        Task task = tasks.get(id);
        if (task != null && task.state.equals("RUNNING")) {
            end(task, "STOPPED", "STOP", "stopped by a client");
        }
        return task != null;
    }

    /** Advances all running tasks to the current time and stops those whose lease has expired. */
    synchronized void tick() {
        long nowMs = clockMs.getAsLong();
        for (Task task : List.copyOf(running)) {
            advance(task, nowMs);
        }
    }

    synchronized Map<String, Object> list() {
        tick();
        List<Map<String, Object>> list = new ArrayList<>();
        long nowMs = clockMs.getAsLong();
        long usageAtMs = (usagePausedAtMs >= 0 ? usagePausedAtMs : nowMs) - usageLagMs;
        for (Task task : tasks.values()) {
            Map<String, Object> entry = new LinkedHashMap<>();
            double share = task.shareAt(usageAtMs);
            entry.put("id", task.id);
            entry.put("state", task.state);
            entry.put("cores", task.actualMilliCores() * share / 1000.0);
            entry.put("memoryMb", share == 0 ? 0 : task.actualMemoryMb());
            entry.put("lagMs", nowMs - usageAtMs);
            entry.put("reason", task.reason);
            list.add(entry);
        }
        return Map.of("tasks", list);
    }

    /** Returns the actual current processor use of all running tasks, in thousandths of a core. */
    synchronized double usedMilliCores() {
        double sum = 0;
        for (Task task : running) {
            sum += task.actualMilliCores() * task.share;
        }
        return sum;
    }

    // Helpers

    private Boolean updateRunning(String id, java.util.function.Consumer<Task> change) {
        tick();
        Task task = tasks.get(id);
        if (task == null) {
            return null;
        }
        if (!task.state.equals("RUNNING")) {
            return false;
        }
        change.accept(task);
        return true;
    }

    private void advance(Task task, long nowMs) {
        // Progress counts only until the lease expires, even if the tick comes later.
        long untilMs = Math.min(nowMs, task.leaseEndMs);
        task.exactProgressMs += (untilMs - task.advancedMs) * task.share;
        task.progressMs = (long) task.exactProgressMs;
        task.advancedMs = untilMs;
        if (task.progressMs >= task.spec.failAtMs()) {
            end(task, "FAILED", "FAIL", "the task failed");
        } else if (task.progressMs >= task.spec.runMs()) {
            end(task, "SUCCEEDED", "FINISH", "");
        } else if (nowMs >= task.leaseEndMs) {
            end(task, "STOPPED", "LEASE_LAPSED", "the lease lapsed");
        }
    }

    private void end(Task task, String state, String event, String reason) {
        task.state = state;
        task.reason = reason;
        task.shares.add(new Share(clockMs.getAsLong(), 0));
        journal.add(event, "id", task.id, "progressMs", task.progressMs);
        running.remove(task);
        ended.add(task.id);
        if (ended.size() > MAX_ENDED) {
            tasks.remove(ended.remove());
        }
    }

    private void checkCapacity() {
        Resources sum = Resources.NONE;
        for (Task task : running) {
            sum = sum.plus(task.declared);
        }
        if (!sum.fitsInto(capacity)) {
            journal.add("OVERFULL", "declared", sum.toString(), "capacity", capacity.toString());
        }
    }

    private static long parseCheckpoint(String checkpoint) {
        if (checkpoint == null || checkpoint.isEmpty()) {
            return 0;
        }
        if (!checkpoint.startsWith(CHECKPOINT_PREFIX)) {
            throw new IllegalArgumentException("not a checkpoint of this agent: " + checkpoint);
        }
        return Long.parseLong(checkpoint.substring(CHECKPOINT_PREFIX.length()));
    }

    /** Throttle share that is effective from a time on; 0 after the end of the task. */
    private record Share(long fromMs, double share) {}

    /** State of one task. */
    private static final class Task {
        private final String id;
        private final Resources declared;
        private final TaskSpec spec;
        private final Deque<Share> shares = new ArrayDeque<>();
        private String state = "RUNNING";
        private String reason = "";
        private double exactProgressMs;
        private long progressMs;
        private long advancedMs;
        private long leaseEndMs;
        private double share = 1;

        Task(String id, Resources declared, TaskSpec spec, long nowMs, long progressMs) {
            this.id = id;
            this.declared = declared;
            this.spec = spec;
            this.advancedMs = nowMs;
            this.exactProgressMs = progressMs;
            this.progressMs = progressMs;
            shares.add(new Share(nowMs, 1));
        }

        int actualMilliCores() {
            return spec.milliCores() >= 0 ? spec.milliCores() : declared.milliCores();
        }

        long actualMemoryMb() {
            return spec.memoryMb() >= 0 ? spec.memoryMb() : declared.memoryMb();
        }

        /** Returns the share at {@code atMs}; 0 before the start and after the end. */
        double shareAt(long atMs) {
            double found = 0;
            for (Share change : shares) {
                if (change.fromMs() <= atMs) {
                    found = change.share();
                }
            }
            return found;
        }
    }
}
