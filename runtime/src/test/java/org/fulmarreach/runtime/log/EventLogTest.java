package org.fulmarreach.runtime.log;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against values that split a log line, forge another one or exhaust the memory. */
class EventLogTest {
    @Test
    void valuesAreQuotedSoThatOneEventStaysOneLine() {
        assertEquals(
                "event=1004 name=STOPPED process=entry-1 reason=\"a \\\"b\\\"\\nevent=1\" count=3",
                emit("reason", "a \"b\"\nevent=1", "count", 3));
    }

    /**
     * A heartbeat of 4 MiB with an unknown state, or a record with an address of 256 KiB, went into the line as a
     * whole, and thousands of lines may wait for the writer.
     */
    @Test
    void longValueIsCut() {
        assertEquals(
                "event=1004 name=STOPPED process=entry-1 reason=\"" + "x".repeat(4_000)
                        + "... (3000000 characters)\" count=3",
                emit("reason", "x".repeat(3_000_000), "count", 3));
    }

    private static String emit(Object... fields) {
        List<String> lines = new ArrayList<>();
        Handler handler = new CollectingHandler(lines);
        Logger logger = Logger.getLogger(EventLog.class.getName());
        logger.addHandler(handler);
        try {
            new EventLog("entry-1").emit(RuntimeEvent.STOPPED, fields);
        } finally {
            logger.removeHandler(handler);
        }
        assertEquals(1, lines.size());
        return lines.get(0);
    }

    private static final class CollectingHandler extends Handler {
        private final List<String> lines;

        CollectingHandler(List<String> lines) {
            this.lines = lines;
        }

        @Override
        public void publish(LogRecord logRecord) {
            lines.add(new LogFormat().formatMessage(logRecord));
        }

        @Override
        public void flush() {
            // Nothing is buffered.
        }

        @Override
        public void close() {
            // Nothing to release.
        }
    }
}
