package org.fulmarreach.guard;

import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Props;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.Target;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.Welcome;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.util.ActorSystems;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a guard that dials before it can list its tasks, does not redial, or keeps two links to an entry. */
class EntryLinksActorTest {
    private final ActorSystem<Void> system = ActorSystems.construct(Behaviors.empty(), "test", 2);
    private final AtomicLong nowMs = new AtomicLong();
    private final CountDownLatch requests = new CountDownLatch(2);
    private final BlockingQueue<Dial> dials = new LinkedBlockingQueue<>();
    private final ActorRef<LinksCommand> actor = system.systemActorOf(
            EntryLinksActor.create(new EntryLinksActor.Dependencies(
                    new EntryLinksActor.Identity("guard-1", "vm-1", 7, "sued-a", "sued", "rack-1"),
                    List.of(Address.parse("127.0.0.1:1")),
                    20,
                    true,
                    5_000,
                    (host, port, listener) -> dials.add(new Dial(port, listener)),
                    new CountingRouter(),
                    nowMs::get,
                    new Random(1))),
            "links",
            Props.empty());

    private record Dial(int port, Consumer<LinkEvent> listener) {}

    private final class CountingRouter implements EntryLinksActor.Router {
        @Override
        public boolean route(LinkEvent event) {
            return false;
        }

        @Override
        public void requestReports(ActorRef<LinksCommand> replyTo) {
            // The test sends the reports itself. The second request shows that the actor is running.
            requests.countDown();
        }
    }

    private static final class Link implements FrameLink {
        private final BlockingQueue<Body> sent = new LinkedBlockingQueue<>();
        private volatile boolean closed;

        @Override
        public void send(long correlationId, Body body) {
            sent.add(body);
        }

        @Override
        public void close() {
            closed = true;
        }

        @Override
        public String remoteAddress() {
            return "test";
        }
    }

    @AfterEach
    void stop() {
        system.terminate();
    }

    private void report(boolean listed) {
        Resources capacity = new Resources(16_000, 60_000, 0);
        actor.tell(new LinksCommand.CallsReported(
                new CallStatus(new Target("bestellung", 8, 64, false), false, 0, 0), false));
        actor.tell(new LinksCommand.TasksReported(List.of(), capacity, capacity, false, listed));
    }

    private Dial takeDial() throws InterruptedException {
        Dial dial = dials.poll(5, TimeUnit.SECONDS);
        assertTrue(dial != null, "no dial within 5 s");
        return dial;
    }

    @Test
    void dialsAfterTasksAreListedOrTheirLeasesHaveExpired() throws Exception {
        assertTrue(requests.await(5, TimeUnit.SECONDS));
        report(false);
        nowMs.set(7_999);
        assertNull(dials.poll(300, TimeUnit.MILLISECONDS));
        nowMs.set(8_000);
        takeDial();
    }

    @Test
    void sendsHelloFirstAndRedialsAndDialsEntriesInWelcome() throws Exception {
        report(true);
        Dial first = takeDial();
        Link link = new Link();
        first.listener().accept(new LinkEvent.Opened(link));
        Body hello = link.sent.poll(5, TimeUnit.SECONDS);
        assertEquals(16_000, hello.getHello().getCapacity().getMilliCores());
        assertTrue(link.sent.poll(5, TimeUnit.SECONDS).isSetHeartbeat());
        first.listener().accept(new LinkEvent.Received(link, welcome("entry-1", "127.0.0.1:2", "127.0.0.1:1")));
        Dial second = takeDial();
        assertEquals(2, second.port());
        first.listener().accept(new LinkEvent.Closed(link, "silent"));
        assertEquals(1, takeDial().port());
    }

    @Test
    void linkToSecondAddressOfSameEntryIsClosed() throws Exception {
        report(true);
        Dial first = takeDial();
        Link firstLink = new Link();
        first.listener().accept(new LinkEvent.Opened(firstLink));
        first.listener().accept(new LinkEvent.Received(firstLink, welcome("entry-1", "127.0.0.1:2")));
        Dial second = takeDial();
        Link secondLink = new Link();
        second.listener().accept(new LinkEvent.Opened(secondLink));
        second.listener().accept(new LinkEvent.Received(secondLink, welcome("entry-1")));
        for (int i = 0; i < 500 && !secondLink.closed; i++) {
            Thread.sleep(10);
        }
        assertTrue(secondLink.closed && !firstLink.closed);
    }

    private static Frame welcome(String entryId, String... entries) {
        return new Frame(0, Body.welcome(new Welcome(entryId, List.of(entries), 1)));
    }
}
