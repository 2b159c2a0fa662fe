package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The other live entries of the region, for the choice of witnesses. Not thread-safe; owned by its shard. */
final class Peers {
    /** A witness that is gone this long is replaced by a new claim. */
    private static final long REPLACE_AFTER_MS = 60_000;

    private static final long ADD_AFTER_MS = 5_000;

    private record Peer(String zone, boolean leaving) {}

    private final Map<String, Peer> live = new HashMap<>();
    private final String ownZone;
    private long insufficientSinceMs = Placement.NEVER;

    Peers(String ownZone) {
        this.ownZone = ownZone;
    }

    void see(String entryId, String zone, boolean leaving) {
        live.put(entryId, new Peer(zone, leaving));
    }

    void lose(String entryId) {
        live.remove(entryId);
    }

    /** Returns the live entries in other availability zones, or where there are none, all other live ones. */
    List<String> findWitnesses() {
        List<String> others = new ArrayList<>();
        List<String> otherZones = new ArrayList<>();
        live.forEach((id, peer) -> {
            if (!peer.leaving()) {
                others.add(id);
                if (!peer.zone().equals(ownZone)) {
                    otherZones.add(id);
                }
            }
        });
        List<String> chosen = otherZones.isEmpty() ? others : otherZones;
        chosen.sort(null);
        return chosen;
    }

    /** Tells whether the witnesses of the present term should be replaced by a new claim of the same leader. */
    boolean shouldReplace(List<String> witnesses, long nowMs) {
        List<String> wanted = findWitnesses();
        boolean better =
                !wanted.isEmpty() && (witnesses.isEmpty() || !live.keySet().containsAll(witnesses));
        if (!better) {
            insufficientSinceMs = Placement.NEVER;
            return false;
        }
        if (insufficientSinceMs == Placement.NEVER) {
            insufficientSinceMs = nowMs;
        }
        return nowMs - insufficientSinceMs >= (witnesses.isEmpty() ? ADD_AFTER_MS : REPLACE_AFTER_MS);
    }

    /** Returns the place of {@code ownId} in an order of the live entries that differs from shard to shard. */
    int findRank(String ownId, String shard) {
        long own = Shards.hash(shard + " " + ownId);
        return (int) live.entrySet().stream()
                .filter(peer -> !peer.getValue().leaving() && Shards.hash(shard + " " + peer.getKey()) < own)
                .count();
    }
}
