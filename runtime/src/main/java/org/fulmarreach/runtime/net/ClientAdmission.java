package org.fulmarreach.runtime.net;

import java.net.InetAddress;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.log.RuntimeEvent;
import org.fulmarreach.runtime.util.MonotonicClock;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;

/**
 * Shares the memory and the connections of a process among its clients. When they are used up, the source address that
 * holds most loses the connection that holds most and has progressed least. Connections with a request that an endpoint
 * works on are never chosen. One instance serves all listeners of a process. Thread-safe.
 */
public final class ClientAdmission {
    /** Why a client was refused or its connection was closed. */
    enum Reason {
        CONNECTIONS,
        MEMORY,
        MALFORMED,
        SLOW_REQUEST,
        UNREAD_ANSWER
    }

    /** Estimated memory of the streams of a connection. */
    static final int CONNECTION_BYTES = 24 * 1_024;

    /** Clients that were chosen may hold their memory a little longer; this part is for others in the meantime. */
    private static final int RESERVE_PARTS = 4;

    private static final long LOG_INTERVAL_MS = 5_000;

    private final ClientLimits limits;
    private final MonotonicClock clock;
    private final EventLog log;
    private final Set<Client> clients = ConcurrentHashMap.newKeySet();
    private final AtomicLong heldBytes = new AtomicLong();
    private final Map<Reason, LongAdder> refusals = new EnumMap<>(Reason.class);
    private final Map<Reason, AtomicLong> loggedAtMs = new EnumMap<>(Reason.class);

    /** Constructs the admission of a process. */
    public ClientAdmission(ClientLimits limits, MonotonicClock clock, EventLog log) {
        this.limits = limits;
        this.clock = clock;
        this.log = log;
        for (Reason reason : Reason.values()) {
            refusals.put(reason, new LongAdder());
            loggedAtMs.put(reason, new AtomicLong(clock.nowMs() - LOG_INTERVAL_MS));
        }
    }

    /** Returns the limits. */
    ClientLimits limits() {
        return limits;
    }

    /** Registers the memory in use, its limit, the connections, and the refusals by reason. */
    public void register(MeterRegistry meters) {
        Gauge.builder("fulmarreach.clients.bytes", heldBytes::get).register(meters);
        Gauge.builder("fulmarreach.clients.bytes.limit", limits::memoryBytes).register(meters);
        Gauge.builder("fulmarreach.clients.connections", clients::size).register(meters);
        refusals.forEach(
                (reason, count) -> FunctionCounter.builder("fulmarreach.clients.refused", count, LongAdder::sum)
                        .tag("reason", reason.name())
                        .register(meters));
    }

    /**
     * Admits a connection.
     *
     * @param listener listener that accepted it
     * @param maxConnections maximum number of connections of that listener
     * @param source address of the peer
     * @return the share of the connection; empty if it must be closed at once
     */
    Optional<Client> admit(Object listener, int maxConnections, InetAddress source) {
        // All listeners together have fewer connections most of the time, which is cheaper to tell.
        boolean hasRoom = clients.size() < maxConnections
                || countOpen(listener) < maxConnections
                || evict(null, client -> client.listener == listener ? 1 : 0, Reason.CONNECTIONS);
        Client client = new Client(listener, maxConnections, source);
        clients.add(client);
        if (hasRoom && client.reserve(CONNECTION_BYTES)) {
            return Optional.of(client);
        }
        client.ended();
        count(hasRoom ? Reason.MEMORY : Reason.CONNECTIONS, client);
        return Optional.empty();
    }

    private long countOpen(Object listener) {
        return clients.stream()
                .filter(client -> client.listener == listener && !client.isEvicted.get())
                .count();
    }

    private void count(Reason reason, Client client) {
        refusals.get(reason).increment();
        AtomicLong last = loggedAtMs.get(reason);
        long lastMs = last.get();
        long nowMs = clock.nowMs();
        if (nowMs - lastMs >= LOG_INTERVAL_MS && last.compareAndSet(lastMs, nowMs)) {
            log.emit(
                    RuntimeEvent.CLIENT_REFUSED,
                    "reason",
                    reason,
                    "source",
                    client.source.getHostAddress(),
                    "total",
                    refusals.get(reason).sum(),
                    "connections",
                    clients.size(),
                    "maxConnections",
                    client.maxConnections,
                    "heldBytes",
                    heldBytes.get(),
                    "limitBytes",
                    limits.memoryBytes());
        }
    }

    /** Closes one connection; returns whether there was one other than that of the requester. */
    private boolean evict(Client requester, ToLongFunction<Client> weight, Reason reason) {
        Map<InetAddress, Long> bySource = clients.stream()
                .filter(client -> !client.isEvicted.get())
                .collect(Collectors.groupingBy(client -> client.source, Collectors.summingLong(weight)));
        Optional<Client> victim = clients.stream()
                .filter(client -> !client.isHandled && !client.isEvicted.get() && weight.applyAsLong(client) > 0)
                .max(Comparator.<Client>comparingLong(client -> bySource.getOrDefault(client.source, 0L))
                        .thenComparingLong(weight)
                        .thenComparingLong(client -> -client.progressAtMs));
        if (victim.isEmpty()
                || victim.get() == requester
                || !victim.get().isEvicted.compareAndSet(false, true)) {
            return false;
        }
        count(reason, victim.get());
        victim.get().evictor.run();
        return true;
    }

    /** The share of one connection. */
    final class Client {
        private final Object listener;
        private final int maxConnections;
        private final InetAddress source;
        private final AtomicLong held = new AtomicLong();
        private final AtomicBoolean isEvicted = new AtomicBoolean();
        private volatile long progressAtMs = clock.nowMs();
        private volatile boolean isHandled;
        private volatile Runnable evictor = () -> {};

        private Client(Object listener, int maxConnections, InetAddress source) {
            this.listener = listener;
            this.maxConnections = maxConnections;
            this.source = source;
        }

        /** Sets what closes the connection. */
        void onEvict(Runnable action) {
            evictor = action;
            if (isEvicted.get()) {
                action.run();
            }
        }

        /** An endpoint works on a request of this connection. */
        void handled(boolean value) {
            isHandled = value;
            progressAtMs = clock.nowMs();
        }

        /** Reserves memory; returns false if this connection must be refused. */
        boolean reserve(long bytes) {
            if (bytes <= 0) {
                release(-bytes);
                return true;
            }
            held.addAndGet(bytes);
            long total = heldBytes.addAndGet(bytes);
            if (total <= limits.memoryBytes()) {
                return true;
            }
            boolean hasRoom = total <= limits.memoryBytes() + limits.memoryBytes() / RESERVE_PARTS;
            if (evict(this, client -> client.held.get(), Reason.MEMORY) && hasRoom) {
                return true;
            }
            release(bytes);
            return false;
        }

        void release(long bytes) {
            held.addAndGet(-bytes);
            heldBytes.addAndGet(-bytes);
        }

        void refused(Reason reason) {
            count(reason, this);
        }

        void ended() {
            if (clients.remove(this)) {
                heldBytes.addAndGet(-held.getAndSet(0));
            }
        }
    }
}
