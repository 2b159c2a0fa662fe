package org.fulmarreach.runtime.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log records to an output stream on a separate thread. The queue is bounded and publishing never blocks: a line
 * that does not fit is dropped and counted, and the count is logged after the next line that is written. Thread-safe.
 */
public final class BoundedLogHandler extends Handler {
    /** Holds a burst of a few thousand decisions, about 1 MB. */
    private static final int MAX_LINES = 4_096;

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream out;

    /**
     * Constructs a handler and starts its thread.
     *
     * @param out stream that the lines go to
     */
    public BoundedLogHandler(PrintStream out) {
        this.out = out;
        setFormatter(new LogFormat());
        Thread writer = new Thread(this::writeLines, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Installs a handler for standard output on the root logger, in place of all others.
     *
     * @param level lowest level that is written
     * @return the handler
     */
    public static BoundedLogHandler install(Level level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        BoundedLogHandler handler = new BoundedLogHandler(System.out);
        handler.setLevel(level);
        root.addHandler(handler);
        root.setLevel(level);
        return handler;
    }

    /** Returns the number of lines dropped so far. */
    public long droppedLines() {
        return dropped.get();
    }

    @Override
    public void publish(LogRecord logRecord) {
        if (isLoggable(logRecord) && !lines.offer(getFormatter().format(logRecord))) {
            dropped.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        String line = lines.poll();
        while (line != null) {
            write(line);
            line = lines.poll();
        }
        out.flush();
    }

    @Override
    public void close() {
        flush();
    }

    private void writeLines() {
        long reported = 0;
        try {
            while (true) {
                write(lines.take());
                long total = dropped.get();
                if (total != reported) {
                    write("level=warning event=1006 name=LOG_LINES_DROPPED dropped=" + (total - reported) + "\n");
                    reported = total;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(String line) {
        byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        out.write(bytes, 0, bytes.length);
    }
}
