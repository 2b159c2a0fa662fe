package org.fulmarreach.guard.jobs;

import org.fulmarreach.platform.worker.WorkerCalls.RunStartCall;

/** An order of the leader to the worker, with the number of its attempt. */
sealed interface WorkerOrder {
    /** Returns the name of the task. */
    String task();

    /** Returns the number of the run. */
    int run();

    /** Returns the number of earlier attempts to send the order. */
    int attempt();

    /** Returns the same order for the next attempt. */
    WorkerOrder nextAttempt();

    /** Returns a key that identifies the run within this worker. */
    default String key() {
        return key(task(), run());
    }

    /** Returns the key of a run. */
    static String key(String task, int run) {
        return task + "#" + run;
    }

    /**
     * Starts a run.
     *
     * @param call run to start
     * @param attempt number of earlier attempts
     * @param validUntilMs monotonic time until which it may be sent, since its job may be cancelled in the meantime
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
        public WorkerOrder nextAttempt() {
            return new Start(call, attempt + 1, validUntilMs);
        }
    }

    /** Stops a run. */
    record Stop(String task, int run, int attempt) implements WorkerOrder {
        @Override
        public WorkerOrder nextAttempt() {
            return new Stop(task, run, attempt + 1);
        }
    }

    /** Sets the share of its full speed at which a run works. */
    record SetCpuShare(String task, int run, int percent, int attempt) implements WorkerOrder {
        @Override
        public WorkerOrder nextAttempt() {
            return new SetCpuShare(task, run, percent, attempt + 1);
        }
    }
}
