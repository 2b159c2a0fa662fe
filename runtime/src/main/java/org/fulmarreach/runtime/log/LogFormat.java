package org.fulmarreach.runtime.log;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Locale;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Formats log records as one line of key=value pairs with time and level, on standard error. Thread-safe. */
public final class LogFormat extends Formatter {
    @Override
    public String format(LogRecord logRecord) {
        Instant time = logRecord.getInstant().truncatedTo(ChronoUnit.MILLIS);
        String line = "ts=" + time + " level=" + logRecord.getLevel().getName().toLowerCase(Locale.ROOT) + " "
                + formatMessage(logRecord);
        Throwable thrown = logRecord.getThrown();
        return thrown == null ? line + "\n" : line + " cause=\"" + thrown + "\"\n";
    }

    /**
     * Installs this format on the root logger.
     *
     * @param level lowest level that is written
     */
    public static void install(Level level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Handler console = new ConsoleHandler();
        console.setFormatter(new LogFormat());
        console.setLevel(level);
        root.addHandler(console);
        root.setLevel(level);
    }
}
