package org.fulmarreach.runtime.net;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

import org.apache.pekko.actor.ActorRef;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.Terminated;
import org.apache.pekko.actor.UntypedAbstractActor;
import org.apache.pekko.io.Tcp;
import org.apache.pekko.io.TcpMessage;
import org.apache.pekko.io.TcpSO;
import org.apache.pekko.util.ByteString;
import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.protocol.io.ThriftBytes;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.log.RuntimeEvent;

/**
 * Actor of one connection: reports its events to the listener, decodes received frames and writes queued ones. At most
 * one write is outstanding; the frames that are queued meanwhile go into the next one. Any failure, also one of the
 * listener, ends only this connection.
 */
final class FrameConnection extends UntypedAbstractActor {
    /** A silent connection is detected this much later at most; a finer check would wake up a thread more often. */
    private static final long MAX_SILENCE_CHECK_MS = 1_000;

    private static final long MIN_SILENCE_CHECK_MS = 100;
    private static final int SILENCE_CHECKS = 8;

    private final QueuedLink link;
    private final Opening opening;
    private final Consumer<LinkEvent> listener;
    private final LinkSettings settings;
    private final EventLog log;
    private final FrameDecoder decoder;
    private ActorRef tcp;
    private Cancellable silenceChecks;
    private long lastFrameAtNs = System.nanoTime();
    private boolean opened;
    private boolean writing;
    private boolean ended;

    /**
     * Constructs the actor.
     *
     * @param link the end of the connection that its users see
     * @param opening how the connection comes about
     */
    FrameConnection(
            QueuedLink link, Opening opening, Consumer<LinkEvent> listener, LinkSettings settings, EventLog log) {
        this.link = link;
        this.opening = opening;
        this.listener = listener;
        this.settings = settings;
        this.log = log;
        this.decoder = new FrameDecoder(settings.maxFrameBytes(), this::onFrame);
    }

    /** How a connection comes about. */
    sealed interface Opening {
        /** This process connects to an address. */
        record Connect(InetSocketAddress address) implements Opening {}

        /** Another process has connected; {@code tcp} is the actor of its socket. */
        record Accepted(ActorRef tcp) implements Opening {}
    }

    /** Messages of the link and of the timer. */
    enum Command {
        /** Frames were queued. */
        FLUSH,
        /** The connection is to be closed by this process. */
        CLOSE,
        /** The silence of the peer is to be checked. */
        CHECK_SILENCE
    }

    /** Acknowledges that a write was passed to the operating system. */
    private enum Ack implements Tcp.Event {
        WRITTEN
    }

    /*
     * Actor
     */

    @Override
    public void preStart() {
        link.setConnection(getSelf());
        long silenceMs = settings.silenceTimeoutMs();
        Duration interval = Duration.ofMillis(
                silenceMs > MAX_SILENCE_CHECK_MS
                        ? MAX_SILENCE_CHECK_MS
                        : Math.min(Math.max(silenceMs / SILENCE_CHECKS, MIN_SILENCE_CHECK_MS), silenceMs / 2));
        silenceChecks = getContext()
                .getSystem()
                .scheduler()
                .scheduleWithFixedDelay(
                        interval,
                        interval,
                        getSelf(),
                        Command.CHECK_SILENCE,
                        getContext().getDispatcher(),
                        ActorRef.noSender());
        switch (opening) {
            case Opening.Connect connect ->
                Tcp.get(getContext().getSystem())
                        .manager()
                        .tell(
                                TcpMessage.connect(
                                        connect.address(),
                                        null,
                                        List.of(TcpSO.tcpNoDelay(true)),
                                        Duration.ofMillis(settings.connectTimeoutMs()),
                                        false),
                                getSelf());
            case Opening.Accepted accepted -> endOnFailure(() -> open(accepted.tcp()));
        }
    }

    @Override
    public void onReceive(Object message) {
        if (ended) {
            if (message instanceof Tcp.Connected) {
                getSender().tell(TcpMessage.abort(), getSelf());
            } else if (message instanceof Tcp.ConnectionClosed
                    || message instanceof Tcp.CommandFailed
                    || message instanceof Terminated) {
                getContext().stop(getSelf());
            }
            return;
        }
        endOnFailure(() -> handle(message));
    }

    /** Reports the end also if the actor system terminates. */
    @Override
    public void postStop() {
        end("this process is stopping");
    }

    private void handle(Object message) {
        if (message instanceof Tcp.Received received) {
            receive(received.data().toArrayUnsafe());
        } else if (message == Command.FLUSH) {
            link.flushStarted();
            write();
        } else if (message == Ack.WRITTEN) {
            writing = false;
            write();
        } else if (message == Command.CHECK_SILENCE) {
            checkSilence();
        } else if (message == Command.CLOSE) {
            abort("closed by this process");
        } else if (message instanceof Tcp.Connected) {
            open(getSender());
        } else if (message instanceof Tcp.ConnectionClosed closed) {
            end(describe(closed));
            getContext().stop(getSelf());
        } else if (message instanceof Terminated) {
            end("the actor of the socket has stopped");
            getContext().stop(getSelf());
        } else if (message instanceof Tcp.CommandFailed failed) {
            if (opened) {
                abort("Tcp command [" + failed.cmd() + "] failed" + failed.causedByString());
            } else {
                end("Tcp command [" + failed.cmd() + "] failed" + failed.causedByString());
                getContext().stop(getSelf());
            }
        }
    }

    /*
     * Life cycle
     */

    private void open(ActorRef connection) {
        tcp = connection;
        getContext().watch(tcp);
        opened = true;
        log.emit(RuntimeEvent.CONNECTION_OPENED, "remote", link.remoteAddress());
        listener.accept(new LinkEvent.Opened(link));
        tcp.tell(TcpMessage.register(getSelf(), false, false), getSelf());
    }

    private void checkSilence() {
        long silentMs = (System.nanoTime() - lastFrameAtNs) / 1_000_000;
        if (silentMs >= settings.silenceTimeoutMs()) {
            abort("no frame for " + silentMs + " ms");
        }
    }

    private String describe(Tcp.ConnectionClosed closed) {
        if (closed.isErrorClosed()) {
            return "The connection closed with error: " + closed.getErrorCause();
        }
        return decoder.isWithinFrame() ? "closed by peer within a frame" : "closed by peer";
    }

    /** Ends the connection by a reset. The actor stops when the socket is closed. */
    private void abort(String reason) {
        end(reason);
        if (tcp != null) {
            tcp.tell(TcpMessage.abort(), getSelf());
        }
    }

    /** Reports the end once. */
    private void end(String reason) {
        if (ended) {
            return;
        }
        ended = true;
        silenceChecks.cancel();
        link.ended();
        if (opened) {
            log.emit(RuntimeEvent.CONNECTION_CLOSED, "remote", link.remoteAddress(), "reason", reason);
        }
        try {
            listener.accept(new LinkEvent.Closed(opened ? link : null, reason));
        } catch (RuntimeException e) {
            getContext().getSystem().log().error(e, "The listener of a closed connection failed.");
        }
    }

    private void endOnFailure(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            abort(String.valueOf(e.getMessage()));
        }
    }

    /*
     * Frames
     */

    private void receive(byte[] bytes) {
        try {
            decoder.decode(bytes);
        } catch (FrameException e) {
            log.emit(RuntimeEvent.FRAME_REFUSED, "remote", link.remoteAddress(), "reason", e.getMessage());
            throw e;
        }
    }

    private void onFrame(byte[] bytes, int offset, int length) {
        lastFrameAtNs = System.nanoTime();
        Frame frame = ThriftBytes.decode(bytes, offset, length, new Frame());
        if (frame.getBody() == null || frame.getBody().getSetField() == null) {
            throw new FrameException("frame has no body or a body of an unknown kind");
        }
        listener.accept(new LinkEvent.Received(link, frame));
    }

    private void write() {
        if (writing) {
            return;
        }
        byte[] bytes = link.takeFrames();
        if (bytes.length > 0) {
            writing = true;
            tcp.tell(TcpMessage.write(ByteString.fromArrayUnsafe(bytes), Ack.WRITTEN), getSelf());
        }
    }
}
