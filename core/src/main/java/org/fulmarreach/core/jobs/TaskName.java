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

    /** Parses the form {@code JOB.OCCURRENCE.STEP.INDEX}; returns empty if the text does not have this form. */
    public static Optional<TaskName> parse(String text) {
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
