package org.fulmarreach.core.jobs;

import java.util.Comparator;
import java.util.function.IntToLongFunction;

/**
 * Order in which jobs are given room. Among jobs of equal priority those come first that can still be on time, among
 * these the ones of which the smallest part is left: work that was put into a job is worth nothing until all of it is
 * done. Ordered by least slack, every job of a burst gets some room and most end late. Stateless.
 */
final class JobUrgency {
    /** A job is late up to this multiple of its target; after that its result is worth little to its caller. */
    private static final int LATE_FACTOR = 3;

    private static final int FULL_PERCENT = 100;

    private JobUrgency() {}

    /** How much a job gains by room now. */
    enum Prospect {
        /** It has no target to miss. */
        STANDING,
        /** It can still be on time. */
        ON_TIME,
        /** It will be late. */
        LATE,
        /** It will be very late. */
        VERY_LATE
    }

    /**
     * Rank of a job; lower goes first.
     *
     * @param priority priority of its queue
     * @param prospect what it can still reach
     * @param leftPermille part of its work that is left, in thousandths
     * @param slackMs time that it can wait and still reach its prospect, in milliseconds
     */
    record Rank(int priority, Prospect prospect, int leftPermille, long slackMs) implements Comparable<Rank> {
        private static final Comparator<Rank> ORDER = Comparator.comparingInt(Rank::priority)
                .thenComparing(Rank::prospect)
                .thenComparingInt(Rank::leftPermille)
                .thenComparingLong(Rank::slackMs);

        @Override
        public int compareTo(Rank other) {
            return ORDER.compare(this, other);
        }
    }

    /** Ranks a job; {@code queue} is null if its queue is no longer configured. */
    static Rank rank(Job job, JobQueue queue, long unixMs) {
        if (queue == null) {
            return new Rank(Integer.MAX_VALUE, Prospect.VERY_LATE, 0, 0);
        }
        boolean standing = job.spec().steps().stream().anyMatch(JobStep::longRunning);
        if (standing || job.spec().isTimed()) {
            return new Rank(queue.priority(), Prospect.STANDING, 0, job.spec().acceptedAtMs());
        }
        long targetMs = targetMs(job.spec(), queue);
        long ageMs = unixMs - job.spec().acceptedAtMs();
        long leftMs = longestChainMs(job.spec(), step -> remainingMs(job, step));
        int leftPermille = leftPermille(job);
        long slackMs = targetMs - ageMs - leftMs;
        if (slackMs >= 0) {
            return new Rank(queue.priority(), Prospect.ON_TIME, leftPermille, slackMs);
        }
        long lateSlackMs = LATE_FACTOR * targetMs - ageMs - leftMs;
        Prospect prospect = lateSlackMs >= 0 ? Prospect.LATE : Prospect.VERY_LATE;
        return new Rank(queue.priority(), prospect, leftPermille, lateSlackMs);
    }

    /** Returns the time within which a job is on time, in milliseconds after its submission. */
    static long targetMs(JobSpec spec, JobQueue queue) {
        long longest = longestChainMs(spec, step -> spec.steps().get(step).estimatedMs());
        return (long) (queue.stretch() * longest) + queue.targetLatencyMs();
    }

    /** Returns the length of the longest chain of steps in milliseconds. */
    private static long longestChainMs(JobSpec spec, IntToLongFunction durationMs) {
        long[] ends = new long[spec.steps().size()];
        long longest = 0;
        for (int step = 0; step < ends.length; step++) {
            long begin = 0;
            for (int before : spec.steps().get(step).after()) {
                begin = Math.max(begin, ends[before]);
            }
            ends[step] = begin + durationMs.applyAsLong(step);
            longest = Math.max(longest, ends[step]);
        }
        return longest;
    }

    private static long remainingMs(Job job, int step) {
        long estimatedMs = job.spec().steps().get(step).estimatedMs();
        long longest = 0;
        for (JobTask task : job.tasksOf(0, step)) {
            longest = Math.max(longest, estimatedMs * leftPercent(task) / FULL_PERCENT);
        }
        return longest;
    }

    /** Returns the part of a job's work, in estimated core-seconds, that is left. */
    private static int leftPermille(Job job) {
        long all = 1;
        long left = 0;
        for (JobTask task : job.tasks()) {
            long work = task.step().estimatedMs() * task.step().demand().milliCores();
            all += work;
            left += work / FULL_PERCENT * leftPercent(task);
        }
        return (int) (1_000 * left / all);
    }

    private static int leftPercent(JobTask task) {
        return task.state().phase() == TaskPhase.DONE
                ? 0
                : FULL_PERCENT - task.progress().percent();
    }
}
