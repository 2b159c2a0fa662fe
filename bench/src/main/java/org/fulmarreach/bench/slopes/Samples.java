package org.fulmarreach.bench.slopes;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.model.AvailabilityZone;
import org.fulmarreach.core.model.Region;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.model.Vm;
import org.fulmarreach.core.rules.ParseResult;
import org.fulmarreach.core.rules.Rules;
import org.fulmarreach.core.rules.RulesParser;
import org.fulmarreach.core.work.GuardReport;
import org.fulmarreach.core.work.TaskReport;
import org.fulmarreach.protocol.io.ThriftBytes;
import org.fulmarreach.protocol.io.WorkRecords;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.GuardState;
import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.Hello;
import org.fulmarreach.protocol.thrift.TaskPhase;
import org.fulmarreach.protocol.thrift.TaskStatus;

/** Sample messages and state with realistic content. Stateless. */
final class Samples {
    static final String SERVICE = "bestellung";
    static final String REGION = "sued";
    static final int SHARDS = 8;
    /** Tasks per VM at the size expected in two years: 321,000 tasks on 23,000 VMs. */
    static final int TASKS_PER_VM = 14;

    private static final int LENGTH_PREFIX_BYTES = 4;
    private static final int VMS_PER_ZONE = 1_000;

    private Samples() {}

    static int findFrameBytes(Body body) {
        return ThriftBytes.encode(new Frame(0, body)).length + LENGTH_PREFIX_BYTES;
    }

    static String workName(int index) {
        return "farbplan-kita-" + index;
    }

    static TaskId task(int index) {
        return new TaskId(workName(index), 20_833 + index % 10, 1 + index % 3);
    }

    static Heartbeat heartbeat(int firstTask, int tasks, long tickMs) {
        List<TaskStatus> statuses = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            TaskId task = task(firstTask + i);
            statuses.add(new TaskStatus(
                    WorkRecords.toThrift(task),
                    TaskPhase.RUNNING,
                    3_900 + i,
                    8_192L + i,
                    12_000,
                    1.0,
                    123_456,
                    "work-sued-" + i % SHARDS));
        }
        return new Heartbeat(
                        tickMs,
                        GuardState.READY,
                        5,
                        5,
                        new org.fulmarreach.protocol.thrift.Resources(31_000, 128_000, 0),
                        56_000,
                        statuses,
                        230,
                        1_796_000_000_123L,
                        8,
                        64,
                        false,
                        false)
                .setServiceName(SERVICE);
    }

    static Hello hello(int index) {
        return new Hello(
                "guard-" + index,
                "vm-" + index,
                1_796_000_000_123L,
                "sued-a",
                REGION,
                "rack-" + index / 3,
                SERVICE,
                8,
                64,
                new org.fulmarreach.protocol.thrift.Resources(64_000, 256_000, 0));
    }

    static Vm vm(int index) {
        AvailabilityZone zone = new AvailabilityZone("sued-" + index / VMS_PER_ZONE, new Region(REGION));
        return new Vm("vm-" + index, "rack-" + index / 3, zone, new Resources(64_000, 256_000, 0));
    }

    /** Converts a heartbeat as the entry does for its shard leaders. */
    static GuardReport toReport(Vm vm, Heartbeat heartbeat) {
        List<TaskReport> tasks = new ArrayList<>();
        for (TaskStatus status : heartbeat.getTasks()) {
            tasks.add(new TaskReport(
                    WorkRecords.fromThrift(status.getTask()),
                    TaskReport.Phase.valueOf(status.getPhase().name()),
                    status.getCheckpoint(),
                    status.getReason(),
                    new Resources(status.getUsedMilliCores(), status.getUsedMemoryMb(), 0),
                    status.getThrottleShare(),
                    status.getTerm(),
                    status.getShard()));
        }
        var free = heartbeat.getFree();
        return new GuardReport(
                vm,
                heartbeat.getServiceName(),
                heartbeat.getIncarnation(),
                heartbeat.getTickMs(),
                heartbeat.getState() == GuardState.READY,
                heartbeat.isWorkerFailing(),
                new Resources(free.getMilliCores(), free.getMemoryMb(), free.getAccelerators()),
                tasks);
    }

    static String batchLine(int index) {
        return "batch " + workName(index) + " region=sued every=24h at=" + index % 86_000
                + "s within=2h runtime=20m cores=4 memory=8G cost=40 # kreidekiste: Jonas";
    }

    static List<String> batchLines(int count) {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            lines.add(batchLine(i));
        }
        return lines;
    }

    static Rules parse(List<String> lines) {
        return switch (RulesParser.parse(lines)) {
            case ParseResult.Parsed parsed -> parsed.rules();
            case ParseResult.Faulty faulty ->
                throw new IllegalStateException("sample rules do not parse: " + faulty.faults());
        };
    }
}
