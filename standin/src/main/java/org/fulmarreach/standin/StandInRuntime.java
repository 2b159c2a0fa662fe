package org.fulmarreach.standin;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import org.apache.pekko.actor.ActorSystem;

import com.typesafe.config.ConfigFactory;

/**
 * Resources shared by the stand-ins of one process.
 *
 * @param system actor system of the HTTP servers and clients
 * @param timer single-threaded timer
 */
record StandInRuntime(ActorSystem system, ScheduledExecutorService timer) implements AutoCloseable {
    /**
     * Few threads, and no request timeout, because a stand-in can be configured to leave requests without a response.
     */
    private static final String CONFIG = """
            pekko.actor.default-dispatcher.fork-join-executor { parallelism-min = 2, parallelism-max = 4 }
            pekko.actor.internal-dispatcher.fork-join-executor { parallelism-min = 1, parallelism-max = 2 }
            pekko.loglevel = WARNING
            pekko.log-dead-letters = off
            pekko.daemonic = on
            pekko.jvm-exit-on-fatal-error = on
            pekko.coordinated-shutdown.run-by-jvm-shutdown-hook = off
            pekko.http.server { request-timeout = infinite, idle-timeout = infinite }
            pekko.http.server.parsing.max-content-length = 16m
            """;

    static StandInRuntime start() {
        ActorSystem system =
                ActorSystem.create("standin", ConfigFactory.parseString(CONFIG).withFallback(ConfigFactory.load()));
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().daemon().name("standin-timer").factory());
        return new StandInRuntime(system, timer);
    }

    /** Returns a monotonic clock in milliseconds that starts near 0. */
    static java.util.function.LongSupplier monotonicMs() {
        long originNanos = System.nanoTime();
        return () -> (System.nanoTime() - originNanos) / 1_000_000;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        system.terminate();
    }
}
