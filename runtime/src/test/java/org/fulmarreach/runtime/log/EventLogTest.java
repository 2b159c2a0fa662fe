package org.fulmarreach.runtime.log;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against values with spaces, quotes or line breaks that split a log line or forge another one. */
class EventLogTest {
    @Test
    void valuesAreQuotedSoThatOneEventStaysOneLine() {
        List<String> lines = new ArrayList<>();
        Handler handler = new CollectingHandler(lines);
        Logger logger = Logger.getLogger(EventLog.class.getName());
        logger.addHandler(handler);
        try {
            new EventLog("entry-1").emit(RuntimeEvent.STOPPED, "reason", "a \"b\"\nevent=1", "count", 3);
        } finally {
            logger.removeHandler(handler);
        }
        assertEquals(
                List.of("event=1004 name=STOPPED process=entry-1 reason=\"a \\\"b\\\"\\nevent=1\" count=3"), lines);
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
