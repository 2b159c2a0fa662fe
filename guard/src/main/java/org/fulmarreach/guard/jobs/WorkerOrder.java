package org.fulmarreach.guard.jobs;

import org.fulmarreach.platform.worker.WorkerCalls.RunStartCall;

/** An order that is being carried out at the worker. */
sealed interface WorkerOrder {
    /** Returns the name of the task. */
    String task();

    /** Returns the number of the run. */
    int run();

    /** Returns how often it was sent before. */
    int attempt();

    /** Returns the same order, sent once more. */
    WorkerOrder again();

    /** Returns what identifies the run. */
    default String key() {
        return task() + "#" + run();
    }

    /**
     * Starts a run.
     *
     * @param call what the worker is told
     * @param attempt how often it was sent before
     * @param validUntilMs monotonic time up to which it may be sent; its job may be cancelled meanwhile
     */
    record Start(RunStartCall call, int attempt, long validUntilMs) implements WorkerOrder {
        @Override
        public String task() {
            return call.task();
        }

        @Override
        public int run() {
            return call.run();
        }

        @Override
        public WorkerOrder again() {
            return new Start(call, attempt + 1, validUntilMs);
        }
    }

    /** Stops a run. */
    record Stop(String task, int run, int attempt) implements WorkerOrder {
        @Override
        public WorkerOrder again() {
            return new Stop(task, run, attempt + 1);
        }
    }

    /** Sets the share at which a run works. */
    record Pace(String task, int run, int percent, int attempt) implements WorkerOrder {
        @Override
        public WorkerOrder again() {
            return new Pace(task, run, percent, attempt + 1);
        }
    }
}
