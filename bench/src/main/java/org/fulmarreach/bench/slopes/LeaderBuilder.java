package org.fulmarreach.bench.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.rules.Rules;
import org.fulmarreach.core.work.Action;
import org.fulmarreach.core.work.GuardReport;
import org.fulmarreach.core.work.InvariantCheck;
import org.fulmarreach.core.work.LoggedBatch;
import org.fulmarreach.core.work.ShardId;
import org.fulmarreach.core.work.ShardLeader;
import org.fulmarreach.core.work.WorkTimes;

/** Constructs shard leaders with pending runs and VMs whose next tick runs a scheduling pass. */
final class LeaderBuilder {
    /** 01:00 on a day, in UTC milliseconds; all runs of the rules below were due from 00:00 to 00:10 of that day. */
    static final long WALL_MS = 20_833L * 86_400_000 + 3_600_000;

    private static final long CLAIMED_MS = 10_000;
    private static final long READY_MS = 12_000;

    private final Rules rules;
    private final List<GuardReport> reports = new ArrayList<>();

    LeaderBuilder(int pending, int vms, boolean hasRoom) {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < pending; i++) {
            lines.add("batch " + Samples.workName(i) + " region=sued every=24h at=" + i % 600
                    + "s within=6h runtime=20m cores=4 memory=8G # kreidekiste: Jonas");
        }
        rules = Samples.parse(lines);
        for (int i = 0; i < vms; i++) {
            Resources free = hasRoom ? new Resources(32_000, 128_000, 0) : new Resources(1_000, 1_000, 0);
            GuardReport sample = Samples.toReport(
                    Samples.vm(i), Samples.heartbeat(100_000 + i * Samples.TASKS_PER_VM, Samples.TASKS_PER_VM, 1_000));
            reports.add(new GuardReport(
                    sample.vm(),
                    sample.service(),
                    sample.incarnation(),
                    sample.tickMs(),
                    true,
                    false,
                    free,
                    sample.tasks()));
        }
    }

    long readyMs() {
        return READY_MS;
    }

    static ShardLeader constructFollower(int index) {
        return new ShardLeader(
                new ShardId(Samples.REGION, index, Samples.SHARDS, "entry-1", 1),
                "sued-a",
                WorkTimes.DEFAULT,
                new Random(index),
                InvariantCheck.THROWING);
    }

    /** Returns a leader that runs a scheduling pass at its next tick, at {@link #readyMs()}. */
    ShardLeader constructLeader() {
        ShardLeader leader = new ShardLeader(
                new ShardId(Samples.REGION, 0, 1, "entry-1", 1),
                "sued-a",
                WorkTimes.DEFAULT,
                new Random(1),
                InvariantCheck.THROWING);
        leader.onRules(rules);
        leader.onRead(CLAIMED_MS - 2, List.of(), true, CLAIMED_MS - 1);
        leader.onRead(CLAIMED_MS - 1, List.of(), true, CLAIMED_MS);
        leader.tick(CLAIMED_MS, WALL_MS);
        for (Action action : leader.drain()) {
            if (action instanceof Action.Append append) {
                leader.onAppendResult(append.batch().batchId(), true, CLAIMED_MS + 5);
                leader.onRead(CLAIMED_MS + 5, List.of(new LoggedBatch(0, append.batch())), true, CLAIMED_MS + 10);
            }
        }
        if (!leader.isLeading()) {
            throw new IllegalStateException("the shard leader did not become leader after its claim was read");
        }
        leader.drain();
        reports.forEach(report -> leader.onHeartbeat(report, READY_MS - 100));
        leader.drain();
        return leader;
    }
}
