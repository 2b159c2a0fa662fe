package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmarreach.core.jobs.DecisionLog.Decision;

/**
 * Records the states of tasks, at most a number of lines in each check: one for a new state of a task, and the next one
 * when the state has changed. A line that is left out stays due, and the next line has their number. Not thread-safe.
 */
final class TaskStateLog {
    /** Minimum interval between two lines of a task. */
    static final long REPEAT_MS = 2_000;

    private final DecisionLog log;
    private final Decision decision;
    private final int maxLinesPerCheck;
    private final Map<JobTask, Line> last = new HashMap<>();
    private int lines;
    private int omitted;
    private int unreported;

    private record Line(String state, long atMs) {}

    TaskStateLog(DecisionLog log, Decision decision, int maxLinesPerCheck) {
        this.log = log;
        this.decision = decision;
        this.maxLinesPerCheck = maxLinesPerCheck;
    }

    /** Begins a check; lines of tasks that are not in {@code present} are forgotten. */
    void beginCheck(Set<JobTask> present) {
        last.keySet().retainAll(present);
        unreported = Math.max(unreported, omitted);
        omitted = 0;
        lines = 0;
    }

    /** Tells whether the last line of a task is so recent that no other one may follow yet. */
    boolean isRecent(JobTask task, long nowMs) {
        Line line = last.get(task);
        return line != null && nowMs - line.atMs() < REPEAT_MS;
    }

    /** Records the state of a task if it differs from that of its last line, which is not recent. */
    void offer(JobTask task, String state, long nowMs, List<Object> fields) {
        Line line = last.get(task);
        if (line != null && (line.state().equals(state) || nowMs - line.atMs() < REPEAT_MS)) {
            return;
        }
        if (lines >= maxLinesPerCheck) {
            omitted++;
            return;
        }
        lines++;
        last.put(task, new Line(state, nowMs));
        List<Object> all = new ArrayList<>(fields);
        if (unreported > 0) {
            all.add("omittedLines");
            all.add(unreported);
            unreported = 0;
        }
        log.record(decision, task.name().toString(), all.toArray());
    }
}
