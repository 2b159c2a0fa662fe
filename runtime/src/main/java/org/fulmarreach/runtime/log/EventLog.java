package org.fulmarreach.runtime.log;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogSite;
import com.google.common.flogger.LogSites;

/**
 * Writes numbered events as {@code event=3204 name=BUDGET_EXHAUSTED key=value ...} through Flogger. Thread-safe.
 */
public final class EventLog {
    /** Other processes and writers determine many values, and thousands of lines may wait for the writer. */
    private static final int MAX_VALUE_CHARS = 4_000;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * The place of the log statement, which is not written. Flogger would otherwise capture the caller's stack for each
     * line, at a cost that grows with its depth.
     */
    private static final LogSite LOG_SITE = LogSites.logSite();

    private final String process;

    /**
     * Constructs the log of one process.
     *
     * @param process id of the entry or guard, written with each event
     */
    public EventLog(String process) {
        this.process = process;
    }

    /**
     * Writes an event.
     *
     * @param event kind of event
     * @param fields alternating keys and values; a value that is empty or contains spaces, control characters, quotes,
     *     equals signs or backslashes is quoted, and a value of more than 4,000 characters is cut
     */
    public void emit(Event event, Object... fields) {
        if (!LOGGER.at(event.level()).isEnabled()) {
            return;
        }
        StringBuilder line = new StringBuilder(128);
        line.append("event=").append(event.number()).append(" name=").append(event.name());
        line.append(" process=").append(process);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=');
            appendValue(line, cut(String.valueOf(fields[i + 1])));
        }
        LOGGER.at(event.level()).withInjectedLogSite(LOG_SITE).log("%s", line);
    }

    private static String cut(String value) {
        return value.length() <= MAX_VALUE_CHARS
                ? value
                : value.substring(0, MAX_VALUE_CHARS) + "... (" + value.length() + " characters)";
    }

    private static void appendValue(StringBuilder line, String value) {
        boolean plain = !value.isEmpty();
        for (int i = 0; i < value.length() && plain; i++) {
            char c = value.charAt(i);
            plain = c > ' ' && c != '"' && c != '=' && c != '\\';
        }
        if (plain) {
            line.append(value);
            return;
        }
        line.append('"');
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            switch (c) {
                case '"' -> line.append("\\\"");
                case '\\' -> line.append("\\\\");
                case '\n' -> line.append("\\n");
                case '\r' -> line.append("\\r");
                default -> line.append(c);
            }
        }
        line.append('"');
    }
}
