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

/** Runs the shard leaders of one entry and delivers their messages to the log, guards and peers of the region. */
final class SimWorkNode {
    static final int SHARDS = 2;
    private static final long HOP_MS = 1;
    private static final long TICK_MS = 250;
    private static final long READ_PERIOD_MS = 100;
    private static final long APPEND_MS = 5;
    private static final long APPEND_TIMEOUT_MS = 2_000;
    /** Assumed size of the HTTP headers of a request and its response. */
    static final int HTTP_BYTES = 500;

    final String id;
    final String region;
    final String zone;
    boolean crashed;
    private final Simulation simulation;
    private final Map<String, ShardLeader> leaders = new HashMap<>();
    private final Map<String, Long> lastRecordMs = new HashMap<>();
    private long requests;

    SimWorkNode(Simulation simulation, String id, String region, String zone, Rules rules, long seed) {
        this.simulation = simulation;
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
            simulation.timeline.every(READ_PERIOD_MS, () -> read(shard));
            simulation.timeline.every(TICK_MS, () -> {
                if (!crashed) {
                    leaders.get(shard).tick(nowMs(), simulation.wallMs());
                    performActions(shard);
                }
            });
        });
    }

    void receiveHeartbeat(GuardReport report) {
        leaders.forEach((shard, leader) -> {
            leader.onHeartbeat(report, nowMs());
            performActions(shard);
        });
    }

    void receiveGuardLost(String vm) {
        leaders.values().forEach(leader -> leader.onGuardLost(vm));
    }

    void receivePeer(SimWorkNode peer) {
        for (ShardLeader leader : leaders.values()) {
            if (peer.crashed) {
                leader.onPeerLost(peer.id);
            } else {
                leader.onPeer(peer.id, peer.zone, false);
            }
        }
    }

    /** Cancels a work; no effect unless this entry leads its shard. */
    void cancel(String work) {
        String shard = Shards.constructName(region, Shards.findIndex(work, SHARDS));
        ShardLeader leader = leaders.get(shard);
        if (!crashed && leader.isLeading()) {
            leader.cancel(++requests, work);
        }
    }

    private long nowMs() {
        return simulation.timeline.nowMs();
    }

    private boolean isFar() {
        return !region.equals(simulation.scenario.site().homeRegion());
    }

    private void read(String shard) {
        if (crashed) {
            return;
        }
        ShardLeader leader = leaders.get(shard);
        long issuedMs = nowMs();
        boolean down = simulation.log.down;
        List<LoggedBatch> records = down ? List.of() : simulation.log.read(shard, leader.nextOffset());
        // Only one entry per region reads across the link; the store holds an empty read for up to a second.
        boolean crossesLink = isFar() && simulation.isLogReader(this) && !down;
        boolean storeResponds = !records.isEmpty() || nowMs() - lastRecordMs.getOrDefault(shard, 0L) >= 1_000;
        if (crossesLink && storeResponds) {
            lastRecordMs.put(shard, nowMs());
            int bytes = HTTP_BYTES;
            for (LoggedBatch record : records) {
                bytes += WorkRecords.encode(record.batch()).length * 4 / 3 + 30;
            }
            simulation.link(true).sendInternal(bytes, () -> {});
            simulation.link(false).sendInternal(HTTP_BYTES, () -> {});
        }
        simulation.timeline.after(isFar() ? simulation.findFarReadDelayMs() : HOP_MS, () -> {
            if (crashed) {
                return;
            }
            if (down) {
                leader.onReadFailed(nowMs());
            } else {
                leader.onRead(issuedMs, records, true, nowMs());
            }
            performActions(shard);
        });
    }

    private void performActions(String shard) {
        for (Action action : new ArrayList<>(leaders.get(shard).drain())) {
            perform(shard, action);
        }
    }

    private void perform(String shard, Action action) {
        ShardLeader leader = leaders.get(shard);
        switch (action) {
            case Action.Append append -> append(shard, append.batch());
            case Action.ToGuard message -> {
                SimVm vm = simulation.findVm(message.vm());
                simulation.timeline.after(HOP_MS, () -> vm.tasks.receive(shard, message.message()));
            }
            case Action.ToPeer message -> {
                SimWorkNode peer = simulation.findWorkNode(message.entryId());
                simulation.timeline.after(HOP_MS, () -> {
                    if (!peer.crashed) {
                        peer.leaders.get(shard).onPeerMessage(id, message.message(), nowMs());
                        peer.performActions(shard);
                    }
                });
            }
            case Action.ProbeStore probe -> {
                boolean up = !simulation.log.down;
                simulation.timeline.after(HOP_MS, () -> leader.onProbeResult(up, nowMs()));
            }
            case Action.Notify notify -> simulation.recordNotice(notify.notice());
            default -> {
                // Responses to operators are not simulated.
            }
        }
    }

    private void append(String shard, WorkBatch batch) {
        ShardLeader leader = leaders.get(shard);
        if (simulation.log.down) {
            simulation.timeline.after(APPEND_TIMEOUT_MS, () -> {
                if (!crashed) {
                    leader.onAppendResult(batch.batchId(), false, nowMs());
                }
            });
            return;
        }
        Runnable effect = () -> {
            simulation.log.append(shard, batch);
            simulation.timeline.after(APPEND_MS, () -> {
                if (!crashed) {
                    leader.onAppendResult(batch.batchId(), true, nowMs());
                }
            });
        };
        if (isFar()) {
            simulation.link(false).sendInternal(WorkRecords.encode(batch).length + HTTP_BYTES, effect);
        } else {
            simulation.timeline.after(APPEND_MS, effect);
        }
    }

    /** Tells whether a notice counts as an eviction. */
    static boolean isEviction(WorkNotice notice) {
        return notice == WorkNotice.EVICTED;
    }
}
