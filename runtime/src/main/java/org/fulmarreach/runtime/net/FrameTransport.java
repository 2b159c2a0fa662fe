package org.fulmarreach.runtime.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteOrder;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.io.TcpSO;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Framing;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;
import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.protocol.io.ThriftBytes;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.log.RuntimeEvent;

/**
 * Opens and accepts framed connections. Each connection reports its events in order to one listener. The listener is
 * called on a stream thread and must only pass the event on, usually to an actor. Thread-safe.
 */
public final class FrameTransport {
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_PENDING_FRAMES = 4_096;

    private final ActorSystem<?> system;
    private final LinkSettings settings;
    private final EventLog log;

    /** Constructs a transport that runs its streams on {@code system}. */
    public FrameTransport(ActorSystem<?> system, LinkSettings settings, EventLog log) {
        this.system = system;
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
        String address = host + ":" + port;
        Link link = new Link(address);
        Flow<ByteString, ByteString, CompletionStage<Tcp.OutgoingConnection>> tcp = Tcp.get(system)
                .outgoingConnection(
                        new InetSocketAddress(host, port),
                        Optional.empty(),
                        List.of(TcpSO.tcpNoDelay(true)),
                        false,
                        Optional.of(Duration.ofMillis(settings.connectTimeoutMs())),
                        Optional.empty());
        CompletionStage<Tcp.OutgoingConnection> opened = link.start(tcp, listener);
        opened.whenComplete((connection, failure) -> {
            if (failure == null) {
                link.reportOpened(listener);
            }
        });
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
    public CompletionStage<Tcp.ServerBinding> bind(String host, int port, Supplier<Consumer<LinkEvent>> listeners) {
        return Tcp.get(system)
                .bind(host, port)
                .to(Sink.foreach(incoming -> {
                    Link link = new Link(incoming.remoteAddress().getAddress().getHostAddress() + ":"
                            + incoming.remoteAddress().getPort());
                    Consumer<LinkEvent> listener = listeners.get();
                    link.reportOpened(listener);
                    link.start(incoming.flow(), listener);
                }))
                .run(system);
    }

    /*
     * Helpers
     */

    private final class Link implements FrameLink {
        private final String address;
        private final SharedKillSwitch killSwitch = KillSwitches.shared("link");
        private final BoundedSourceQueue<ByteString> queue;
        private final Source<ByteString, NotUsed> outbound;
        private final AtomicLong pendingBytes = new AtomicLong();
        private volatile boolean opened;
        private boolean closed;

        Link(String address) {
            this.address = address;
            var materialized = Source.<ByteString>queue(MAX_PENDING_FRAMES).preMaterialize(system);
            this.queue = materialized.first();
            this.outbound = materialized.second();
        }

        <M> M start(Flow<ByteString, ByteString, M> tcp, Consumer<LinkEvent> listener) {
            Source<ByteString, NotUsed> outgoing = outbound.map(bytes -> {
                pendingBytes.addAndGet(-bytes.size());
                return bytes;
            });
            Flow<ByteString, ByteString, NotUsed> inbound = Flow.<ByteString>create()
                    .via(killSwitch.flow())
                    .via(Framing.lengthField(
                            LENGTH_BYTES, 0, settings.maxFrameBytes() + LENGTH_BYTES, ByteOrder.BIG_ENDIAN))
                    .idleTimeout(Duration.ofMillis(settings.silenceTimeoutMs()));
            var stream = outgoing.viaMat(tcp, Keep.right())
                    .via(inbound)
                    .toMat(Sink.foreach(bytes -> receive(bytes, listener)), Keep.both())
                    .run(system);
            stream.second().whenComplete((done, failure) -> reportClosed(listener, failure));
            return stream.first();
        }

        private void receive(ByteString bytes, Consumer<LinkEvent> listener) {
            reportOpened(listener);
            try {
                Frame frame = ThriftBytes.decode(bytes.drop(LENGTH_BYTES).toArray(), new Frame());
                if (frame.getBody() == null || frame.getBody().getSetField() == null) {
                    throw new FrameException("frame has no body or a body of an unknown kind");
                }
                listener.accept(new LinkEvent.Received(this, frame));
            } catch (FrameException e) {
                log.emit(RuntimeEvent.FRAME_REFUSED, "remote", address, "reason", e.getMessage());
                throw e;
            }
        }

        private synchronized void reportOpened(Consumer<LinkEvent> listener) {
            if (!opened && !closed) {
                opened = true;
                log.emit(RuntimeEvent.CONNECTION_OPENED, "remote", address);
                listener.accept(new LinkEvent.Opened(this));
            }
        }

        private synchronized void reportClosed(Consumer<LinkEvent> listener, Throwable failure) {
            if (closed) {
                return;
            }
            closed = true;
            String reason = failure == null ? "closed by peer" : String.valueOf(failure.getMessage());
            if (opened) {
                log.emit(RuntimeEvent.CONNECTION_CLOSED, "remote", address, "reason", reason);
            }
            listener.accept(new LinkEvent.Closed(opened ? this : null, reason));
        }

        @Override
        public void send(long correlationId, Body body) {
            byte[] bytes = ThriftBytes.encode(new Frame(correlationId, body));
            ByteString frame = ByteString.fromArray(new byte[] {
                        (byte) (bytes.length >>> 24),
                        (byte) (bytes.length >>> 16),
                        (byte) (bytes.length >>> 8),
                        (byte) bytes.length
                    })
                    .concat(ByteString.fromArray(bytes));
            boolean overLimit = pendingBytes.addAndGet(frame.size()) > settings.maxPendingBytes();
            if (overLimit || queue.offer(frame) == QueueOfferResult.dropped()) {
                log.emit(RuntimeEvent.SEND_BUFFER_FULL, "remote", address, "pendingBytes", pendingBytes.get());
                close();
            }
        }

        @Override
        public void close() {
            killSwitch.abort(new IOException("closed by this process"));
        }

        @Override
        public String remoteAddress() {
            return address;
        }
    }
}
