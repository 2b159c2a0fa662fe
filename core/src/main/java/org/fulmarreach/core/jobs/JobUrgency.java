package org.fulmarreach.core.jobs;

import java.util.Comparator;

/**
 * Order in which jobs are given room. Among jobs of equal priority those come first that can still be on time, by how
 * little slack they have; a job that is late already gains little by going first. Stateless.
 */
final class JobUrgency {
    /** A job is late up to this multiple of its target; after that its result is worth little to its caller. */
    private static final int LATE_FACTOR = 3;

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
     * @param slackMs time that it can wait and still reach it, in milliseconds
     */
    record Rank(int priority, Prospect prospect, long slackMs) implements Comparable<Rank> {
        private static final Comparator<Rank> ORDER = Comparator.comparingInt(Rank::priority)
                .thenComparing(Rank::prospect)
                .thenComparingLong(Rank::slackMs);

        @Override
        public int compareTo(Rank other) {
            return ORDER.compare(this, other);
        }
    }

    /** Ranks a job; {@code queue} is null if its queue is no longer configured. */
    static Rank rank(Job job, JobQueue queue, long unixMs) {
        if (queue == null) {
            return new Rank(Integer.MAX_VALUE, Prospect.VERY_LATE, 0);
        }
        boolean standing = job.spec().steps().stream().anyMatch(JobStep::longRunning);
        if (standing || job.spec().isTimed()) {
            return new Rank(queue.priority(), Prospect.STANDING, job.spec().acceptedAtMs());
        }
        long targetMs = targetMs(job.spec(), queue);
        long ageMs = unixMs - job.spec().acceptedAtMs();
        long leftMs = remainingMs(job);
        long slackMs = targetMs - ageMs - leftMs;
        if (slackMs >= 0) {
            return new Rank(queue.priority(), Prospect.ON_TIME, slackMs);
        }
        long lateSlackMs = LATE_FACTOR * targetMs - ageMs - leftMs;
        return new Rank(queue.priority(), lateSlackMs >= 0 ? Prospect.LATE : Prospect.VERY_LATE, lateSlackMs);
    }

    /** Returns the time within which a job is on time, in milliseconds after its submission. */
    static long targetMs(JobSpec spec, JobQueue queue) {
        long[] ends = new long[spec.steps().size()];
        long longest = 0;
        for (int step = 0; step < ends.length; step++) {
            long begin = 0;
            for (int before : spec.steps().get(step).after()) {
                begin = Math.max(begin, ends[before]);
            }
            ends[step] = begin + spec.steps().get(step).estimatedMs();
            longest = Math.max(longest, ends[step]);
        }
        return (long) (queue.stretch() * longest) + queue.targetLatencyMs();
    }

    /** Returns the estimated length of the longest chain of steps that are not done, in milliseconds. */
    private static long remainingMs(Job job) {
        JobSpec spec = job.spec();
        long[] ends = new long[spec.steps().size()];
        long longest = 0;
        for (int step = 0; step < ends.length; step++) {
            long begin = 0;
            for (int before : spec.steps().get(step).after()) {
                begin = Math.max(begin, ends[before]);
            }
            ends[step] = begin + remainingMs(job, step);
            longest = Math.max(longest, ends[step]);
        }
        return longest;
    }

    private static long remainingMs(Job job, int step) {
        long estimatedMs = job.spec().steps().get(step).estimatedMs();
        long longest = 0;
        for (JobTask task : job.tasksOf(0, step)) {
            if (task.state().phase() != TaskPhase.DONE) {
                long left = estimatedMs * (100 - task.progress().percent()) / 100;
                longest = Math.max(longest, left);
            }
        }
        return longest;
    }
}
