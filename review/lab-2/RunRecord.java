import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Record of what was sent, answered and run, in {@code record.txt}. Thread-safe. */
final class RunRecord {
    /** Runs of large jobs are counted and not listed beyond this number. */
    private static final int MAX_LISTED_RUNS = 300;

    private final long startedAtMs = System.currentTimeMillis();
    private final PrintWriter out;
    private final List<Span> spans = new ArrayList<>();

    RunRecord(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Time from the start to the end of a run. */
    final class Span {
        final String task;
        final int run;
        final String lifetime;
        final long beginMs = System.currentTimeMillis();
        private final boolean listed;
        private long endMs = Long.MAX_VALUE;
        private String how = "";

        private Span(String task, int run, String lifetime, boolean listed) {
            this.task = task;
            this.run = run;
            this.lifetime = lifetime;
            this.listed = listed;
        }

        void end(String how) {
            synchronized (RunRecord.this) {
                endMs = System.currentTimeMillis();
                this.how = how;
                if (listed) {
                    write("run " + task + "#" + run + " ends " + how + " on " + lifetime);
                }
            }
        }

        boolean isStopped() {
            return how.equals("stopped");
        }

        boolean isLost() {
            return how.equals("lost");
        }

        long endMs() {
            return endMs;
        }
    }

    synchronized void write(String line) {
        out.printf("%8d ms  %s%n", System.currentTimeMillis() - startedAtMs, line);
    }

    synchronized Span begin(String task, int run, String lifetime) {
        Span span = new Span(task, run, lifetime, spans.size() < MAX_LISTED_RUNS);
        spans.add(span);
        if (span.listed) {
            write("run " + task + "#" + run + " starts on " + lifetime);
        }
        return span;
    }

    synchronized List<Span> spans() {
        return List.copyOf(spans);
    }

    /** Returns the runs of one task that were at work at the same time, and for how long. */
    synchronized List<String> findOverlaps() {
        List<String> overlaps = new ArrayList<>();
        for (int i = 0; i < spans.size(); i++) {
            for (int j = i + 1; j < spans.size(); j++) {
                Span one = spans.get(i);
                Span other = spans.get(j);
                long fromMs = Math.max(one.beginMs, other.beginMs);
                long toMs = Math.min(Math.min(one.endMs, other.endMs), System.currentTimeMillis());
                if (one.task.equals(other.task) && toMs > fromMs) {
                    overlaps.add(one.task + " runs " + one.run + " on " + one.lifetime + " and " + other.run + " on "
                            + other.lifetime + ": " + (toMs - fromMs) + " ms at the same time");
                }
            }
        }
        return overlaps;
    }
}
