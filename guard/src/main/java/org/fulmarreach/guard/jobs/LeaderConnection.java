package org.fulmarreach.guard.jobs;

import java.time.Duration;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.LeaderHint;
import org.fulmarreach.protocol.thrift.LeaderOrders;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameHandling;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * A guard's connection to the leader: finds it, leaves one that is silent or was replaced, and passes its orders on.
 * Owned by one actor; not thread-safe.
 */
final class LeaderConnection {
    /** A leader that could not write for this long may have been replaced: followers stand for election after 1.5 s. */
    private static final long LEADER_WRITE_AGE_MS = 1_800;

    /** Minimum interval between two lookups of the leader in the store while the connected leader cannot write. */
    private static final long LEADER_CHECK_INTERVAL_MS = 700;

    private final RelayLinks links;
    private final LeaderFinder finder;
    private final LeaderSilence silence;
    private final ActorContext<RelayCommand> context;
    private final MonotonicClock clock;
    private final EventLog log;
    private FrameLink link;
    private boolean named;
    private boolean sessionAccepted;
    private long attempt;
    private long checkedAtMs;
    private long term;

    LeaderConnection(
            RelayLinks links,
            LeaderFinder finder,
            LeaderSilence silence,
            ActorContext<RelayCommand> context,
            MonotonicClock clock,
            EventLog log) {
        this.links = links;
        this.finder = finder;
        this.silence = silence;
        this.context = context;
        this.clock = clock;
        this.log = log;
    }

    /** Tells whether a connection to an entry is open, which need not lead. */
    boolean isConnected() {
        return link != null;
    }

    /** Sends a message; must be called only while connected. */
    void send(Body body) {
        link.send(0, body);
    }

    /** Connects to the next address at which the leader may be, unless a connection is open. */
    void search() {
        if (link != null) {
            return;
        }
        boolean hinted = finder.hasHint();
        String address = finder.nextAddress();
        if (address.isEmpty()) {
            lookUp();
        } else {
            connect(address, hinted);
        }
    }

    void onLookupCompleted(String address) {
        if (link != null) {
            if (!address.isEmpty() && !address.equals(link.remoteAddress())) {
                log.emit(RelayEvent.LEADER_DOUBTED, "former", link.remoteAddress(), "address", address, "term", term);
                finder.setHint(address);
                link.close();
            }
            return;
        }
        if (address.isEmpty()) {
            searchLater();
        } else {
            connect(address, true);
        }
    }

    /**
     * Handles a change of a connection.
     *
     * @param number number of the attempt that opened the connection; former ones are closed
     * @param onOpened runs when the connection is open
     * @param onOrders receives the orders that arrive on it
     */
    void onLinkChanged(long number, LinkEvent event, Runnable onOpened, Consumer<LeaderOrders> onOrders) {
        if (number != attempt) {
            if (event instanceof LinkEvent.Opened opened) {
                opened.link().close();
            }
            return;
        }
        switch (event) {
            case LinkEvent.Opened opened -> {
                link = opened.link();
                sessionAccepted = false;
                silence.onOpened(named);
                onOpened.run();
            }
            case LinkEvent.Received received ->
                FrameHandling.handle(
                        received.link(),
                        log,
                        () -> onMessage(received.link(), received.frame().getBody(), onOrders));
            case LinkEvent.Closed closed -> {
                if (sessionAccepted) {
                    log.emit(RelayEvent.LEADER_LOST, "term", term, "reason", closed.reason());
                    finder.resetAttempts();
                }
                link = null;
                sessionAccepted = false;
                searchLater();
            }
        }
    }

    /** Asks the store for the leader if the connected one has not been able to write for a while. */
    void reviewWriteAge(long writeAgeMs) {
        if (writeAgeMs > LEADER_WRITE_AGE_MS && clock.nowMs() - checkedAtMs > LEADER_CHECK_INTERVAL_MS) {
            checkedAtMs = clock.nowMs();
            lookUp();
        }
    }

    /** Leaves, or asks the store about, a leader that has been silent for too long. */
    void onTick() {
        if (link == null) {
            return;
        }
        LeaderSilence.Verdict verdict = silence.onTick();
        if (verdict == LeaderSilence.Verdict.LOOK_UP) {
            lookUp();
        } else if (verdict == LeaderSilence.Verdict.LEAVE) {
            log.emit(
                    RelayEvent.LEADER_SILENT,
                    "address",
                    link.remoteAddress(),
                    "silentForMs",
                    silence.silentMs(),
                    "accepted",
                    sessionAccepted);
            link.close();
        }
    }

    /*
     * Helpers
     */

    private void lookUp() {
        var self = context.getSelf();
        links.findLeader(found -> self.tell(new RelayCommand.LeaderLookupCompleted(found)));
    }

    private void connect(String address, boolean newNamed) {
        attempt++;
        named = newNamed;
        long number = attempt;
        var self = context.getSelf();
        log.emit(RelayEvent.LEADER_SOUGHT, "address", address, "attempt", number);
        links.connect(address, event -> self.tell(new RelayCommand.LinkChanged(number, event)));
    }

    private void searchLater() {
        context.scheduleOnce(
                Duration.ofMillis(finder.retryDelayMs()), context.getSelf(), new RelayCommand.LeaderSearchDue());
    }

    private void onMessage(FrameLink sender, Body body, Consumer<LeaderOrders> onOrders) {
        if (body.isSetLeaderOrders()) {
            LeaderOrders orders = body.getLeaderOrders();
            silence.onAnswer();
            if (!sessionAccepted) {
                sessionAccepted = true;
                log.emit(RelayEvent.LEADER_FOUND, "address", sender.remoteAddress(), "term", orders.getTerm());
            }
            term = Math.max(term, orders.getTerm());
            onOrders.accept(orders);
        } else if (body.isSetLeaderHint()) {
            onLeaderHint(sender, body.getLeaderHint());
        }
    }

    private void onLeaderHint(FrameLink sender, LeaderHint hint) {
        if (Address.findPeer(hint.getAddress()).isPresent()) {
            finder.setHint(hint.getAddress());
        } else {
            log.emit(
                    RelayEvent.LEADER_ADDRESS_REFUSED,
                    "sender",
                    sender.remoteAddress(),
                    "term",
                    hint.getTerm(),
                    "address",
                    hint.getAddress());
        }
        sender.close();
    }
}
