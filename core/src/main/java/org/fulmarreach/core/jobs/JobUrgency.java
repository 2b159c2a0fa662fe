package org.fulmarreach.core.jobs;

import java.util.Comparator;
import java.util.function.IntToLongFunction;

import org.fulmarreach.core.cost.CallerCost;
import org.fulmarreach.core.cost.Claim;

/** States what jobs claim, for {@link CallerCost}, and ranks them for placement by it. Stateless. */
final class JobUrgency {
    /** Up to this multiple of its target a job counts as late; beyond it the result is of little use to the caller. */
    private static final int LATE_FACTOR = 3;

    private static final int FULL_PERCENT = 100;
    private static final double MILLI = 1_000;

    /**
     * A standing job that has waited for this long goes before others of its priority again, in its part of the pool.
     * Callers allow for 3 s without a run, and small tasks give room back within about a second.
     */
    static final long STANDING_PATIENCE_MS = 1_500;

    private JobUrgency() {}

    /**
     * Rank of a job; a lower rank is placed first.
     *
     * @param claim what the job claims
     * @param first whether it goes before all others of its priority
     * @param acceptedAtMs submission time; only decides among jobs that are first and among standing ones
     */
    record Rank(Claim claim, boolean first, long acceptedAtMs) implements Comparable<Rank> {
        private static final Comparator<Rank> ORDER = Comparator.comparingInt(
                        (Rank rank) -> rank.claim().priority())
                .thenComparing(rank -> !rank.first())
                .thenComparing(Rank::compareInGroup);

        private static int compareInGroup(Rank one, Rank other) {
            int byCost = one.first() ? 0 : CallerCost.ORDER.compare(one.claim(), other.claim());
            boolean byAge = byCost == 0 && (one.first() || one.claim() instanceof Claim.Standing);
            return byAge ? Long.compare(one.acceptedAtMs(), other.acceptedAtMs()) : byCost;
        }

        CallerCost.Prospect prospect() {
            return CallerCost.prospect(claim);
        }

        int remainingPermille() {
            return CallerCost.remainingPermille(claim);
        }

        @Override
        public int compareTo(Rank other) {
            return ORDER.compare(this, other);
        }
    }

    /** Ranks a job in a pool with room for all; {@code policy} is null if the settings of its queue are not known. */
    static Rank rank(Job job, QueuePolicy policy, long unixMs) {
        return rank(job, policy, false, unixMs);
    }

    /**
     * Ranks a job.
     *
     * @param policy settings of its queue; null if they are not known
     * @param shortOfRoom whether tasks that reserve processors wait for room in the service; if so, a standing job that
     *     has just been accepted and has lost no run goes behind those that can still be on time
     */
    static Rank rank(Job job, QueuePolicy policy, boolean shortOfRoom, long unixMs) {
        if (policy == null) {
            return new Rank(new Claim.Finite(Integer.MAX_VALUE, -1, -1, 0, 0, 1), false, 0);
        }
        long acceptedAtMs = job.spec().acceptedAtMs();
        boolean standing = job.spec().steps().stream().anyMatch(JobStep::longRunning);
        if (standing || job.spec().isTimed()) {
            Claim claim = new Claim.Standing(policy.priority(), 0);
            boolean first = !shortOfRoom
                    || job.spec().isTimed()
                    || unixMs - acceptedAtMs >= STANDING_PATIENCE_MS
                    || hasLostRun(job);
            return new Rank(claim, first, acceptedAtMs);
        }
        return new Rank(claim(job, policy, unixMs), false, acceptedAtMs);
    }

    /** Returns what a job without standing tasks or due times claims. */
    static Claim.Finite claim(Job job, QueuePolicy policy, long unixMs) {
        long targetMs = targetMs(job.spec(), policy);
        long ageMs = unixMs - job.spec().acceptedAtMs();
        long total = 1;
        long remaining = 0;
        for (JobTask task : job.tasks()) {
            long work = task.step().estimatedMs() * task.step().demand().milliCores();
            total += work;
            remaining += work / FULL_PERCENT * remainingPercent(task);
        }
        return new Claim.Finite(
                policy.priority(),
                targetMs - ageMs,
                LATE_FACTOR * targetMs - ageMs,
                criticalPathMs(job.spec(), step -> remainingMs(job, step)),
                remaining / MILLI,
                total / MILLI);
    }

    /** Returns the target completion time of a job, in milliseconds after its submission. */
    static long targetMs(JobSpec spec, QueuePolicy policy) {
        long longest = criticalPathMs(spec, step -> spec.steps().get(step).estimatedMs());
        return (long) (policy.criticalPathFactor() * longest) + policy.targetLatencyMs();
    }

    /** Returns the duration of the critical path through the steps in milliseconds. */
    private static long criticalPathMs(JobSpec spec, IntToLongFunction durationMs) {
        long[] ends = new long[spec.steps().size()];
        long longest = 0;
        for (int step = 0; step < ends.length; step++) {
            long startMs = 0;
            for (int predecessor : spec.steps().get(step).predecessors()) {
                startMs = Math.max(startMs, ends[predecessor]);
            }
            ends[step] = startMs + durationMs.applyAsLong(step);
            longest = Math.max(longest, ends[step]);
        }
        return longest;
    }

    private static long remainingMs(Job job, int step) {
        long estimatedMs = job.spec().steps().get(step).estimatedMs();
        long longest = 0;
        for (JobTask task : job.tasksOf(0, step)) {
            longest = Math.max(longest, estimatedMs * remainingPercent(task) / FULL_PERCENT);
        }
        return longest;
    }

    private static boolean hasLostRun(Job job) {
        for (JobTask task : job.tasks()) {
            if (task.state().phase() == TaskPhase.PENDING && task.state().run() > 0) {
                return true;
            }
        }
        return false;
    }

    private static int remainingPercent(JobTask task) {
        return task.state().phase() == TaskPhase.DONE
                ? 0
                : FULL_PERCENT - task.progress().percent();
    }
}
