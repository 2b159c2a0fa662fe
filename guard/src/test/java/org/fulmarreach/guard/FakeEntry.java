package org.fulmarreach.guard;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.HeartbeatAck;
import org.fulmarreach.protocol.thrift.Hello;
import org.fulmarreach.protocol.thrift.Welcome;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.FrameTransport;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.net.LinkSettings;
import org.fulmarreach.runtime.util.ActorSystems;

/** An entry that accepts guards, acknowledges heartbeats and queues all other frames. */
final class FakeEntry implements AutoCloseable {
    private static final long TIMEOUT_MS = 5_000;

    final BlockingQueue<Body> received = new LinkedBlockingQueue<>();
    private final ActorSystem<Void> system = ActorSystems.construct(Behaviors.empty(), "entry", 2);
    private final Queue<Heartbeat> unacknowledged = new ArrayDeque<>();
    private boolean holding;
    private final int port;
    volatile FrameLink link;
    volatile Hello hello;
    volatile Heartbeat heartbeat;

    FakeEntry() throws Exception {
        FrameTransport transport = new FrameTransport(system, LinkSettings.DEFAULT, new EventLog("entry"));
        port = transport
                .bind("127.0.0.1", 0, () -> this::receive)
                .toCompletableFuture()
                .get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .localAddress()
                .getPort();
    }

    private void receive(LinkEvent event) {
        if (!(event instanceof LinkEvent.Received frame)) {
            return;
        }
        Body body = frame.frame().getBody();
        switch (body.getSetField()) {
            case HELLO -> {
                hello = body.getHello();
                link = frame.link();
                link.send(Body.welcome(new Welcome("entry-1", java.util.List.of(), 1)));
            }
            case HEARTBEAT -> {
                heartbeat = body.getHeartbeat();
                synchronized (unacknowledged) {
                    unacknowledged.add(heartbeat);
                    acknowledge();
                }
            }
            default -> received.add(body);
        }
    }

    /** Lets heartbeats wait, as at an entry that has not handled them yet; they are acknowledged afterwards. */
    void holdHeartbeats(boolean hold) {
        synchronized (unacknowledged) {
            holding = hold;
            acknowledge();
        }
    }

    /** Acknowledges the heartbeats that wait; later ones wait again. */
    void acknowledgeHeldHeartbeats() {
        synchronized (unacknowledged) {
            holding = false;
            acknowledge();
            holding = true;
        }
    }

    private void acknowledge() {
        while (!holding && !unacknowledged.isEmpty()) {
            long tickMs = unacknowledged.remove().getTickMs();
            link.send(Body.heartbeatAck(new HeartbeatAck(tickMs, 1, java.util.List.of())));
        }
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    Heartbeat awaitHeartbeat(Predicate<Heartbeat> condition) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * TIMEOUT_MS);
        while (System.nanoTime() < endNs) {
            Heartbeat last = heartbeat;
            if (last != null && link != null && condition.test(last)) {
                return last;
            }
            Thread.sleep(5);
        }
        throw new AssertionError("no matching heartbeat within " + 2 * TIMEOUT_MS + " ms, the last is " + heartbeat);
    }

    Body awaitFrame() throws InterruptedException {
        Body body = received.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (body == null) {
            throw new AssertionError("no frame within " + TIMEOUT_MS + " ms");
        }
        return body;
    }

    @Override
    public void close() {
        system.terminate();
    }
}
