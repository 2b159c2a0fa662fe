package org.fulmarreach.bench.slopes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.rules.Rules;
import org.fulmarreach.core.work.Action;
import org.fulmarreach.core.work.GuardMessage;
import org.fulmarreach.core.work.GuardReport;
import org.fulmarreach.core.work.InvariantCheck;
import org.fulmarreach.core.work.LoggedBatch;
import org.fulmarreach.core.work.ShardId;
import org.fulmarreach.core.work.ShardLeader;
import org.fulmarreach.core.work.TaskReport;
import org.fulmarreach.core.work.WorkBatch;
import org.fulmarreach.core.work.WorkTimes;
import org.fulmarreach.protocol.io.WorkRecords;

/** Measures append rate and record bytes of one shard leader in virtual time, by the start rate of its rules. */
final class AppendSlopes {
    private static final long INTERVAL_S = 60;
    private static final long WARM_UP_MS = 40_000;
    private static final long MEASURED_MS = 60_000;
    private static final long STEP_MS = 50;
    private static final long RUN_MS = 2_000;
    private static final int VMS = 60;

    private final Map<String, Map<TaskId, Long>> startedMs = new HashMap<>();
    private final List<LoggedBatch> log = new ArrayList<>();
    private final ShardLeader leader;
    private long nowMs;
    private long appends;
    private long bytes;
    private long starts;

    private AppendSlopes(int startsPerS) {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < startsPerS * INTERVAL_S; i++) {
            lines.add("batch " + Samples.workName(i) + " region=sued every=60s at=" + i / startsPerS
                    + "s within=50s runtime=2s cores=1 memory=1M # kreidekiste: Jonas");
        }
        Rules rules = Samples.parse(lines);
        leader = new ShardLeader(
                new ShardId(Samples.REGION, 0, 1, "entry-1", 1),
                "sued-a",
                WorkTimes.DEFAULT,
                new java.util.Random(1),
                InvariantCheck.THROWING);
        leader.onRules(rules);
        for (int i = 0; i < VMS; i++) {
            startedMs.put("vm-" + i, new HashMap<>());
        }
    }

    static List<Slope> measure() {
        List<Slope.Point> rates = new ArrayList<>();
        List<Slope.Point> sizes = new ArrayList<>();
        List<Slope.Point> achieved = new ArrayList<>();
        for (int startsPerS : new int[] {10, 43, 86, 172}) {
            AppendSlopes simulation = new AppendSlopes(startsPerS);
            simulation.run();
            double seconds = MEASURED_MS / 1_000.0;
            rates.add(new Slope.Point(startsPerS, simulation.appends / seconds));
            sizes.add(new Slope.Point(startsPerS, simulation.bytes / seconds));
            achieved.add(new Slope.Point(startsPerS, simulation.starts / seconds));
        }
        return List.of(
                new Slope("Appends of one shard", "appends/s", "starts/s wanted", rates),
                new Slope("Record bytes of one shard", "bytes/s", "starts/s wanted", sizes),
                new Slope("Starts of one shard", "starts/s", "starts/s wanted", achieved));
    }

    private void run() {
        while (nowMs < WARM_UP_MS + MEASURED_MS) {
            nowMs += STEP_MS;
            leader.onRead(nowMs - 1, log.subList((int) leader.nextOffset(), log.size()), true, nowMs);
            performActions();
            if (nowMs % 500 == 0) {
                startedMs.forEach((vm, tasks) -> leader.onHeartbeat(report(vm, tasks), nowMs));
                performActions();
            }
            if (nowMs % 250 == 0) {
                leader.tick(nowMs, LeaderBuilder.WALL_MS + nowMs);
                performActions();
            }
        }
    }

    private GuardReport report(String vm, Map<TaskId, Long> tasks) {
        List<TaskReport> reports = new ArrayList<>();
        tasks.forEach((task, startMs) -> {
            boolean ended = nowMs - startMs >= RUN_MS;
            reports.add(new TaskReport(
                    task,
                    ended ? TaskReport.Phase.SUCCEEDED : TaskReport.Phase.RUNNING,
                    null,
                    null,
                    new Resources(1_000, 1, 0),
                    1,
                    1,
                    "work-sued-0"));
        });
        int index = Integer.parseInt(vm.substring(3));
        Resources free = new Resources(64_000 - 1_000 * Math.min(64, tasks.size()), 200_000, 0);
        return new GuardReport(Samples.vm(index), Samples.SERVICE, 1, nowMs, true, false, free, reports);
    }

    private void performActions() {
        for (Action action : leader.drain()) {
            switch (action) {
                case Action.Append append -> append(append.batch());
                case Action.ToGuard message -> receive(message.vm(), message.message());
                default -> {
                    // Other actions do not affect appends or starts.
                }
            }
        }
    }

    private void append(WorkBatch batch) {
        log.add(new LoggedBatch(log.size(), batch));
        leader.onAppendResult(batch.batchId(), true, nowMs);
        if (nowMs > WARM_UP_MS) {
            appends++;
            bytes += WorkRecords.encode(batch).length;
        }
    }

    private void receive(String vm, GuardMessage message) {
        Map<TaskId, Long> tasks = startedMs.get(vm);
        if (message instanceof GuardMessage.Start start && tasks.putIfAbsent(start.task(), nowMs) == null) {
            starts += nowMs > WARM_UP_MS ? 1 : 0;
        } else if (message instanceof GuardMessage.Acknowledge acknowledge) {
            acknowledge.tasks().forEach(tasks::remove);
        }
    }
}
