package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

import org.fulmarreach.core.cost.CallerCost;
import org.fulmarreach.core.overload.PoolLoad;
import org.fulmarreach.core.overload.RankClass;
import org.fulmarreach.core.overload.WorkKind;

/**
 * Measures the load of the pools at intervals: the work that waits, by rank class, and the room for it. What is
 * uncertain is left out of the backlog and counted as room, so that no job is refused because of it: work that is
 * running or waits for its predecessors in jobs that wait for nothing else, standing and timed jobs, and the limits of
 * labels, racks and memory. Not thread-safe.
 */
final class PoolLoadMeter {
    private static final long INTERVAL_MS = 500;

    /** Tasks visited per millisecond of the interval; with more tasks the interval is longer. Bounds the cost. */
    private static final int TASKS_PER_MS = 400;

    /** Time from the begin of a term in which guards may not have reported yet. */
    private static final long SETTLE_MS = 2_000;

    /** Expected wait from which a pool is short of room; below it no job becomes useless by waiting. */
    private static final long SHORT_WAIT_MS = 1_000;

    /** Expected wait below which a pool is not short of room any more. Lower, so that the state does not alternate. */
    private static final long ENOUGH_WAIT_MS = 500;

    /**
     * Part of the room that is free in a full pool: what no task fits into. Where more is free, jobs wait for something
     * else, such as a label or an approval.
     */
    private static final double FULL_FREE_SHARE = 0.25;

    /** Time over which the throughput is averaged. */
    private static final double THROUGHPUT_MS = 3_000;

    private static final int FULL_PERCENT = 100;
    private static final int MILLI = 1_000;

    private final Collection<WorkerView> workers;
    private final Function<Job, QueuePolicy> policies;
    private final RunTimeModel times;
    private final long startedAtMs;
    private Map<Job, Remaining> remainingByJob = new HashMap<>();
    private final Map<PoolKey, Double> throughputs = new HashMap<>();
    private PoolLoad load = PoolLoad.NO_SHORTAGE;
    private long measuredAtMs;
    private long nextAtMs;

    /** The workers of a service, for one kind of work. */
    private record PoolKey(String service, WorkKind kind) {}

    /** Remaining estimated work of a job in core-ms, and what of it waits for room now. */
    private record Remaining(PoolKey pool, long coreMs, long waitingCoreMs) {}

    /** Processors of a pool in thousandths of a core. */
    private record Room(long milliCores, long freeMilliCores) {
        Room plus(long more, long moreFree) {
            return new Room(milliCores + more, freeMilliCores + Math.max(0, moreFree));
        }
    }

    /**
     * Constructs the meter of a term.
     *
     * @param workers all workers that the leader knows
     * @param policies returns the settings of a job's queue; null if they are not known
     * @param startedAtMs when the term began
     */
    PoolLoadMeter(
            Collection<WorkerView> workers, Function<Job, QueuePolicy> policies, RunTimeModel times, long startedAtMs) {
        this.times = times;
        this.workers = workers;
        this.policies = policies;
        this.startedAtMs = startedAtMs;
        this.measuredAtMs = startedAtMs;
        this.nextAtMs = startedAtMs;
    }

    /** Returns the last measured load. */
    PoolLoad load() {
        return load;
    }

    /** Returns when the load was measured. */
    long measuredAtMs() {
        return measuredAtMs;
    }

    /** Measures the load if that is due. */
    void review(Collection<Job> active, long nowMs, long unixMs) {
        if (nowMs < nextAtMs) {
            return;
        }
        int visited = 0;
        Map<Job, Remaining> remaining = new HashMap<>();
        Map<PoolKey, Map<Integer, Map<RankClass, Long>>> backlogs = new HashMap<>();
        for (Job job : active) {
            QueuePolicy policy = policies.apply(job);
            if (policy == null || job.status().isFinal() || !JobAdmission.hasTarget(job.spec())) {
                continue;
            }
            visited += job.size();
            Remaining left = measure(job, policy);
            remaining.put(job, left);
            if (left.waitingCoreMs() > 0) {
                RankClass rankClass = rankClass(CallerCost.prospect(JobUrgency.claim(job, policy, times, unixMs)));
                backlogs.computeIfAbsent(left.pool(), unused -> new TreeMap<>())
                        .computeIfAbsent(policy.priority(), unused -> new EnumMap<>(RankClass.class))
                        .merge(rankClass, left.waitingCoreMs(), Long::sum);
            }
        }
        learnThroughput(remaining, nowMs - measuredAtMs);
        remainingByJob = remaining;
        load = nowMs - startedAtMs < SETTLE_MS || backlogs.isEmpty() ? PoolLoad.NO_SHORTAGE : summarize(backlogs);
        measuredAtMs = nowMs;
        nextAtMs = nowMs + Math.max(INTERVAL_MS, visited / TASKS_PER_MS);
    }

    /*
     * Helpers
     */

    private static RankClass rankClass(CallerCost.Prospect prospect) {
        return switch (prospect) {
            case STANDING, ON_TIME -> RankClass.ON_TIME;
            case LATE -> RankClass.LATE;
            case USELESS -> RankClass.USELESS;
        };
    }

    /** Measures a job without occurrences. If one of its tasks waits for room, its later steps wait with it. */
    private static Remaining measure(Job job, QueuePolicy policy) {
        double reserving = 0;
        double bestEffort = 0;
        double pending = 0;
        boolean waitsForRoom = false;
        for (int step = 0; step < job.spec().steps().size(); step++) {
            JobStep spec = job.spec().steps().get(step);
            double left = 0;
            boolean hasPending = false;
            int from = job.indexOf(0, step);
            for (int index = from; index < from + spec.taskCount(); index++) {
                TaskPhase phase = job.stateAt(index).phase();
                if (phase.isOpen()) {
                    double work = coreMs(spec) * job.remainingPercentAt(index) / FULL_PERCENT;
                    left += work;
                    pending += phase == TaskPhase.PENDING ? work : 0;
                    hasPending |= phase == TaskPhase.PENDING;
                }
            }
            reserving += spec.bestEffort() ? 0 : left;
            bestEffort += spec.bestEffort() ? left : 0;
            waitsForRoom |= hasPending && !waitsForRoom && job.isReady(0, step);
        }
        WorkKind kind = reserving >= bestEffort ? WorkKind.RESERVING : WorkKind.BEST_EFFORT;
        return new Remaining(
                new PoolKey(policy.service(), kind),
                (long) (reserving + bestEffort),
                waitsForRoom ? (long) pending : 0);
    }

    private static double coreMs(JobStep step) {
        return (double) step.estimatedMs() * step.demand().milliCores() / MILLI;
    }

    /** Averages the estimated work that was done since the last measurement, per time. */
    private void learnThroughput(Map<Job, Remaining> remaining, long elapsedMs) {
        if (elapsedMs <= 0) {
            return;
        }
        Map<PoolKey, Double> done = new HashMap<>();
        remainingByJob.forEach((job, before) -> {
            Remaining now = remaining.get(job);
            long left = now != null ? now.coreMs() : job.status() == JobStatus.COMPLETED ? 0 : before.coreMs();
            done.merge(before.pool(), (double) (before.coreMs() - left), Double::sum);
        });
        double weight = Math.min(1, elapsedMs / THROUGHPUT_MS);
        throughputs.replaceAll((pool, average) -> average * (1 - weight));
        done.forEach((pool, coreMs) -> throughputs.merge(pool, weight * coreMs * MILLI / elapsedMs, Double::sum));
        throughputs.values().removeIf(average -> average < 1);
    }

    private PoolLoad summarize(Map<PoolKey, Map<Integer, Map<RankClass, Long>>> backlogs) {
        List<PoolLoad.ServiceLoad> services = new ArrayList<>();
        List<String> names = backlogs.keySet().stream()
                .map(PoolKey::service)
                .distinct()
                .sorted()
                .toList();
        for (String service : names) {
            Room reserving = new Room(0, 0);
            Room bestEffort = new Room(0, 0);
            int count = 0;
            for (WorkerView worker : workers) {
                WorkerReport report = worker.report();
                if (report != null && !report.draining() && report.service().equals(service)) {
                    long usable = report.capacity().milliCores()
                            - worker.reservedByLongRunning().milliCores();
                    long free = report.capacity().milliCores() - worker.taken().milliCores();
                    reserving = reserving.plus(usable, free);
                    bestEffort = bestEffort.plus(usable, free - worker.bestEffortMilliCores());
                    count++;
                }
            }
            PoolLoad.KindLoad first = summarize(new PoolKey(service, WorkKind.RESERVING), reserving, backlogs);
            PoolLoad.KindLoad second = summarize(new PoolKey(service, WorkKind.BEST_EFFORT), bestEffort, backlogs);
            boolean isShort = !first.backlogs().isEmpty() || !second.backlogs().isEmpty();
            if (isShort && services.size() < PoolLoad.MAX_SERVICES) {
                services.add(new PoolLoad.ServiceLoad(service, count, first, second));
            }
        }
        return new PoolLoad(services);
    }

    private PoolLoad.KindLoad summarize(
            PoolKey pool, Room room, Map<PoolKey, Map<Integer, Map<RankClass, Long>>> backlogs) {
        List<PoolLoad.Backlog> listed = new ArrayList<>();
        backlogs.getOrDefault(pool, Map.of())
                .forEach((priority, classes) -> classes.forEach(
                        (rankClass, coreMs) -> listed.add(new PoolLoad.Backlog(priority, rankClass, coreMs))));
        List<PoolLoad.Backlog> kept = listed.subList(0, Math.min(listed.size(), PoolLoad.MAX_BACKLOGS));
        long throughput = Math.round(throughputs.getOrDefault(pool, 0.0));
        PoolLoad.KindLoad all = new PoolLoad.KindLoad(room.milliCores(), room.freeMilliCores(), throughput, kept);
        long useful = kept.stream()
                .filter(backlog -> backlog.rankClass() != RankClass.USELESS)
                .mapToLong(PoolLoad.Backlog::coreMs)
                .sum();
        long shortFromMs = wasShort(pool) ? ENOUGH_WAIT_MS : SHORT_WAIT_MS;
        boolean isFull = room.milliCores() > 0 && room.freeMilliCores() <= FULL_FREE_SHARE * room.milliCores();
        return isFull && all.durationMs(useful) >= shortFromMs
                ? all
                : new PoolLoad.KindLoad(room.milliCores(), room.freeMilliCores(), throughput, List.of());
    }

    private boolean wasShort(PoolKey pool) {
        return load.find(pool.service())
                .map(service -> !service.of(pool.kind()).backlogs().isEmpty())
                .orElse(false);
    }
}
