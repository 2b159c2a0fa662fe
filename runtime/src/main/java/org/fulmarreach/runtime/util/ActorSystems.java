package org.fulmarreach.runtime.util;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Behavior;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;

/** Constructs actor systems with a bounded number of threads. Stateless. */
public final class ActorSystems {
    private static final int DEFAULT_TICK_MS = 10;

    private ActorSystems() {}

    /**
     * Constructs an actor system.
     *
     * @param root behavior of the guardian actor
     * @param name name of the system
     * @param threads number of threads of the dispatcher that all actors share; the blocking dispatcher has one thread
     * @param <T> type of the messages of the guardian actor
     */
    public static <T> ActorSystem<T> construct(Behavior<T> root, String name, int threads) {
        return construct(root, name, threads, DEFAULT_TICK_MS);
    }

    /**
     * Constructs an actor system with a given timer resolution.
     *
     * @param root behavior of the guardian actor
     * @param name name of the system
     * @param threads number of threads of the dispatcher that all actors share; the blocking dispatcher has one thread
     * @param tickMs resolution of timers in milliseconds; each tick wakes up a thread, even if no timer is due
     * @param <T> type of the messages of the guardian actor
     */
    public static <T> ActorSystem<T> construct(Behavior<T> root, String name, int threads, int tickMs) {
        return ActorSystem.create(root, name, constructConfig(threads, tickMs));
    }

    private static Config constructConfig(int threads, int tickMs) {
        String text = """
                pekko {
                  loglevel = "WARNING"
                  stdout-loglevel = "WARNING"
                  log-dead-letters = off
                  log-dead-letters-during-shutdown = off
                  jvm-shutdown-hooks = off
                  coordinated-shutdown.run-by-jvm-shutdown-hook = off
                  coordinated-shutdown.exit-jvm = off
                  actor.default-dispatcher {
                    executor = "fork-join-executor"
                    fork-join-executor { parallelism-min = %1$d, parallelism-max = %1$d, parallelism-factor = 1.0 }
                  }
                  # No actor blocks, and a message between dispatchers would wake up another thread.
                  actor.internal-dispatcher = "pekko.actor.default-dispatcher"
                  actor.default-blocking-io-dispatcher.thread-pool-executor.fixed-pool-size = 1
                  io.tcp.direct-buffer-size = 16 KiB
                  io.tcp.direct-buffer-pool-limit = 16
                  scheduler.tick-duration = %2$dms
                }
                """.formatted(threads, tickMs);
        return ConfigFactory.parseString(text).withFallback(ConfigFactory.load());
    }
}
