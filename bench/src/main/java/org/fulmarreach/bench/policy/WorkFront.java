package org.fulmarreach.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.fulmarreach.core.rules.Rules;
import org.fulmarreach.core.work.Action;
import org.fulmarreach.core.work.GuardReport;
import org.fulmarreach.core.work.InvariantCheck;
import org.fulmarreach.core.work.LoggedBatch;
import org.fulmarreach.core.work.ShardId;
import org.fulmarreach.core.work.ShardLeader;
import org.fulmarreach.core.work.Shards;
import org.fulmarreach.core.work.WorkBatch;
import org.fulmarreach.core.work.WorkNotice;
import org.fulmarreach.core.work.WorkTimes;
import org.fulmarreach.protocol.io.WorkRecords;

/** The shard leaders of one entry, with the log, the guards and the other entries of the region around them. */
final class WorkFront {
    static final int SHARDS = 2;
    private static final long HOP_MS = 1;
    private static final long TICK_MS = 250;
    private static final long READ_EVERY_MS = 100;
    private static final long APPEND_MS = 5;
    private static final long APPEND_TIMEOUT_MS = 2_000;
    /** Assumed size of the headers of a request and its answer over HTTP. */
    static final int HTTP_BYTES = 500;

    final String id;
    final String region;
    final String zone;
    boolean dead;
    private final World world;
    private final Map<String, ShardLeader> leaders = new HashMap<>();
    private final Map<String, Long> lastRecordMs = new HashMap<>();
    private long requests;

    WorkFront(World world, String id, String region, String zone, Rules rules, long seed) {
        this.world = world;
        this.id = id;
        this.region = region;
        this.zone = zone;
        Random random = new Random(seed);
        for (int i = 0; i < SHARDS; i++) {
            ShardId shard = new ShardId(region, i, SHARDS, id, 1);
            ShardLeader leader = new ShardLeader(
                    shard, zone, WorkTimes.DEFAULT, new Random(random.nextLong()), InvariantCheck.THROWING);
            leader.onRules(rules);
            leaders.put(Shards.constructName(region, i), leader);
        }
    }

    void start() {
        leaders.keySet().forEach(shard -> {
            world.timeline.every(READ_EVERY_MS, () -> read(shard));
            world.timeline.every(TICK_MS, () -> {
                if (!dead) {
                    leaders.get(shard).tick(nowMs(), world.wallMs());
                    drain(shard);
                }
            });
        });
    }

    void receiveHeartbeat(GuardReport report) {
        leaders.forEach((shard, leader) -> {
            leader.onHeartbeat(report, nowMs());
            drain(shard);
        });
    }

    void receiveGuardLost(String vm) {
        leaders.values().forEach(leader -> leader.onGuardLost(vm));
    }

    void receivePeer(WorkFront peer) {
        for (ShardLeader leader : leaders.values()) {
            if (peer.dead) {
                leader.onPeerLost(peer.id);
            } else {
                leader.onPeer(peer.id, peer.zone, false);
            }
        }
    }

    /** Cancels a work if this entry leads its shard. */
    void cancel(String work) {
        String shard = Shards.constructName(region, Shards.findIndex(work, SHARDS));
        ShardLeader leader = leaders.get(shard);
        if (!dead && leader.isLeading()) {
            leader.cancel(++requests, work);
        }
    }

    private long nowMs() {
        return world.timeline.nowMs();
    }

    private boolean isFar() {
        return !region.equals(world.scenario.site().homeRegion());
    }

    private void read(String shard) {
        if (dead) {
            return;
        }
        ShardLeader leader = leaders.get(shard);
        long issuedMs = nowMs();
        boolean down = world.log.down;
        List<LoggedBatch> found = down ? List.of() : world.log.read(shard, leader.nextOffset());
        // One reader for each region crosses the link; a read waits at the store for up to a second.
        boolean crosses = isFar() && world.isReader(this) && !down;
        boolean answers = !found.isEmpty() || nowMs() - lastRecordMs.getOrDefault(shard, 0L) >= 1_000;
        if (crosses && answers) {
            lastRecordMs.put(shard, nowMs());
            int bytes = HTTP_BYTES;
            for (LoggedBatch record : found) {
                bytes += WorkRecords.encode(record.batch()).length * 4 / 3 + 30;
            }
            world.link(true).sendOwn(bytes, () -> {});
            world.link(false).sendOwn(HTTP_BYTES, () -> {});
        }
        world.timeline.after(isFar() ? world.findFarDelayMs() : HOP_MS, () -> {
            if (dead) {
                return;
            }
            if (down) {
                leader.onReadFailed(nowMs());
            } else {
                leader.onRead(issuedMs, found, true, nowMs());
            }
            drain(shard);
        });
    }

    private void drain(String shard) {
        for (Action action : new ArrayList<>(leaders.get(shard).drain())) {
            perform(shard, action);
        }
    }

    private void perform(String shard, Action action) {
        ShardLeader leader = leaders.get(shard);
        switch (action) {
            case Action.Append append -> append(shard, append.batch());
            case Action.ToGuard message -> {
                SimVm vm = world.findVm(message.vm());
                world.timeline.after(HOP_MS, () -> vm.tasks.receive(shard, message.message()));
            }
            case Action.ToPeer message -> {
                WorkFront peer = world.findFront(message.entryId());
                world.timeline.after(HOP_MS, () -> {
                    if (!peer.dead) {
                        peer.leaders.get(shard).onPeerMessage(id, message.message(), nowMs());
                        peer.drain(shard);
                    }
                });
            }
            case Action.ProbeStore probe -> {
                boolean up = !world.log.down;
                world.timeline.after(HOP_MS, () -> leader.onProbeResult(up, nowMs()));
            }
            case Action.Notify notify -> world.note(notify.notice());
            default -> {
                // Answers to operators are not measured.
            }
        }
    }

    private void append(String shard, WorkBatch batch) {
        ShardLeader leader = leaders.get(shard);
        if (world.log.down) {
            world.timeline.after(APPEND_TIMEOUT_MS, () -> {
                if (!dead) {
                    leader.onAppendResult(batch.batchId(), false, nowMs());
                }
            });
            return;
        }
        Runnable effect = () -> {
            world.log.append(shard, batch);
            world.timeline.after(APPEND_MS, () -> {
                if (!dead) {
                    leader.onAppendResult(batch.batchId(), true, nowMs());
                }
            });
        };
        if (isFar()) {
            world.link(false).sendOwn(WorkRecords.encode(batch).length + HTTP_BYTES, effect);
        } else {
            world.timeline.after(APPEND_MS, effect);
        }
    }

    /** Returns the notice that counts as an eviction. */
    static boolean isEviction(WorkNotice notice) {
        return notice == WorkNotice.EVICTED;
    }
}
