import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** Writes what was sent, answered and run, with the time since the start in milliseconds. Thread-safe. */
final class Record {
    private static final int REPEATS_SHOWN = 3;

    private final long startedAtMs = System.currentTimeMillis();
    private final PrintWriter out;
    private final Map<String, Integer> counts = new HashMap<>();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long elapsedMs() {
        return System.currentTimeMillis() - startedAtMs;
    }

    synchronized void line(String text) {
        out.printf("%7d %s%n", elapsedMs(), text);
    }

    /** Writes the first lines of a kind and counts the others. */
    synchronized void count(String kind, String details) {
        if (counts.merge(kind, 1, Integer::sum) <= REPEATS_SHOWN) {
            line(kind + ": " + details);
        }
    }

    synchronized int counted(String kind) {
        return counts.getOrDefault(kind, 0);
    }

    synchronized void summary() {
        counts.forEach((kind, count) -> line("counted " + count + " times: " + kind));
    }
}
