package org.fulmarreach.core.jobs;

import java.util.Comparator;
import java.util.function.IntToLongFunction;

/**
 * Ranks jobs for placement. Among jobs of equal priority, those that can still meet their target come first, and among
 * these the ones with the smallest remaining part of their work: partial work has no value until the whole job is done.
 * With a least-slack-first order instead, every job of a burst would get some capacity and most would finish late.
 * Stateless.
 */
final class JobUrgency {
    /** Up to this multiple of its target a job counts as late; beyond it the result is of little use to the caller. */
    private static final int LATE_FACTOR = 3;

    private static final int FULL_PERCENT = 100;

    private JobUrgency() {}

    /** Whether a job can still meet its target, in order of precedence. */
    enum Prospect {
        /** Long-running or timed; has no target completion time. */
        STANDING,
        /** Can still be completed within its target. */
        ON_TIME,
        /** Will miss its target, but can be completed within {@code LATE_FACTOR} times the target. */
        LATE,
        /** Will take longer than {@code LATE_FACTOR} times the target. */
        VERY_LATE
    }

    /**
     * Rank of a job; a lower rank is placed first.
     *
     * @param priority priority of its queue
     * @param prospect whether the job can still meet its target
     * @param remainingPermille remaining part of the job's work, in thousandths
     * @param slackMs time for which the job can wait and keep its prospect, in milliseconds; the submission time for a
     *     standing job
     */
    record Rank(int priority, Prospect prospect, int remainingPermille, long slackMs) implements Comparable<Rank> {
        private static final Comparator<Rank> ORDER = Comparator.comparingInt(Rank::priority)
                .thenComparing(Rank::prospect)
                .thenComparingInt(Rank::remainingPermille)
                .thenComparingLong(Rank::slackMs);

        @Override
        public int compareTo(Rank other) {
            return ORDER.compare(this, other);
        }
    }

    /** Ranks a job; {@code policy} is null if the settings of its queue are not known. */
    static Rank rank(Job job, QueuePolicy policy, long unixMs) {
        if (policy == null) {
            return new Rank(Integer.MAX_VALUE, Prospect.VERY_LATE, 0, 0);
        }
        boolean standing = job.spec().steps().stream().anyMatch(JobStep::longRunning);
        if (standing || job.spec().isTimed()) {
            return new Rank(policy.priority(), Prospect.STANDING, 0, job.spec().acceptedAtMs());
        }
        long targetMs = targetMs(job.spec(), policy);
        long ageMs = unixMs - job.spec().acceptedAtMs();
        long criticalPathMs = criticalPathMs(job.spec(), step -> remainingMs(job, step));
        int remainingPermille = remainingPermille(job);
        long slackMs = targetMs - ageMs - criticalPathMs;
        if (slackMs >= 0) {
            return new Rank(policy.priority(), Prospect.ON_TIME, remainingPermille, slackMs);
        }
        long lateSlackMs = LATE_FACTOR * targetMs - ageMs - criticalPathMs;
        Prospect prospect = lateSlackMs >= 0 ? Prospect.LATE : Prospect.VERY_LATE;
        return new Rank(policy.priority(), prospect, remainingPermille, lateSlackMs);
    }

    /** Returns the target completion time of a job, in milliseconds after its submission. */
    static long targetMs(JobSpec spec, QueuePolicy policy) {
        return (long) (policy.criticalPathFactor() * criticalPathMs(spec)) + policy.targetLatencyMs();
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

    private static long remainingMs(Job job, int step) {
        long estimatedMs = job.spec().steps().get(step).estimatedMs();
        long longest = 0;
        for (JobTask task : job.tasksOf(0, step)) {
            longest = Math.max(longest, estimatedMs * remainingPercent(task) / FULL_PERCENT);
        }
        return longest;
    }

    /** Returns the remaining part of a job's work, weighted by estimated core time, in thousandths. */
    private static int remainingPermille(Job job) {
        long total = 1;
        long remaining = 0;
        for (JobTask task : job.tasks()) {
            long work = task.step().estimatedMs() * task.step().demand().milliCores();
            total += work;
            remaining += work / FULL_PERCENT * remainingPercent(task);
        }
        return (int) (1_000 * remaining / total);
    }

    private static int remainingPercent(JobTask task) {
        return task.state().phase() == TaskPhase.DONE
                ? 0
                : FULL_PERCENT - task.progress().percent();
    }
}
