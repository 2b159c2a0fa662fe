package org.fulmarreach.core.jobs;

import java.util.Optional;

/**
 * Identity of a task. Immutable.
 *
 * @param jobId id of the job; contains no dot
 * @param occurrence number of the occurrence, from 0
 * @param step number of the step, from 0
 * @param index number within the step, from 0
 */
public record TaskName(String jobId, int occurrence, int step, int index) {
    private static final int PARTS = 4;
    private static final int RADIX = 10;

    /** Parses the form {@code JOB.OCCURRENCE.STEP.INDEX}; returns empty if the text does not have this form. */
    public static Optional<TaskName> parse(String text) {
        int first = text.indexOf('.');
        int second = text.indexOf('.', first + 1);
        int third = text.indexOf('.', second + 1);
        boolean plain = first >= 0 && second > first && third > second && text.indexOf('.', third + 1) < 0;
        return plain ? parsePlain(text, first, second, third) : parseOdd(text);
    }

    /** Each report lists all tasks of a worker, so the names of the usual form are parsed without copies. */
    private static Optional<TaskName> parsePlain(String text, int first, int second, int third) {
        try {
            return Optional.of(new TaskName(
                    text.substring(0, first),
                    Integer.parseInt(text, first + 1, second, RADIX),
                    Integer.parseInt(text, second + 1, third, RADIX),
                    Integer.parseInt(text, third + 1, text.length(), RADIX)));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** Dots at the end are ignored. */
    private static Optional<TaskName> parseOdd(String text) {
        String[] parts = text.split("\\.");
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new TaskName(
                    parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]), Integer.parseInt(parts[3])));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return jobId + "." + occurrence + "." + step + "." + index;
    }
}
