package org.fulmarreach.core.work;

import org.fulmarreach.core.model.TaskId;

/**
 * Identifies one run of a unit of work. Immutable.
 *
 * @param work name of the rule
 * @param run number of the run; {@value #STANDING} for standing work
 */
public record RunKey(String work, long run) implements Comparable<RunKey> {
    /** Run number of standing work. Batch runs are numbered by intervals since the Unix epoch and are higher. */
    public static final long STANDING = 0;

    /** Returns the run that {@code task} belongs to. */
    public static RunKey of(TaskId task) {
        return new RunKey(task.work(), task.run());
    }

    /** Returns whether this is standing work. */
    public boolean standing() {
        return run == STANDING;
    }

    @Override
    public int compareTo(RunKey other) {
        int byWork = work.compareTo(other.work);
        return byWork != 0 ? byWork : Long.compare(run, other.run);
    }
}
