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
     * @param acceptedAtMs submission time; only decides among jobs that are first, among standing ones, and among those
     *     whose result comes too late to be of use
     */
    record Rank(Claim claim, boolean first, long acceptedAtMs) implements Comparable<Rank> {
        private static final Comparator<Rank> ORDER = Comparator.comparingInt(
                        (Rank rank) -> rank.claim().priority())
                .thenComparing(rank -> !rank.first())
                .thenComparing(Rank::compareInGroup);

        private static int compareInGroup(Rank one, Rank other) {
            if (one.first() || one.isUseless() && other.isUseless()) {
                return Long.compare(one.acceptedAtMs(), other.acceptedAtMs());
            }
            int byCost = CallerCost.ORDER.compare(one.claim(), other.claim());
            boolean byAge = byCost == 0 && one.claim() instanceof Claim.Standing;
            return byAge ? Long.compare(one.acceptedAtMs(), other.acceptedAtMs()) : byCost;
        }

        /** Tells whether the job has nothing to lose by a delay; the oldest goes first then, so that none starves. */
        private boolean isUseless() {
            return prospect() == CallerCost.Prospect.USELESS;
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
        return rank(job, policy, new RunTimeModel(), false, unixMs);
    }

    /**
     * Ranks a job.
     *
     * @param policy settings of its queue; null if they are not known
     * @param times what is known of run times
     * @param shortOfRoom whether tasks that reserve processors wait for room in the service; if so, a standing job that
     *     has just been accepted and has lost no run goes behind those that can still be on time
     */
    static Rank rank(Job job, QueuePolicy policy, RunTimeModel times, boolean shortOfRoom, long unixMs) {
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
        return new Rank(claim(job, policy, times, unixMs), false, acceptedAtMs);
    }

    /**
     * Returns what a job without standing tasks or due times claims. Its target follows from the learned run times too,
     * since callers are promised a multiple of the work and not of their estimate; a job whose submitter declares less
     * gains nothing by that. Each step that has not begun takes the delay of a start besides.
     */
    static Claim.Finite claim(Job job, QueuePolicy policy, RunTimeModel times, long unixMs) {
        JobSpec spec = job.spec();
        long[] expectedMs = expectedMs(spec, times);
        long targetMs = targetMs(spec, policy, step -> expectedMs[step]);
        long ageMs = unixMs - job.spec().acceptedAtMs();
        Work work = work(job, expectedMs);
        return new Claim.Finite(
                policy.priority(),
                targetMs - ageMs,
                LATE_FACTOR * targetMs - ageMs,
                criticalPathMs(spec, step -> remainingMs(job, step, expectedMs[step], times.startDelayMs())),
                work.remaining() / MILLI,
                work.total() / MILLI);
    }

    /** Returns the remaining part of a job's work, in thousandths. */
    static int remainingPermille(Job job, RunTimeModel times) {
        Work work = work(job, expectedMs(job.spec(), times));
        return (int) (1_000 * work.remaining() / work.total());
    }

    /**
     * Work of a job.
     *
     * @param total all of it, in milliseconds times thousandths of a core
     * @param remaining what is still to be done, in the same unit
     */
    private record Work(long total, long remaining) {}

    private static Work work(Job job, long[] expectedMs) {
        long total = 1;
        long remaining = 0;
        for (int occurrence = 0; occurrence < job.spec().occurrences(); occurrence++) {
            for (int step = 0; step < expectedMs.length; step++) {
                JobStep each = job.spec().steps().get(step);
                long work = expectedMs[step] * each.demand().milliCores();
                int from = job.indexOf(occurrence, step);
                total += work * each.taskCount();
                for (int index = from; index < from + each.taskCount(); index++) {
                    remaining += work / FULL_PERCENT * job.remainingPercentAt(index);
                }
            }
        }
        return new Work(total, remaining);
    }

    private static long[] expectedMs(JobSpec spec, RunTimeModel times) {
        long[] expectedMs = new long[spec.steps().size()];
        for (int step = 0; step < expectedMs.length; step++) {
            expectedMs[step] = times.expectedMs(spec.queue(), spec.steps().get(step));
        }
        return expectedMs;
    }

    /** Returns the target completion time of a job by its estimates, in milliseconds after its submission. */
    static long targetMs(JobSpec spec, QueuePolicy policy) {
        return targetMs(spec, policy, step -> spec.steps().get(step).estimatedMs());
    }

    private static long targetMs(JobSpec spec, QueuePolicy policy, IntToLongFunction durationMs) {
        long longest = criticalPathMs(spec, durationMs);
        return (long) (policy.criticalPathFactor() * longest) + policy.targetLatencyMs();
    }

    /** Returns the time after a job's submission from which its result is of little use, in milliseconds. */
    static long uselessMs(JobSpec spec, QueuePolicy policy) {
        return LATE_FACTOR * targetMs(spec, policy);
    }

    /** Returns the estimated duration of the critical path through all steps of a job in milliseconds. */
    static long criticalPathMs(JobSpec spec) {
        return criticalPathMs(spec, step -> spec.steps().get(step).estimatedMs());
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

    private static long remainingMs(Job job, int step, long expectedMs, long startDelayMs) {
        long longest = 0;
        int from = job.indexOf(0, step);
        for (int index = from; index < from + job.spec().steps().get(step).taskCount(); index++) {
            long delayMs = job.stateAt(index).phase() == TaskPhase.PENDING ? startDelayMs : 0;
            longest = Math.max(longest, delayMs + expectedMs * job.remainingPercentAt(index) / FULL_PERCENT);
        }
        return longest;
    }

    private static boolean hasLostRun(Job job) {
        for (int index = 0; index < job.size(); index++) {
            TaskState state = job.stateAt(index);
            if (state.phase() == TaskPhase.PENDING && state.run() > 0) {
                return true;
            }
        }
        return false;
    }
}
