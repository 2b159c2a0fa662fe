package org.fulmarreach.runtime.net;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.stream.javadsl.Tcp;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * A bound HTTP listener. Thread-safe.
 *
 * <p>{@link #drain} does not use {@code ServerBinding.terminate} of the HTTP library. That closes connections without
 * an answer whose request has arrived but was not parsed yet, answers pending requests itself at its deadline, and
 * completes before the last answers have been written.
 */
public final class HttpBinding {
    private static final Duration POLL = Duration.ofMillis(10);

    private final ActorSystem<?> system;
    private final Tcp.ServerBinding binding;
    private final HttpConnections connections;
    private final MonotonicClock clock;

    HttpBinding(ActorSystem<?> system, Tcp.ServerBinding binding, HttpConnections connections, MonotonicClock clock) {
        this.system = system;
        this.binding = binding;
        this.connections = connections;
        this.clock = clock;
    }

    /** Returns the address that the listener is bound to. */
    public InetSocketAddress localAddress() {
        return binding.localAddress();
    }

    /**
     * Stops the listener. It accepts and answers requests until none has arrived for {@code quietMs}, or until
     * {@code acceptMs} have passed. Then it closes, and each connection is closed as soon as no request is in progress
     * on it and nothing has arrived for {@code quietMs}.
     *
     * @param quietMs time without a request after which the listener closes
     * @param acceptMs time after which the listener closes in any case
     * @param timeoutMs time after which the drain ends, even if requests are in progress
     * @return completes with the number of connections that still had a request in progress
     */
    public CompletionStage<Integer> drain(long quietMs, long acceptMs, long timeoutMs) {
        long startedAtMs = clock.nowMs();
        CompletableFuture<Integer> drained = new CompletableFuture<>();
        awaitQuiet(new Deadlines(quietMs, startedAtMs + acceptMs, startedAtMs + timeoutMs), drained);
        return drained;
    }

    private void awaitQuiet(Deadlines deadlines, CompletableFuture<Integer> drained) {
        boolean isQuiet = connections.quietMs() >= deadlines.quietMs() && connections.countInProgress() == 0;
        if (isQuiet || clock.nowMs() >= deadlines.acceptUntilMs()) {
            binding.unbind().whenComplete((done, failure) -> {
                if (failure != null) {
                    system.log().warn("The listener at {} could not be closed.", binding.localAddress(), failure);
                }
                awaitConnections(deadlines, drained);
            });
        } else {
            schedule(() -> awaitQuiet(deadlines, drained));
        }
    }

    /** Waits once more for quiet: connections may have been accepted just before the listener closed. */
    private void awaitConnections(Deadlines deadlines, CompletableFuture<Integer> drained) {
        if (connections.countAwaited() == 0 && connections.quietMs() >= deadlines.quietMs()
                || clock.nowMs() >= deadlines.endAtMs()) {
            drained.complete(connections.countInProgress());
            return;
        }
        if (connections.quietMs() >= deadlines.quietMs()) {
            connections.closeIdle();
        }
        schedule(() -> awaitConnections(deadlines, drained));
    }

    private void schedule(Runnable action) {
        system.scheduler().scheduleOnce(POLL, action, system.executionContext());
    }

    private record Deadlines(long quietMs, long acceptUntilMs, long endAtMs) {}
}
