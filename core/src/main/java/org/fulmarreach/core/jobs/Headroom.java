package org.fulmarreach.core.jobs;

import java.util.Collection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/**
 * Room that standing tasks leave to short jobs which reserve processors. A short job gives its room back within
 * seconds, while a standing task that takes the last room turns all short jobs away for as long as it runs. The
 * headroom is what short jobs of the same or a higher priority have lately used or waited for, with a margin, up to
 * {@value #MAX_SHARE} of the service; each rack keeps its part. It is empty where no short job has run lately.
 *
 * <p>Only a standing task that has never run is kept out of it. It gives way if there is room for such a task twice
 * over for {@value #GIVE_WAY_AFTER_MS} ms, since callers are promised that the task has a run within 3 s then. Running
 * tasks are not touched. Lives for one term; a new leader measures again. Not thread-safe.
 */
final class Headroom {
    /** Largest part of the processors of a service that is kept free of standing tasks. */
    static final double MAX_SHARE = 0.2;

    /** A job counts as short if no task is expected to run for longer: its room is free again within seconds. */
    static final long SHORT_TASK_MS = 5_000;

    static final long GIVE_WAY_AFTER_MS = 1_000;

    /** A burst of short jobs comes at about twice the usual rate, and standing tasks that were let in stay. */
    private static final double BURST_MARGIN = 2;

    private static final long SAMPLE_INTERVAL_MS = 200;

    /** Time constant of the mean demand: about the time for which a short task runs. */
    private static final double SMOOTHING_MS = 1_000;

    /** Time constant at which the highest demand is forgotten. */
    private static final double DECAY_MS = 20_000;

    /** A demand below this is none any more. */
    private static final double NEGLIGIBLE_MILLI_CORES = 50;

    /** Interval at which the room for a waiting step is looked at; the answer must come well within 3 s. */
    private static final long CHECK_INTERVAL_MS = 250;

    /** Room that is gone for less, as while a start is under way, counts as free all the while. */
    private static final long MAX_GAP_MS = 600;

    /** Time for which a service counts as short after a task that reserves processors found no room. */
    private static final long SHORTAGE_MS = 2_000;

    private final Function<Job, QueuePolicy> policies;
    private final Map<String, TreeMap<Integer, Demand>> demands = new HashMap<>();
    private final Map<String, Room> rooms = new HashMap<>();
    private final Map<String, Long> shortAtMs = new HashMap<>();
    private final Map<JobStep, Free> free = new IdentityHashMap<>();
    private long shortages;
    private long sampledAtMs;
    private boolean sampled;

    /** Demand of the short jobs of a service and priority, in millicores. */
    private static final class Demand {
        private long present;
        private long tasks;
        private double mean;
        private double highest;

        private void smooth(long elapsedMs) {
            mean += (present - mean) * -Math.expm1(-elapsedMs / SMOOTHING_MS);
            highest = Math.max(mean, highest * Math.exp(-elapsedMs / DECAY_MS));
        }
    }

    /** When room for a step was there twice over: since when, when last, and when that was last looked at. */
    private record Free(long sinceMs, long lastMs, long checkedAtMs) {}

    /** Processors of the available workers of a service and of each rack, in millicores. */
    private static final class Room {
        private final Map<String, long[]> byRack = new HashMap<>();
        private long capacity;
    }

    /**
     * Room that a standing task must leave free.
     *
     * @param heldMilliCores headroom of the service
     * @param capacityMilliCores processors of the available workers of the service
     * @param demandMilliCores processors of one task
     * @param byRack capacity, and room that standing tasks leave, of each rack in millicores
     */
    record Limit(long heldMilliCores, long capacityMilliCores, int demandMilliCores, Map<String, long[]> byRack) {
        /** Tells whether the rack of a worker keeps its part of the headroom if the task is placed on the worker. */
        boolean admits(WorkerView worker) {
            long[] rack = byRack.get(worker.rack());
            return rack != null && rack[1] - demandMilliCores >= heldMilliCores * rack[0] / capacityMilliCores;
        }
    }

    /** Constructs an empty headroom; {@code policies} returns the settings of a job's queue, or null if unknown. */
    Headroom(Function<Job, QueuePolicy> policies) {
        this.policies = policies;
    }

    /** Begins a pass: measures the demand of short jobs, if the last measurement is long enough ago. */
    void beginPass(Collection<Job> active, long nowMs) {
        rooms.clear();
        free.values().removeIf(seen -> nowMs - seen.checkedAtMs() > SHORTAGE_MS);
        if (sampled && nowMs - sampledAtMs < SAMPLE_INTERVAL_MS) {
            return;
        }
        long elapsedMs = sampled ? nowMs - sampledAtMs : SAMPLE_INTERVAL_MS;
        sampled = true;
        sampledAtMs = nowMs;
        demands.values()
                .forEach(levels -> levels.values().forEach(level -> {
                    level.present = 0;
                    level.tasks = 0;
                }));
        for (Job job : active) {
            if (isShort(job) && !job.status().isFinal()) {
                addDemand(job);
            }
        }
        demands.values().removeIf(levels -> {
            levels.values().forEach(level -> level.smooth(elapsedMs));
            levels.values().removeIf(level -> level.present == 0 && level.highest < NEGLIGIBLE_MILLI_CORES);
            return levels.isEmpty();
        });
    }

    /** Must be called when a long-running task has been or may be placed or released within the pass. */
    void onReservationChanged() {
        rooms.clear();
    }

    /** Records that a task that reserves processors found no room. */
    void recordShortage(String service, long nowMs) {
        shortAtMs.put(service, nowMs);
        shortages++;
    }

    /** Returns the total number of searches in which a task that reserves processors found no room. */
    long shortages() {
        return shortages;
    }

    /** Tells whether tasks that reserve processors have found no room in a service a short time ago. */
    boolean isShortOfRoom(String service, long nowMs) {
        Long atMs = shortAtMs.get(service);
        return atMs != null && nowMs - atMs <= SHORTAGE_MS;
    }

    /** Returns a line of text for each service with a headroom, before the bound by capacity. */
    List<String> describe() {
        return demands.entrySet().stream()
                .map(entry -> "headroom service=" + entry.getKey() + " milliCores="
                        + (long) demandUpTo(entry.getValue(), Integer.MAX_VALUE) + " shortages=" + shortages)
                .toList();
    }

    /** Returns the processors that are kept free for short jobs in all services, in millicores, before the bound. */
    long milliCores() {
        double sum = 0;
        for (TreeMap<Integer, Demand> levels : demands.values()) {
            sum += demandUpTo(levels, Integer.MAX_VALUE);
        }
        return (long) sum;
    }

    /**
     * Observes whether there is room twice over for a standing task that waits; must be called before each search.
     *
     * @param hasRoomTwice looks for the room, whoever may use it
     */
    void observe(JobTask task, String service, BooleanSupplier hasRoomTwice, long nowMs) {
        if (!concerns(task, service)) {
            return;
        }
        Free seen = free.get(task.step());
        if (seen != null && nowMs - seen.checkedAtMs() < CHECK_INTERVAL_MS) {
            return;
        }
        if (hasRoomTwice.getAsBoolean()) {
            boolean goesOn = seen != null && nowMs - seen.lastMs() <= MAX_GAP_MS;
            free.put(task.step(), new Free(goesOn ? seen.sinceMs() : nowMs, nowMs, nowMs));
        } else if (seen != null) {
            free.put(task.step(), new Free(seen.sinceMs(), seen.lastMs(), nowMs));
        }
    }

    /** Returns what a task must leave free, or null if it may use all room. */
    Limit findLimit(
            JobTask task, String service, Collection<WorkerView> workers, BooleanSupplier hasRoomTwice, long nowMs) {
        if (!concerns(task, service)) {
            return null;
        }
        QueuePolicy policy = policies.apply(task.job());
        TreeMap<Integer, Demand> levels = demands.get(service);
        double demand = policy == null ? 0 : demandUpTo(levels, policy.priority());
        if (demand <= 0 || hasGivenWay(task.step(), nowMs) && hasRoomTwice.getAsBoolean()) {
            return null;
        }
        Room room = rooms.computeIfAbsent(service, unused -> measure(service, levels, workers, nowMs));
        long held = (long) Math.min(demand, MAX_SHARE * room.capacity);
        return new Limit(held, Math.max(1, room.capacity), task.step().demand().milliCores(), room.byRack);
    }

    /*
     * Helpers
     */

    private boolean concerns(JobTask task, String service) {
        JobStep step = task.step();
        return step.longRunning()
                && !step.bestEffort()
                && !step.gang()
                && task.state().run() == 0
                && demands.containsKey(service);
    }

    private boolean hasGivenWay(JobStep step, long nowMs) {
        Free seen = free.get(step);
        return seen != null
                && seen.lastMs() - seen.sinceMs() >= GIVE_WAY_AFTER_MS
                && nowMs - seen.lastMs() <= MAX_GAP_MS;
    }

    private static double demandUpTo(TreeMap<Integer, Demand> levels, int priority) {
        double sum = 0;
        for (Demand level : levels.headMap(priority, true).values()) {
            sum += level.highest;
        }
        return sum * BURST_MARGIN;
    }

    private static Room measure(
            String service, TreeMap<Integer, Demand> levels, Collection<WorkerView> workers, long nowMs) {
        long present = 0;
        long tasks = 0;
        for (Demand level : levels.values()) {
            present += level.present;
            tasks += level.tasks;
        }
        // Room that is smaller than a task of the short jobs does not serve them.
        long piece = tasks == 0 ? 1 : Math.max(1, present / tasks);
        Room room = new Room();
        for (WorkerView worker : workers) {
            if (worker.isAvailable(service, nowMs)) {
                long capacity = worker.report().capacity().milliCores();
                long left =
                        Math.max(0, capacity - worker.reservedByLongRunning().milliCores());
                long[] rack = room.byRack.computeIfAbsent(worker.rack(), unused -> new long[2]);
                rack[0] += capacity;
                rack[1] += left - left % piece;
                room.capacity += capacity;
            }
        }
        return room;
    }

    private static boolean isShort(Job job) {
        if (job.spec().isTimed()) {
            return false;
        }
        for (JobStep step : job.spec().steps()) {
            if (step.longRunning() || step.estimatedMs() > SHORT_TASK_MS) {
                return false;
            }
        }
        return true;
    }

    /** Adds the processors that the tasks of a job reserve, or would reserve if they had a worker. */
    private void addDemand(Job job) {
        QueuePolicy policy = policies.apply(job);
        if (policy == null || policy.service() == null) {
            return;
        }
        long milliCores = 0;
        long tasks = 0;
        for (int step = 0; step < job.spec().steps().size(); step++) {
            int each = job.spec().steps().get(step).reserved().milliCores();
            if (each > 0 && job.isReady(0, step)) {
                int from = job.indexOf(0, step);
                for (int index = from;
                        index < from + job.spec().steps().get(step).taskCount();
                        index++) {
                    int counted = job.stateAt(index).phase().isOpen() ? 1 : 0;
                    milliCores += (long) counted * each;
                    tasks += counted;
                }
            }
        }
        if (tasks > 0) {
            Demand level = demands.computeIfAbsent(policy.service(), unused -> new TreeMap<>())
                    .computeIfAbsent(policy.priority(), unused -> new Demand());
            level.present += milliCores;
            level.tasks += tasks;
        }
    }
}
