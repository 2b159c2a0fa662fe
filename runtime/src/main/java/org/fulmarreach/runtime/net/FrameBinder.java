package org.fulmarreach.runtime.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

import org.apache.pekko.actor.ActorRef;
import org.apache.pekko.actor.UntypedAbstractActor;
import org.apache.pekko.io.Tcp;
import org.apache.pekko.io.TcpMessage;

/** Actor that binds a port and hands over each accepted connection. */
final class FrameBinder extends UntypedAbstractActor {
    private static final int BACKLOG = 100;

    private final InetSocketAddress address;
    private final CompletableFuture<FrameBinding> bound;
    private final BiConsumer<ActorRef, InetSocketAddress> acceptor;

    /**
     * Constructs the actor.
     *
     * @param address address to bind
     * @param bound completed with the binding, or with the failure
     * @param acceptor receives the connection actor and the remote address of each accepted connection
     */
    FrameBinder(
            InetSocketAddress address,
            CompletableFuture<FrameBinding> bound,
            BiConsumer<ActorRef, InetSocketAddress> acceptor) {
        this.address = address;
        this.bound = bound;
        this.acceptor = acceptor;
    }

    @Override
    public void preStart() {
        Tcp.get(getContext().getSystem())
                .manager()
                .tell(TcpMessage.bind(getSelf(), address, BACKLOG, List.of(), false), getSelf());
    }

    @Override
    public void onReceive(Object message) {
        if (message instanceof Tcp.Connected connected) {
            accept(getSender(), connected.remoteAddress());
        } else if (message instanceof Tcp.Bound event) {
            ActorRef listener = getSender();
            ActorRef self = getSelf();
            bound.complete(new FrameBinding(event.localAddress(), () -> listener.tell(TcpMessage.unbind(), self)));
        } else if (message instanceof Tcp.CommandFailed failed) {
            bound.completeExceptionally(new IOException("cannot bind " + address + failed.causedByString()));
            getContext().stop(getSelf());
        }
    }

    /** A failure ends only the accepted connection, not the listener. */
    private void accept(ActorRef tcp, InetSocketAddress remote) {
        try {
            acceptor.accept(tcp, remote);
        } catch (RuntimeException e) {
            getContext().getSystem().log().error(e, "A connection of {} could not be handed over.", remote);
            tcp.tell(TcpMessage.abort(), getSelf());
        }
    }

    /** Completes the binding of an actor system that was terminated meanwhile. */
    @Override
    public void postStop() {
        bound.completeExceptionally(new IOException("cannot bind " + address + ", this process is stopping"));
    }
}
