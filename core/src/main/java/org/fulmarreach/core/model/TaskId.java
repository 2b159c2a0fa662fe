package org.fulmarreach.core.model;

import java.util.Optional;

/**
 * Identifies one execution of a unit of work. Immutable.
 *
 * @param work name of the rule that defines the work
 * @param run number of the scheduled run; 0 for standing work
 * @param epoch number of the assignment, from 1; each reassignment of the same run has a higher epoch
 */
public record TaskId(String work, long run, long epoch) {
    /** Returns the id of the same run under the given epoch. */
    public TaskId withEpoch(long newEpoch) {
        return new TaskId(work, run, newEpoch);
    }

    /** Returns the text form of this id at the worker agent, {@code work.run.epoch}. */
    public String toAgentId() {
        return work + "." + run + "." + epoch;
    }

    /** Parses the text form used at the worker agent; empty if the text is not an id of this system. */
    public static Optional<TaskId> parseAgentId(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != 3 || parts[0].isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(new TaskId(parts[0], Long.parseLong(parts[1]), Long.parseLong(parts[2])));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
