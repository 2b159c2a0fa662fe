package org.fulmarreach.core.rules;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.model.Member;
import org.fulmarreach.core.model.Resources;

/**
 * Scheduled work with a deadline. Immutable.
 *
 * @param name name of the work; batch and standing rules share one namespace
 * @param region name of the region that the work is bound to
 * @param everyMs interval between the starts of two runs, in milliseconds, at least one second
 * @param atMs offset of a run within its interval, in milliseconds, less than {@code everyMs}
 * @param withinMs time from the start to the deadline, in milliseconds, at most {@code everyMs}
 * @param runtimeMs declared run time in milliseconds, an unverified estimate, at most {@code withinMs}
 * @param declared declared size, an unverified estimate
 * @param cost cost of one run in the budget's smallest unit
 * @param task task specification that the worker runs
 * @param member member that requested the rule
 * @param text canonical line
 * @param line number of the line, from 1
 */
public record BatchRule(
        String name,
        String region,
        long everyMs,
        long atMs,
        long withinMs,
        long runtimeMs,
        Resources declared,
        long cost,
        String task,
        Member member,
        String text,
        int line)
        implements Rule {
    /**
     * Maximum number of runs that one lookup returns, which bounds a lookup of a long time range with a short interval.
     */
    public static final int MAX_RUNS = 10_000;

    @Override
    public String uniqueKey() {
        return "work " + name;
    }

    /**
     * Finds the runs that start in {@code [fromMs, toMs)}, UTC milliseconds, in order; the first {@link #MAX_RUNS}
     * if there are more. There are no runs before the epoch.
     */
    public List<BatchRun> findRuns(long fromMs, long toMs) {
        List<BatchRun> runs = new ArrayList<>();
        long run = fromMs <= atMs ? 0 : Math.ceilDiv(fromMs - atMs, everyMs);
        while (runs.size() < MAX_RUNS && run <= (Long.MAX_VALUE - atMs - withinMs) / everyMs) {
            long startMs = run * everyMs + atMs;
            if (startMs >= toMs) {
                break;
            }
            runs.add(new BatchRun(run, startMs, startMs + withinMs));
            run++;
        }
        return runs;
    }
}
