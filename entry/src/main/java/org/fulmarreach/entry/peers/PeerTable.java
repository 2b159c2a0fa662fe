package org.fulmarreach.entry.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fulmarreach.protocol.thrift.PeerHello;
import org.fulmarreach.runtime.net.FrameLink;

/** Index of the other entries by id and by connection. Confined to the {@link PeersActor}. */
final class PeerTable {
    /** Maximum number of peers. */
    static final int MAX_PEERS = 512;

    private final Map<String, Peer> byId = new TreeMap<>();
    private final Map<FrameLink, Peer> byLink = new HashMap<>();

    /**
     * Adds a connection; a newer incarnation of a peer replaces an older one and closes its connections. Empty if the
     * connection is refused, because the incarnation is outdated or there are too many peers.
     */
    Optional<Peer> register(FrameLink link, PeerHello hello) {
        Peer known = byId.get(hello.getEntryId());
        boolean isOlder = known != null && known.hello().getIncarnation() > hello.getIncarnation();
        if (isOlder || known == null && byId.size() >= MAX_PEERS) {
            return Optional.empty();
        }
        Peer peer = known;
        if (known == null || known.hello().getIncarnation() < hello.getIncarnation()) {
            if (known != null) {
                List.copyOf(known.links()).forEach(old -> {
                    disconnect(old);
                    old.close();
                });
            }
            peer = new Peer(hello);
            byId.put(peer.id(), peer);
        }
        if (byLink.put(link, peer) == null) {
            peer.links().add(link);
        }
        return Optional.of(peer);
    }

    Optional<Peer> findByLink(FrameLink link) {
        return Optional.ofNullable(byLink.get(link));
    }

    Optional<Peer> find(String entryId) {
        return Optional.ofNullable(byId.get(entryId));
    }

    Collection<Peer> all() {
        return byId.values();
    }

    Collection<FrameLink> links() {
        return byLink.keySet();
    }

    /** Removes a connection and returns its peer, if known. */
    Optional<Peer> disconnect(FrameLink link) {
        Peer peer = byLink.remove(link);
        if (peer != null) {
            peer.links().remove(link);
        }
        return Optional.ofNullable(peer);
    }

    boolean isConnectedTo(String address) {
        return byId.values().stream()
                .anyMatch(
                        peer -> peer.isConnected() && peer.hello().getAddress().equals(address));
    }

    /** Returns one live peer of each other region: the one with the lowest id. */
    List<Peer> findOneOfEachOtherRegion(String region) {
        Map<String, Peer> found = new TreeMap<>();
        for (Peer peer : byId.values()) {
            if (peer.isLive() && !peer.hello().getRegion().equals(region)) {
                found.putIfAbsent(peer.hello().getRegion(), peer);
            }
        }
        return new ArrayList<>(found.values());
    }

    /** Returns the live peer of another region that reports the most free slots of a service, if any reports one. */
    Optional<Peer> findPeerWithMostFreeSlots(String region, String service) {
        return byId.values().stream()
                .filter(peer -> peer.isLive() && !peer.hello().getRegion().equals(region))
                .filter(peer -> peer.findFreeSlots(service) > 0)
                .max(Comparator.comparingInt(peer -> peer.findFreeSlots(service)));
    }

    /**
     * Returns the live entries, including the entry described in {@code settings}. The reader is the live entry of the
     * region with the lowest id; this entry, if it is leaving, is the reader only if there is no other.
     */
    LiveEntries findLive(PeersSettings settings, boolean isSelfLeaving) {
        List<String> addresses = new ArrayList<>();
        addresses.add(settings.address());
        String reader = isSelfLeaving ? null : settings.entryId();
        int count = 1;
        for (Peer peer : byId.values()) {
            if (!peer.isLive()) {
                continue;
            }
            count++;
            if (peer.hello().getRegion().equals(settings.region())) {
                addresses.add(peer.hello().getAddress());
                reader = reader == null || peer.id().compareTo(reader) < 0 ? peer.id() : reader;
            }
        }
        String chosen = reader == null ? settings.entryId() : reader;
        return new LiveEntries(addresses, count, chosen, chosen.equals(settings.entryId()));
    }
}
