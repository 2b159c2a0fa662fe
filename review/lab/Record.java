package review.lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with the time since its start. Thread-safe. */
public final class Record {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the milliseconds since the start of the case. */
    public long nowMs() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    /** Writes a line. */
    public synchronized void line(String text) {
        out.printf("%8.3f %s%n", nowMs() / 1000.0, text);
        out.flush();
    }
}
