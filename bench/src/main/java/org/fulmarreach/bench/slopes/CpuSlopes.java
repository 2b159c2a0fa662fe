package org.fulmarreach.bench.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;

import org.fulmarreach.core.budget.BudgetLedger;
import org.fulmarreach.core.budget.BudgetRecord;
import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.routing.Candidate;
import org.fulmarreach.core.routing.TargetChooser;
import org.fulmarreach.core.rules.RuleBook;
import org.fulmarreach.core.rules.RulesRecord;
import org.fulmarreach.core.work.InvariantCheck;
import org.fulmarreach.core.work.ShardLeader;
import org.fulmarreach.core.work.ShardState;
import org.fulmarreach.core.work.WorkBatch;
import org.fulmarreach.core.work.WorkDecision;
import org.fulmarreach.entry.guards.GuardSession;
import org.fulmarreach.entry.guards.GuardView;
import org.fulmarreach.protocol.io.ThriftBytes;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.HeartbeatAck;

/** Measures CPU time of frequent decisions. */
final class CpuSlopes {
    private static final long START_MS = 1_000;

    private CpuSlopes() {}

    static List<Slope> measure() {
        List<Slope> slopes = new ArrayList<>();
        slopes.add(of("Heartbeat decode, fold, ack, 8 shards", "tasks on the VM", CpuSlopes::heartbeat, 0, 4, 14, 32));
        slopes.add(of("TargetChooser decision", "targets", CpuSlopes::chooseTarget, 11, 100, 1_000, 2_900));
        slopes.add(of("ShardState apply of a batch", "assigns", CpuSlopes::applyShard, 1, 10, 43, 172));
        slopes.add(of(
                "Scheduling pass, no room, 100 VMs",
                "pending runs",
                n -> schedulingPass(n, 100, false),
                100,
                1_000,
                4_000));
        slopes.add(of(
                "Scheduling pass, no room, 1,000 pending",
                "VMs",
                m -> schedulingPass(1_000, m, false),
                100,
                1_000,
                2_900));
        slopes.add(of(
                "Scheduling pass with room, 43 pending", "VMs", m -> schedulingPass(43, m, true), 100, 1_000, 2_900));
        slopes.add(of("RuleBook apply of a publish", "rules", CpuSlopes::publish, 1_000, 5_000, 20_000));
        slopes.add(of(
                "BudgetLedger apply of a reservation", "records before", CpuSlopes::reserveBudget, 100, 1_000, 10_000));
        return slopes;
    }

    private static Slope of(String name, String size, IntToDoubleFunction ns, int... sizes) {
        List<Slope.Point> points = IntStream.of(sizes)
                .mapToObj(n -> new Slope.Point(n, ns.applyAsDouble(n) / 1_000))
                .toList();
        return new Slope(name, "us", size, points);
    }

    private static double heartbeat(int tasks) {
        List<ShardLeader> shards = new ArrayList<>();
        for (int i = 0; i < Samples.SHARDS; i++) {
            shards.add(LeaderBuilder.constructFollower(i));
        }
        var hello = Samples.hello(1);
        GuardView view = new GuardView("guard-1", hello.getIncarnation(), Samples.vm(1), Samples.SERVICE);
        GuardSession session = new GuardSession(view, hello, new IdleLink(), 0);
        byte[] bytes = ThriftBytes.encode(new Frame(0, Body.heartbeat(Samples.heartbeat(0, tasks, 1_000))));
        List<String> entries = List.of("10.20.30.1:7400", "10.20.30.2:7400", "10.20.30.3:7400");
        long[] nowMs = {START_MS};
        return CostMeter.measureNs(() -> {
            nowMs[0] += 500;
            Heartbeat heartbeat =
                    ThriftBytes.decode(bytes, new Frame()).getBody().getHeartbeat();
            heartbeat.setTickMs(nowMs[0]);
            session.update(heartbeat, nowMs[0]);
            var report = Samples.toReport(view.vm(), heartbeat);
            shards.forEach(shard -> shard.onHeartbeat(report, nowMs[0]));
            return ThriftBytes.encode(
                    new Frame(0, Body.heartbeatAck(new HeartbeatAck(heartbeat.getTickMs(), 56_000, entries))));
        });
    }

    private static double chooseTarget(int targets) {
        Random random = new Random(1);
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            candidates.add(new Candidate("guard-" + i, "sued-" + i % 3, 8, random.nextInt(8)));
        }
        TargetChooser chooser = new TargetChooser("sued-1");
        return CostMeter.measureNs(() -> chooser.choose(candidates, random));
    }

    /** Returns half the CPU time of applying a batch of assigns and the batch that finishes them. */
    private static double applyShard(int assigns) {
        ShardState state = new ShardState(InvariantCheck.THROWING);
        state.apply(0, new WorkBatch("e/1/claim-1", 0, List.of(new WorkDecision.Claim("e/1", -1, List.of()))));
        long[] next = {1, 1};
        return CostMeter.measureNs(() -> {
                    List<WorkDecision> assigned = new ArrayList<>();
                    List<WorkDecision> finished = new ArrayList<>();
                    for (int i = 0; i < assigns; i++) {
                        TaskId task = new TaskId(Samples.workName(i), next[1], 1);
                        assigned.add(new WorkDecision.Assign(task, "vm-1", 1, null));
                        finished.add(new WorkDecision.Finished(task, true, null));
                    }
                    next[1]++;
                    state.apply(next[0], new WorkBatch(WorkBatch.constructId("e/1", next[0]), 0, assigned));
                    next[0]++;
                    state.apply(next[0], new WorkBatch(WorkBatch.constructId("e/1", next[0]), 0, finished));
                    next[0]++;
                    return state;
                })
                / 2;
    }

    private static double schedulingPass(int pending, int vms, boolean hasRoom) {
        LeaderBuilder builder = new LeaderBuilder(pending, vms, hasRoom);
        return CostMeter.measurePreparedNs(builder::constructLeader, leader -> {
            leader.tick(builder.readyMs(), LeaderBuilder.WALL_MS + builder.readyMs());
            return leader.drain();
        });
    }

    private static double publish(int rules) {
        RuleBook book = new RuleBook();
        book.apply(0, new RulesRecord.Publish("p0", 0, List.of(), Samples.batchLines(rules), "lena"));
        String first = Samples.batchLine(0);
        String other = first.replace("cores=4", "cores=5");
        long[] offset = {1};
        return CostMeter.measureNs(() -> {
            boolean odd = offset[0] % 2 == 1;
            book.apply(
                    offset[0],
                    new RulesRecord.Publish(
                            "p" + offset[0],
                            offset[0],
                            List.of(odd ? first : other),
                            List.of(odd ? other : first),
                            "lena"));
            offset[0]++;
            return book.inForce();
        });
    }

    private static double reserveBudget(int before) {
        long[] next = {0, 0};
        BudgetLedger[] ledger = {new BudgetLedger()};
        return CostMeter.measureNs(() -> {
            if (next[0] % before == 0) {
                next[1]++;
            }
            var record = new BudgetRecord.Reserve(
                    "entry-1/1/" + next[0], "entry-1", next[1] * 86_400_000, 10, 1_000_000_000_000L, 1);
            return ledger[0].apply(next[0]++, record);
        });
    }
}
