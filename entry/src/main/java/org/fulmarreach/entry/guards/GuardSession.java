package org.fulmarreach.entry.guards;

import org.fulmarreach.protocol.io.TaskChangesReader;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.GuardState;
import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.Hello;
import org.fulmarreach.runtime.net.FrameLink;

/**
 * One incarnation of a guard as this entry knows it, over all of its connections. Owned by the directory's actor.
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
    private int foreignLoad;

    /** Constructs the session of a guard that has said hello on {@code link}. */
    public GuardSession(GuardView view, Hello hello, FrameLink link, long nowMs) {
        connect(view, hello, link, nowMs);
    }

    /** Returns the guard as it announced itself. */
    public GuardView view() {
        return view;
    }

    /** Returns the present connection; null while there is none. */
    public FrameLink link() {
        return link;
    }

    /** Returns the last heartbeat; null before the first. */
    public Heartbeat heartbeat() {
        return heartbeat;
    }

    /** Returns when the last frame arrived, in milliseconds of the entry's clock. */
    public long lastFrameMs() {
        return lastFrameMs;
    }

    /**
     * Takes over a new connection of the same incarnation with what the guard announces on it. A guard that learns the
     * capacity of its VM only after its first hello says hello again.
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

    /** Forgets the connection and the calls that were counted on it. */
    public void disconnect() {
        link = null;
        outstanding = 0;
    }

    /** Notes that a frame arrived. */
    public void touch(long nowMs) {
        lastFrameMs = nowMs;
    }

    /** Takes in a heartbeat. */
    public void update(Heartbeat newHeartbeat, long nowMs) {
        heartbeat = taskChanges.read(newHeartbeat);
        String service = newHeartbeat.getServiceName();
        if (service != null && !service.equals(view.service())) {
            view = new GuardView(view.guardId(), view.incarnation(), view.vm(), service);
        }
        lastFrameMs = nowMs;
        // What the guard reports includes this entry's own calls. Counting them twice would make a target look full
        // until the next heartbeat, although its calls have ended meanwhile.
        foreignLoad = Math.max(0, newHeartbeat.getSlotsInUse() - outstanding);
    }

    /** Notes that the guard has refused a call for lack of a slot: others hold the rest until it reports again. */
    public void markFull() {
        foreignLoad = Math.max(foreignLoad, slots() - outstanding);
    }

    /** Returns the guard's own clock at its last heartbeat; every id and start refers to it. */
    public long tickMs() {
        return heartbeat == null ? 0 : heartbeat.getTickMs();
    }

    /** Tells whether a message can be sent to it now. */
    public boolean isConnected() {
        return link != null;
    }

    /** Tells whether new calls may be routed to it: connected, announced as ready and seen at least once. */
    public boolean isReady() {
        return link != null && heartbeat != null && heartbeat.getState() == GuardState.READY;
    }

    /** Returns its slots. */
    public int slots() {
        return heartbeat == null ? helloSlots : heartbeat.getSlots();
    }

    /** Returns the slots that this entry can expect to use, at least one: those that other entries do not hold. */
    public int usableSlots() {
        return Math.max(1, slots() - foreignLoad);
    }

    /** Returns its connections. */
    public int connections() {
        return heartbeat == null ? helloConnections : heartbeat.getConnections();
    }

    /** Returns the calls of this entry that it has not answered. */
    public int outstanding() {
        return outstanding;
    }

    /** Returns the estimated number of slots in use. */
    public int load() {
        return outstanding + foreignLoad;
    }

    /** Counts a call sent. */
    public void addOutstanding() {
        outstanding++;
    }

    /** Counts a call that has ended; nothing when the connection was lost meanwhile. */
    public void removeOutstanding() {
        outstanding = Math.max(0, outstanding - 1);
    }

    /** Sends a message; dropped while there is no connection. */
    public void send(long correlationId, Body body) {
        if (link != null) {
            link.send(correlationId, body);
        }
    }
}
