import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Judges TWICE: a start after a run of the task has ended done, if that end is taken note of then or later, and the
 * lease of its worker has not lapsed between the two. Thread-safe.
 */
final class Runs {
    private final Record record;
    private final Map<String, End> doneEnds = new HashMap<>();
    private final Map<String, List<String>> startsAfter = new HashMap<>();

    private static final class End {
        private final String worker;
        private final long run;
        private boolean noted;
        private boolean excused;

        End(String worker, long run) {
            this.worker = worker;
            this.run = run;
        }
    }

    Runs(Record record) {
        this.record = record;
    }

    synchronized void started(String task, long run, String worker) {
        End end = doneEnds.get(task);
        if (end != null) {
            startsAfter.computeIfAbsent(task, unused -> new ArrayList<>()).add("run " + run + " on " + worker);
            record.count("start after an end done", task + " run " + run + " on " + worker + ", after run " + end.run
                    + " had ended done on " + end.worker);
        }
    }

    synchronized void endedDone(String task, long run, String worker) {
        doneEnds.putIfAbsent(task, new End(worker, run));
    }

    /** Records that {@code last_seen} has reached the end of a run. */
    synchronized void noted(String task, long run, String worker) {
        End end = doneEnds.get(task);
        if (end != null && end.run == run && end.worker.equals(worker) && !end.noted && !end.excused) {
            end.noted = true;
            if (startsAfter.containsKey(task)) {
                record.count("end done is taken note of after another start", task + " run " + run + " on " + worker);
            }
        }
    }

    /** Records that the lease of a worker has lapsed, which excuses its ends that are not taken note of yet. */
    synchronized void lapsed(String worker) {
        for (End end : doneEnds.values()) {
            end.excused |= end.worker.equals(worker) && !end.noted;
        }
    }

    synchronized long countBroken() {
        return startsAfter.keySet().stream().filter(task -> doneEnds.get(task).noted).count();
    }
}
