package org.fulmarreach.entry.guards;

import org.fulmarreach.protocol.io.TaskChangesReader;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.GuardState;
import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.Hello;
import org.fulmarreach.runtime.net.FrameLink;

/**
 * State of one incarnation of a guard at this entry, kept across its connections. Owned by {@link DirectoryActor}.
 */
public final class GuardSession {
    private GuardView view;
    private int helloSlots;
    private int helloConnections;
    private FrameLink link;
    private long lastFrameMs;
    private Heartbeat heartbeat;
    private TaskChangesReader taskChanges;
    private int outstanding;
    private int otherEntriesLoad;

    /** Constructs the session of a guard whose hello has arrived on {@code link}. */
    public GuardSession(GuardView view, Hello hello, FrameLink link, long nowMs) {
        connect(view, hello, link, nowMs);
    }

    /** Returns the identity, VM and service that the guard announced. */
    public GuardView view() {
        return view;
    }

    /** Returns the current connection; null while there is none. */
    public FrameLink link() {
        return link;
    }

    /** Returns the last heartbeat; null before the first one. */
    public Heartbeat heartbeat() {
        return heartbeat;
    }

    /** Returns when the last frame arrived, in milliseconds of the entry's clock. */
    public long lastFrameMs() {
        return lastFrameMs;
    }

    /**
     * Replaces the connection and the announced values with those of a new connection of the same incarnation. A guard
     * that reads the capacity of its VM only after its first hello sends another hello.
     */
    public final void connect(GuardView newView, Hello hello, FrameLink newLink, long nowMs) {
        view = newView;
        helloSlots = hello.getSlots();
        helloConnections = hello.getConnections();
        link = newLink;
        taskChanges = new TaskChangesReader();
        outstanding = 0;
        lastFrameMs = nowMs;
    }

    /** Clears the connection and the count of outstanding calls on it. */
    public void disconnect() {
        link = null;
        outstanding = 0;
    }

    /** Records the arrival of a frame. */
    public void recordFrame(long nowMs) {
        lastFrameMs = nowMs;
    }

    /** Applies a heartbeat. */
    public void update(Heartbeat newHeartbeat, long nowMs) {
        heartbeat = taskChanges.read(newHeartbeat);
        String service = newHeartbeat.getServiceName();
        if (service != null && !service.equals(view.service())) {
            view = new GuardView(view.guardId(), view.incarnation(), view.vm(), service);
        }
        lastFrameMs = nowMs;
        // The slots in use that the guard reports include the calls of this entry. If these were counted twice, a
        // target would appear full until the next heartbeat although its calls have ended in the meantime.
        otherEntriesLoad = Math.max(0, newHeartbeat.getSlotsInUse() - outstanding);
    }

    /**
     * Records that the guard refused a call because no slot was free. The slots that this entry does not use are
     * counted as used by other entries until the next heartbeat.
     */
    public void markFull() {
        otherEntriesLoad = Math.max(otherEntriesLoad, slots() - outstanding);
    }

    /** Returns the guard's clock at its last heartbeat, 0 before the first; request ids and starts refer to it. */
    public long tickMs() {
        return heartbeat == null ? 0 : heartbeat.getTickMs();
    }

    /** Returns whether the guard is connected. */
    public boolean isConnected() {
        return link != null;
    }

    /** Returns whether new calls may be routed to the guard: it is connected and its last heartbeat reports READY. */
    public boolean isReady() {
        return link != null && heartbeat != null && heartbeat.getState() == GuardState.READY;
    }

    /** Returns how many requests the target handles at the same time, by the last heartbeat or else the hello. */
    public int slots() {
        return heartbeat == null ? helloSlots : heartbeat.getSlots();
    }

    /** Returns the number of slots that other entries do not use, at least one. */
    public int usableSlots() {
        return Math.max(1, slots() - otherEntriesLoad);
    }

    /** Returns how many connections the target accepts, by the last heartbeat or else the hello. */
    public int connections() {
        return heartbeat == null ? helloConnections : heartbeat.getConnections();
    }

    /** Returns the number of this entry's calls that the guard has not answered. */
    public int outstanding() {
        return outstanding;
    }

    /** Returns the estimated number of slots in use. */
    public int load() {
        return outstanding + otherEntriesLoad;
    }

    /** Adds a call to the outstanding ones. */
    public void addOutstanding() {
        outstanding++;
    }

    /** Removes a call from the outstanding ones; has no effect at zero, as after a reconnect. */
    public void removeOutstanding() {
        outstanding = Math.max(0, outstanding - 1);
    }

    /** Sends a message; drops it while there is no connection. */
    public void send(long correlationId, Body body) {
        if (link != null) {
            link.send(correlationId, body);
        }
    }
}
