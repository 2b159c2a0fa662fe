package org.fulmarreach.core.jobs;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

import org.fulmarreach.core.model.Resources;

/**
 * Runs that are no longer assigned to a worker but are still being stopped there: they take up capacity until the
 * worker lists their end. Not thread-safe.
 */
final class ReleasedRuns {
    /** Polls that the worker must answer without the run; the first one may have been answered before it began. */
    private static final int POLLS_UNTIL_ABSENT = 3;

    private final Map<Key, Released> runs = new HashMap<>();
    private Resources reserved = Resources.NONE;
    private long lastPollNumber;

    private record Key(String task, int run) {}

    private record Released(Resources reserved, int pollsWithout) {}

    /** Returns the resources that these runs take up. */
    Resources reserved() {
        return reserved;
    }

    void add(String task, int run, Resources taken) {
        if (runs.putIfAbsent(new Key(task, run), new Released(taken, 0)) == null) {
            reserved = reserved.plus(taken);
        }
    }

    /** Forgets all runs, since the lifetime of the worker that they ran on has ended. */
    void clear() {
        runs.clear();
        reserved = Resources.NONE;
    }

    /** Removes the runs that have ended according to a report of a worker that answers its guard. */
    void apply(WorkerReport report) {
        boolean newPoll = report.pollNumber() != lastPollNumber;
        lastPollNumber = report.pollNumber();
        if (runs.isEmpty() || !newPoll) {
            return;
        }
        Set<Key> running = new HashSet<>();
        report.running().forEach(run -> running.add(new Key(run.task(), run.run())));
        Set<Key> ended = new HashSet<>();
        report.ended().forEach(end -> ended.add(new Key(end.task(), end.run())));
        for (Iterator<Map.Entry<Key, Released>> each = runs.entrySet().iterator(); each.hasNext(); ) {
            Map.Entry<Key, Released> entry = each.next();
            Released released = entry.getValue();
            int without = running.contains(entry.getKey()) ? 0 : released.pollsWithout() + 1;
            if (ended.contains(entry.getKey()) || without >= POLLS_UNTIL_ABSENT) {
                reserved = reserved.minus(released.reserved());
                each.remove();
            } else {
                entry.setValue(new Released(released.reserved(), without));
            }
        }
    }
}
