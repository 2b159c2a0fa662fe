package org.fulmarreach.standin.site;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the workers ran, whatever the leader believes, and the checks that no task runs twice and that none starts from
 * a checkpoint of another one. It also decides when runs end by themselves, as members of a gang end together on some
 * workers. Thread-safe.
 */
public final class RunHistory {
    private static final int GANG_WAIT_MS = 3_000;
    private static final int CHECKPOINT_INTERVAL_MS = 500;
    private static final int RESTORE_MS = 100;

    private final Map<String, List<Run>> runsByTask = new LinkedHashMap<>();
    private final Map<String, Gang> gangs = new HashMap<>();
    private final Map<String, Long> progressMsByCheckpoint = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final long beganAtMs = System.currentTimeMillis();

    /** The members of one run of a gang that have started and not ended. */
    private static final class Gang {
        private final Set<Run> present = new HashSet<>();
        private long workingSinceMs;
        private boolean done;
    }

    /** A run of a task on one lifetime of a worker. */
    final class Run {
        private final String task;
        private final int number;
        private final String worker;
        private final Workload workload;
        private final Gang gang;
        private final long resumedMs;
        private final long startedAtMs = System.currentTimeMillis();
        private String saved;
        private long savedMs;
        private boolean broken;
        private long endedAtMs;
        private String how = "running";
        private boolean noted;
        private boolean excused;

        private Run(String task, int number, String worker, Workload workload, String checkpoint) {
            this.task = task;
            this.number = number;
            this.worker = worker;
            this.workload = workload;
            saved = checkpoint;
            resumedMs = progressMsByCheckpoint.getOrDefault(task + " " + checkpoint, 0L);
            savedMs = resumedMs;
            gang = workload.kind() == Workload.Kind.GANG
                    ? gangs.computeIfAbsent(step(task) + " " + number, unused -> new Gang())
                    : null;
        }

        String task() {
            return task;
        }

        int number() {
            return number;
        }

        /** Returns the newest checkpoint; empty without one. */
        String saved() {
            synchronized (RunHistory.this) {
                return saved;
            }
        }

        /** Returns whether the other members of the gang have ended done, which this one then does too. */
        boolean isGangDone() {
            synchronized (RunHistory.this) {
                return gang != null && gang.done;
            }
        }

        /** Saves the progress when it is time, and returns how the run ends by itself now; null if it goes on. */
        String findOwnEnd() {
            synchronized (RunHistory.this) {
                long doneMs = workedMs();
                if (workload.kind() == Workload.Kind.CHECKPOINTING && doneMs - savedMs >= CHECKPOINT_INTERVAL_MS) {
                    save(doneMs);
                }
                if (broken) {
                    return "broken";
                }
                if (gang != null && gang.workingSinceMs == 0) {
                    return System.currentTimeMillis() - startedAtMs < GANG_WAIT_MS ? null : "alone";
                }
                boolean done = workload.kind() != Workload.Kind.LONG_RUNNING && doneMs >= workload.workMs();
                if (done && gang != null) {
                    gang.done = true;
                }
                return done ? "done" : null;
            }
        }

        /** Returns the share of the work that is done; 100 for a task without an end. */
        long percent() {
            synchronized (RunHistory.this) {
                return workload.kind() == Workload.Kind.LONG_RUNNING
                        ? 100
                        : Math.min(99, 100 * workedMs() / workload.workMs());
            }
        }

        private long workedMs() {
            long nowMs = System.currentTimeMillis();
            if (gang != null) {
                return gang.workingSinceMs == 0 ? 0 : nowMs - gang.workingSinceMs;
            }
            return resumedMs + Math.max(0, nowMs - startedAtMs - (resumedMs > 0 ? RESTORE_MS : 0));
        }

        private void save(long progressMs) {
            savedMs = progressMs;
            saved = String.format("%08x%08x", progressMs, progressMsByCheckpoint.size());
            progressMsByCheckpoint.put(task + " " + saved, progressMs);
        }

        String how() {
            return how;
        }

        private StandingGaps.Span span() {
            return new StandingGaps.Span(startedAtMs, endedAtMs == 0 ? Long.MAX_VALUE : endedAtMs);
        }

        void end(String newHow) {
            synchronized (RunHistory.this) {
                how = newHow;
                endedAtMs = System.currentTimeMillis();
                if (how.equals("stopped") && workload.kind() == Workload.Kind.CHECKPOINTING) {
                    save(workedMs());
                }
                if (gang != null && gang.present.remove(this) && !gang.done) {
                    gang.present.forEach(member -> member.broken = true);
                }
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

    /** Records a start; a run beside another one of the task and an unknown checkpoint are violations. */
    synchronized Run start(String task, int number, String worker, Workload workload, String checkpoint) {
        Run started = new Run(task, number, worker, workload, checkpoint);
        if (!checkpoint.isEmpty() && !progressMsByCheckpoint.containsKey(task + " " + checkpoint)) {
            violations.add("UNASKED not a checkpoint of the task: " + checkpoint + " for " + started);
        }
        List<Run> earlier = runsByTask.computeIfAbsent(task, unused -> new ArrayList<>());
        for (Run run : earlier) {
            if (run.endedAtMs == 0) {
                violations.add("TWICE two runs at once: " + started + " beside " + run);
            }
        }
        earlier.add(started);
        if (started.gang != null) {
            started.gang.present.add(started);
            if (started.gang.present.size() == workload.count()) {
                started.gang.workingSinceMs = started.startedAtMs;
            }
        }
        return started;
    }

    /** Returns the violations, also starts after an end that was taken note of at any time. */
    public synchronized List<String> findViolations() {
        List<String> found = new ArrayList<>(violations);
        Map<String, List<Run>> runsByEnd = new LinkedHashMap<>();
        // One end of a gang's member represents all of them.
        runsByTask.forEach((task, runs) -> runs.forEach(run -> runsByEnd
                .computeIfAbsent(run.gang == null ? task : step(task), unused -> new ArrayList<>())
                .add(run)));
        for (List<Run> runs : runsByEnd.values()) {
            for (Run run : runs) {
                for (Run other : runs) {
                    boolean afterDone = other.how.equals("done") && other.noted && !other.excused;
                    if (run != other && afterDone && run.startedAtMs > other.endedAtMs) {
                        found.add("TWICE start after a noted end: " + run + " after " + other);
                    }
                }
            }
        }
        return found;
    }

    /** Returns the runs that go on, of the tasks whose names begin so. */
    public synchronized List<String> findRunning(String prefix) {
        return runsByTask.values().stream()
                .flatMap(List::stream)
                .filter(run -> run.endedAtMs == 0 && run.task.startsWith(prefix))
                .map(Run::toString)
                .toList();
    }

    /** Returns the use of the workers by all runs. */
    public synchronized List<StandingGaps.Run> listRuns() {
        return runsByTask.values().stream()
                .flatMap(List::stream)
                .map(run -> new StandingGaps.Run(run.worker, Workload.MILLI_CORES, run.span()))
                .toList();
    }

    /** Returns the times in which a task was at work. */
    public synchronized List<StandingGaps.Span> findSpans(String task) {
        return runsByTask.getOrDefault(task, List.of()).stream().map(Run::span).toList();
    }

    /** Returns the times in which tasks of a job were at work. */
    public synchronized List<StandingGaps.Span> findSpansOfJob(String id) {
        return runsByTask.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(id + "."))
                .flatMap(entry -> entry.getValue().stream())
                .map(Run::span)
                .toList();
    }

    /** Returns the moment from which the times of the printed runs are counted, in Unix milliseconds. */
    public long beganAtMs() {
        return beganAtMs;
    }

    private static String step(String task) {
        return task.substring(0, task.lastIndexOf('.'));
    }

    /** Returns the number of starts. */
    public synchronized int starts() {
        return runsByTask.values().stream().mapToInt(List::size).sum();
    }
}
