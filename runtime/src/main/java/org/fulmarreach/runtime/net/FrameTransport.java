package org.fulmarreach.runtime.net;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.pekko.actor.ActorRef;
import org.apache.pekko.actor.ExtendedActorSystem;
import org.apache.pekko.actor.Props;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.log.RuntimeEvent;

/**
 * Opens and accepts framed connections. Each connection reports its events in order to one listener. The listener is
 * called on the connection's actor and must only pass the event on, usually to an actor. Thread-safe.
 *
 * <p>Reading has no back-pressure: a connection passes on frames as they arrive, so a listener that passes them to a
 * slower actor bounds its own queue. Connections use the TCP actors of Pekko rather than its streams, because
 * materializing the streams of a connection is expensive while a process is starting.
 */
public final class FrameTransport {
    /** Numbers the actors of all transports, whose names must be unique in an actor system. */
    private static final AtomicLong LAST_ACTOR = new AtomicLong();

    private final ExtendedActorSystem system;
    private final LinkSettings settings;
    private final EventLog log;

    /** Constructs a transport that runs its connections on {@code system}. */
    public FrameTransport(ActorSystem<?> system, LinkSettings settings, EventLog log) {
        this.system = (ExtendedActorSystem) Adapter.toClassic(system);
        this.settings = settings;
        this.log = log;
    }

    /*
     * Public API
     */

    /**
     * Opens a connection.
     *
     * @param host IP address
     * @param port TCP port
     * @param listener gets {@link LinkEvent.Opened} or, if that fails, only {@link LinkEvent.Closed}
     */
    public void connect(String host, int port, Consumer<LinkEvent> listener) {
        InetSocketAddress address = new InetSocketAddress(host, port);
        start(host + ":" + port, new FrameConnection.Opening.Connect(address), listener);
    }

    /**
     * Opens a connection to an address that came from another process, a record or a settings file.
     *
     * @param address {@code host:port}; one that names no process is logged
     * @param listener gets {@link LinkEvent.Opened} or, if that fails, only {@link LinkEvent.Closed}
     */
    public void connect(String address, Consumer<LinkEvent> listener) {
        Optional<Address> peer = Address.findPeer(address);
        if (peer.isPresent()) {
            connect(peer.get().host(), peer.get().port(), listener);
        } else {
            log.emit(RuntimeEvent.ADDRESS_REFUSED, "address", address);
            listener.accept(new LinkEvent.Closed(null, "the address names no process"));
        }
    }

    /**
     * Accepts connections.
     *
     * @param host IP address to listen on
     * @param port TCP port, 0 for a free one
     * @param listeners supplies the listener of each accepted connection
     * @return completes with the binding once the port is bound
     */
    public CompletionStage<FrameBinding> bind(String host, int port, Supplier<Consumer<LinkEvent>> listeners) {
        CompletableFuture<FrameBinding> bound = new CompletableFuture<>();
        InetSocketAddress address = new InetSocketAddress(host, port);
        Props binder = Props.create(
                FrameBinder.class,
                () -> new FrameBinder(address, bound, (tcp, remote) -> accept(tcp, remote, listeners.get())));
        system.systemActorOf(binder, nextName("frame-binder-"));
        return bound;
    }

    /*
     * Helpers
     */

    private void accept(ActorRef tcp, InetSocketAddress remote, Consumer<LinkEvent> listener) {
        String address = remote.getAddress().getHostAddress() + ":" + remote.getPort();
        start(address, new FrameConnection.Opening.Accepted(tcp), listener);
    }

    private void start(String address, FrameConnection.Opening opening, Consumer<LinkEvent> listener) {
        QueuedLink link = new QueuedLink(address, settings, log);
        Props connection =
                Props.create(FrameConnection.class, () -> new FrameConnection(link, opening, listener, settings, log));
        system.systemActorOf(connection, nextName("frame-connection-"));
    }

    private static String nextName(String prefix) {
        return prefix + LAST_ACTOR.incrementAndGet();
    }
}
