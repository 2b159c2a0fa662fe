package org.fulmarreach.entry.peers;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.protocol.thrift.PeerHello;
import org.fulmarreach.protocol.thrift.PeerStatus;
import org.fulmarreach.protocol.thrift.ServiceSummary;
import org.fulmarreach.runtime.net.FrameLink;

/** One incarnation of another entry and its open connections. Confined to the {@link PeersActor}. */
final class Peer {
    private final PeerHello hello;
    private final List<FrameLink> links = new ArrayList<>();
    private PeerStatus status = new PeerStatus();

    Peer(PeerHello hello) {
        this.hello = hello;
    }

    String id() {
        return hello.getEntryId();
    }

    PeerHello hello() {
        return hello;
    }

    /** Returns the open connections; there are two if both sides connected at the same time. */
    List<FrameLink> links() {
        return links;
    }

    boolean isConnected() {
        return !links.isEmpty();
    }

    /** Returns whether the peer accepts work: it is connected and not shutting down. */
    boolean isLive() {
        return isConnected() && !status.isLeaving();
    }

    PeerStatus status() {
        return status;
    }

    void setStatus(PeerStatus newStatus) {
        status = newStatus;
    }

    int findFreeSlots(String service) {
        if (status.getServices() == null) {
            return 0;
        }
        for (ServiceSummary summary : status.getServices()) {
            if (service.equals(summary.getServiceName())) {
                return Math.max(0, summary.getSlots() - summary.getSlotsInUse());
            }
        }
        return 0;
    }

    PeerView toView() {
        return new PeerView(
                hello.getEntryId(),
                hello.getIncarnation(),
                hello.getZone(),
                hello.getRegion(),
                hello.getAddress(),
                status.getRulesRevision(),
                status.isStoreReachable(),
                status.isLeaving());
    }
}
