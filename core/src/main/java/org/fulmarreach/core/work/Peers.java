package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The other live entries of the region; selects the witnesses among them. Not thread-safe; owned by its shard. */
final class Peers {
    /** A witness that has been gone for this long is replaced by means of a new claim. */
    private static final long REPLACE_WITNESSES_AFTER_MS = 60_000;

    private static final long ADD_WITNESSES_AFTER_MS = 5_000;

    private record Peer(String zone, boolean leaving) {}

    private final Map<String, Peer> live = new HashMap<>();
    private final String ownZone;
    private long insufficientSinceMs = Placement.NEVER;

    Peers(String ownZone) {
        this.ownZone = ownZone;
    }

    void update(String entryId, String zone, boolean leaving) {
        live.put(entryId, new Peer(zone, leaving));
    }

    void remove(String entryId) {
        live.remove(entryId);
    }

    /** Returns the live entries in other availability zones, or all other live entries if there are none. */
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
        List<String> witnesses = otherZones.isEmpty() ? others : otherZones;
        witnesses.sort(null);
        return witnesses;
    }

    /** Returns whether the leader should claim again in order to replace the witnesses of its current term. */
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
        return nowMs - insufficientSinceMs
                >= (witnesses.isEmpty() ? ADD_WITNESSES_AFTER_MS : REPLACE_WITNESSES_AFTER_MS);
    }

    /** Returns the position of {@code ownId} in a hash order of the live entries, which differs between shards. */
    int findClaimRank(String ownId, String shard) {
        long own = Shards.hash(shard + " " + ownId);
        return (int) live.entrySet().stream()
                .filter(peer -> !peer.getValue().leaving() && Shards.hash(shard + " " + peer.getKey()) < own)
                .count();
    }
}
