package org.fulmarreach.standin.site;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What the workers ran, whatever the leader believes, and the check that no task runs twice. Thread-safe. */
public final class RunHistory {
    private final Map<String, List<Run>> runsByTask = new LinkedHashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final long beganAtMs = System.currentTimeMillis();

    /** A run of a task on one lifetime of a worker. */
    final class Run {
        private final String task;
        private final int number;
        private final String worker;
        private final long workMs;
        private final long startedAtMs = System.currentTimeMillis();
        private long endedAtMs;
        private String how = "running";
        private boolean noted;
        private boolean excused;

        private Run(String task, int number, String worker, long workMs) {
            this.task = task;
            this.number = number;
            this.worker = worker;
            this.workMs = workMs;
        }

        String task() {
            return task;
        }

        int number() {
            return number;
        }

        long workMs() {
            return workMs;
        }

        long startedAtMs() {
            return startedAtMs;
        }

        String how() {
            return how;
        }

        void end(String newHow) {
            synchronized (RunHistory.this) {
                how = newHow;
                endedAtMs = System.currentTimeMillis();
            }
        }

        /** Records that the end was taken note of; returns true. */
        boolean note() {
            synchronized (RunHistory.this) {
                noted = true;
            }
            return true;
        }

        /** Records that the lease of the worker lapsed before the end was taken note of. */
        void excuse() {
            synchronized (RunHistory.this) {
                excused |= !noted;
            }
        }

        @Override
        public String toString() {
            return task + " run " + number + " on " + worker + " at " + (startedAtMs - beganAtMs) + " ms, " + how
                    + (endedAtMs > 0 ? " at " + (endedAtMs - beganAtMs) + " ms" : "") + (noted ? ", noted" : "");
        }
    }

    /** Records a start; a run beside another one of the task is a violation. */
    synchronized Run start(String task, int number, String worker, long workMs) {
        Run started = new Run(task, number, worker, workMs);
        List<Run> earlier = runsByTask.computeIfAbsent(task, unused -> new ArrayList<>());
        for (Run run : earlier) {
            if (run.endedAtMs == 0) {
                violations.add("two runs at once: " + started + " beside " + run);
            }
        }
        earlier.add(started);
        return started;
    }

    /** Returns the violations, also starts after an end that was taken note of at any time. */
    public synchronized List<String> findViolations() {
        List<String> found = new ArrayList<>(violations);
        for (List<Run> runs : runsByTask.values()) {
            for (Run run : runs) {
                for (Run other : runs) {
                    boolean afterDone = other.how.equals("done") && other.noted && !other.excused;
                    if (run != other && afterDone && run.startedAtMs > other.endedAtMs) {
                        found.add("start after a noted end: " + run + " after " + other);
                    }
                }
            }
        }
        return found;
    }

    /** Returns the number of starts. */
    public synchronized int starts() {
        return runsByTask.values().stream().mapToInt(List::size).sum();
    }
}
