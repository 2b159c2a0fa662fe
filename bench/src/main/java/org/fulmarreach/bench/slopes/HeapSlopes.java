package org.fulmarreach.bench.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.request.ExecutionTable;
import org.fulmarreach.core.request.RequestId;
import org.fulmarreach.core.request.TableLimits;
import org.fulmarreach.core.rules.RuleBook;
import org.fulmarreach.core.rules.RulesRecord;
import org.fulmarreach.core.work.GuardReport;
import org.fulmarreach.core.work.InvariantCheck;
import org.fulmarreach.core.work.ShardLeader;
import org.fulmarreach.core.work.ShardState;
import org.fulmarreach.core.work.WorkBatch;
import org.fulmarreach.core.work.WorkDecision;
import org.fulmarreach.entry.guards.GuardDirectory;
import org.fulmarreach.entry.guards.GuardSession;
import org.fulmarreach.protocol.io.ThriftBytes;
import org.fulmarreach.protocol.io.WorkRecords;
import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.Hello;

/** Measures retained heap of state. As in production, strings of decoded messages are separate instances. */
final class HeapSlopes {
    private HeapSlopes() {}

    static List<Slope> measure() {
        List<Slope> slopes = new ArrayList<>();
        slopes.add(of("guard in the directory, 14 tasks", "guards", HeapSlopes::directory, 500, 1_000, 2_900));
        slopes.add(of("guard in the 8 shards of an entry, 14 tasks", "guards", HeapSlopes::shards, 500, 1_000, 2_900));
        slopes.add(of("running task in ShardState", "tasks", HeapSlopes::shardState, 1_000, 5_000, 20_000));
        slopes.add(of("rule in RuleBook", "rules", HeapSlopes::ruleBook, 1_000, 5_000, 20_000));
        slopes.add(of("id in ExecutionTable, 1 KB answer", "ids", n -> table(n, 1_024), 100, 500, 1_000));
        slopes.add(of("id in ExecutionTable, no answer", "ids", n -> table(n, 0), 1_000, 10_000, 40_000));
        return slopes;
    }

    private static Slope of(String name, String size, IntFunction<Object> construct, int... sizes) {
        List<Slope.Point> points = IntStream.of(sizes)
                .mapToObj(n -> new Slope.Point(n, CostMeter.measureHeapBytes(construct, n)))
                .toList();
        return new Slope(name, "bytes of heap", size, points);
    }

    private static Object directory(int guards) {
        GuardDirectory directory = new GuardDirectory();
        for (int i = 0; i < guards; i++) {
            Hello hello = ThriftBytes.decode(ThriftBytes.encode(Samples.hello(i)), new Hello());
            directory.register(new IdleLink(), hello, 0);
            GuardSession session = directory.find(hello.getGuardId()).orElseThrow();
            session.update(decode(i), 0);
        }
        return directory;
    }

    private static Heartbeat decode(int guard) {
        Heartbeat sent = Samples.heartbeat(guard * Samples.TASKS_PER_VM, Samples.TASKS_PER_VM, 1_000);
        return ThriftBytes.decode(ThriftBytes.encode(sent), new Heartbeat());
    }

    /** The shards share one report per guard; its strings, also retained by the guard directory, count here too. */
    private static Object shards(int guards) {
        List<ShardLeader> leaders = new ArrayList<>();
        for (int i = 0; i < Samples.SHARDS; i++) {
            leaders.add(LeaderBuilder.constructFollower(i));
        }
        for (int i = 0; i < guards; i++) {
            GuardReport report = Samples.toReport(Samples.vm(i), decode(i));
            leaders.forEach(leader -> leader.onHeartbeat(report, 1_000));
        }
        return leaders;
    }

    private static Object shardState(int tasks) {
        ShardState state = new ShardState(InvariantCheck.THROWING);
        state.apply(0, new WorkBatch("e/1/claim-1", 0, List.of(new WorkDecision.Claim("e/1", -1, List.of()))));
        for (int i = 0; i < tasks; i++) {
            TaskId task = new TaskId(Samples.workName(i), 1, 1);
            WorkBatch batch = new WorkBatch(
                    WorkBatch.constructId("e/1", i + 1),
                    0,
                    List.of(new WorkDecision.Assign(task, "vm-" + i / Samples.TASKS_PER_VM, 1, null)));
            state.apply(i + 1, WorkRecords.decode(WorkRecords.encode(batch)));
        }
        return state;
    }

    private static Object ruleBook(int rules) {
        RuleBook book = new RuleBook();
        book.apply(0, new RulesRecord.Publish("p0", 0, List.of(), Samples.batchLines(rules), "lena"));
        book.inForce();
        return book;
    }

    private static Object table(int ids, int answerBytes) {
        ExecutionTable<byte[]> table =
                new ExecutionTable<>("guard-1234", 1_796_000_000_123L, TableLimits.DEFAULT, answer -> answer.length);
        for (int i = 0; i < ids; i++) {
            RequestId made =
                    RequestId.mintForCaller("guard-1234", 1_796_000_000_123L, 1_000, i * 0x9E3779B97F4A7C15L, i);
            RequestId id = ((org.fulmarreach.core.exc.Result.Ok<RequestId>) RequestId.parse(made.format())).value();
            table.begin(id, 2_000);
            table.complete(id, new byte[answerBytes]);
        }
        return table;
    }
}
