package org.fulmarreach.bench.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;

import org.fulmarreach.core.rules.RulesRecord;
import org.fulmarreach.core.work.WorkBatch;
import org.fulmarreach.core.work.WorkDecision;
import org.fulmarreach.protocol.io.RulesRecords;
import org.fulmarreach.protocol.io.WorkRecords;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Call;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.protocol.thrift.Header;
import org.fulmarreach.protocol.thrift.HeartbeatAck;
import org.fulmarreach.protocol.thrift.Outcome;
import org.fulmarreach.protocol.thrift.PeerStatus;
import org.fulmarreach.protocol.thrift.RenewTasks;
import org.fulmarreach.protocol.thrift.ServiceSummary;

/** Measures the encoded size of messages (with their length prefix) and of records. */
final class ByteSlopes {
    private static final String REQUEST_ID = "guard-1234.1796000000123.86400123.c8f3a1b2c4d5e6f708192a3b4c5d6e7f8";
    private static final List<Header> HEADERS =
            List.of(new Header("content-type", "application/json"), new Header("traceparent", "0".repeat(55)));

    private ByteSlopes() {}

    static List<Slope> measure() {
        List<Slope> slopes = new ArrayList<>();
        slopes.add(of("Heartbeat", "tasks on the VM", ByteSlopes::heartbeat, 0, 4, 14, 32));
        slopes.add(of("HeartbeatAck", "entries listed", ByteSlopes::heartbeatAck, 2, 5, 20));
        slopes.add(of("Call", "body bytes", ByteSlopes::call, 0, 1_000, 8_000));
        slopes.add(of("CallResult", "body bytes", ByteSlopes::callResult, 0, 1_000, 8_000));
        slopes.add(of("RenewTasks", "tasks", ByteSlopes::renewTasks, 1, 4, 14));
        slopes.add(of("Assign in a WorkBatch", "assigns", n -> batch(n, false), 1, 43, 172));
        slopes.add(of("Finished in a WorkBatch", "records", n -> batch(n, true), 1, 43, 172));
        slopes.add(of("RulesPublish", "lines added", ByteSlopes::rulesPublish, 1, 10, 100));
        slopes.add(of("PeerStatus", "services", ByteSlopes::peerStatus, 1, 10, 100));
        return slopes;
    }

    private static Slope of(String name, String size, IntToDoubleFunction bytes, int... sizes) {
        List<Slope.Point> points = IntStream.of(sizes)
                .mapToObj(n -> new Slope.Point(n, bytes.applyAsDouble(n)))
                .toList();
        return new Slope(name, "bytes", size, points);
    }

    private static double heartbeat(int tasks) {
        return Samples.findFrameBytes(Body.heartbeat(Samples.heartbeat(0, tasks, 86_400_123)));
    }

    private static double heartbeatAck(int entries) {
        List<String> addresses = IntStream.range(0, entries)
                .mapToObj(i -> "10.20.30." + i + ":7400")
                .toList();
        return Samples.findFrameBytes(Body.heartbeatAck(new HeartbeatAck(86_400_123, 56_000, addresses)));
    }

    private static double call(int bodyBytes) {
        Call call = new Call(
                REQUEST_ID,
                1_796_000_000_123L,
                "kreidekiste",
                Samples.SERVICE,
                "POST",
                "/checkout/basket/123",
                HEADERS,
                java.nio.ByteBuffer.allocate(bodyBytes),
                1_900,
                false,
                86_400_123);
        return Samples.findFrameBytes(Body.call(call));
    }

    private static double callResult(int bodyBytes) {
        CallResult result = new CallResult(
                REQUEST_ID, Outcome.RUN, 200, HEADERS, java.nio.ByteBuffer.allocate(bodyBytes), 0, false, 80);
        return Samples.findFrameBytes(Body.callResult(result));
    }

    private static double renewTasks(int tasks) {
        List<org.fulmarreach.protocol.thrift.TaskId> ids = IntStream.range(0, tasks)
                .mapToObj(i -> WorkRecords.toThrift(Samples.task(i)))
                .toList();
        return Samples.findFrameBytes(Body.renewTasks(new RenewTasks("work-sued-3", 123_456, 86_400_123, 10_000, ids)));
    }

    private static double batch(int count, boolean finished) {
        List<WorkDecision> decisions = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            decisions.add(
                    finished
                            ? new WorkDecision.Finished(Samples.task(i), true, null)
                            : new WorkDecision.Assign(Samples.task(i), "vm-" + 1_000 + i, 1_796_000_000_123L, null));
        }
        return WorkRecords.encode(new WorkBatch("entry-17/1796000000123#123456", 123_456, decisions)).length;
    }

    private static double rulesPublish(int lines) {
        return RulesRecords.toBytes(
                        new RulesRecord.Publish("p-8f3a1b2c", 56_000, List.of(), Samples.batchLines(lines), "lena"))
                .length;
    }

    private static double peerStatus(int services) {
        List<ServiceSummary> summaries = IntStream.range(0, services)
                .mapToObj(i -> new ServiceSummary("service-" + i, 100, 800, 400))
                .toList();
        return Samples.findFrameBytes(Body.peerStatus(
                new PeerStatus("entry-17", 56_000, summaries, 2_900, 56_000, true, false, "sued-a", Samples.REGION)));
    }
}
