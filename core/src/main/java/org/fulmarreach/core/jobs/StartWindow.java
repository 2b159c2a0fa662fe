package org.fulmarreach.core.jobs;

import java.util.HashMap;
import java.util.Map;

import org.fulmarreach.core.model.Utf8;

/**
 * Starts under way to one worker, whose runs are not listed yet. Their number and their bytes are bounded: a guard
 * hands over a few starts at a time, and those that wait behind them would be repeated and withdrawn. A job may use as
 * much as it leaves free, so that a large one leaves room for the starts of others. Not thread-safe.
 */
final class StartWindow {
    /** A guard hands over this many within the interval of its reports. */
    static final int MAX_STARTS = 256;

    /** Guards behind a link of 21 Mbit/s receive four times as much in a second. */
    static final long MAX_BYTES = 512 * 1024;

    private final Map<Job, Use> uses = new HashMap<>();
    private int starts;
    private long bytes;

    private record Use(int starts, long bytes) {
        private static final Use NONE = new Use(0, 0);
    }

    /** Tells whether another start of a job may be ordered. */
    boolean admits(Job job) {
        Use own = uses.getOrDefault(job, Use.NONE);
        return own.starts() < MAX_STARTS - starts && own.bytes() < MAX_BYTES - bytes;
    }

    void add(JobTask task) {
        long taskBytes = task.job().payloadBytes() + Utf8.length(task.state().checkpoint());
        starts++;
        bytes += taskBytes;
        uses.merge(
                task.job(),
                new Use(1, taskBytes),
                (one, other) -> new Use(one.starts() + other.starts(), one.bytes() + other.bytes()));
    }

    void clear() {
        uses.clear();
        starts = 0;
        bytes = 0;
    }
}
