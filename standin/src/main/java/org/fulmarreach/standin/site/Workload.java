package org.fulmarreach.standin.site;

/**
 * What the tasks of a job do. It is written into the specification of the job, because the platform's calls tell a
 * worker nothing else of a task.
 *
 * @param kind kind of the tasks
 * @param workMs work of each task in milliseconds; without meaning for tasks that run until they are stopped
 * @param count number of tasks
 */
public record Workload(Kind kind, long workMs, int count) {
    /** Capacity that each task takes. */
    public static final int MILLI_CORES = 500;

    /** Kinds of tasks. */
    public enum Kind {
        /** Works for its time. */
        PLAIN,
        /** Works for its time once all members of the run are present. */
        GANG,
        /** Works for its time and saves its progress. */
        CHECKPOINTING,
        /** Works until it is stopped. */
        LONG_RUNNING
    }

    /** Returns the specification of the job. */
    public String specification() {
        return kind + " " + workMs + " " + count;
    }

    /** Reads a specification. */
    static Workload parse(String specification) {
        String[] words = specification.split(" ");
        return new Workload(Kind.valueOf(words[0]), Long.parseLong(words[1]), Integer.parseInt(words[2]));
    }
}
