package org.fulmarreach.protocol.io;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.jobs.JobOrder;
import org.fulmarreach.core.jobs.RunEnd;
import org.fulmarreach.core.jobs.TaskName;
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.GuardReport;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Messages between a guard and the leader that would exceed the largest frame. */
class LargeGuardMessagesTest {
    private static final WorkerRef WORKER = new WorkerRef("guard", "worker", 1);
    private static final int LISTED_ENDS = 500;
    private static final int RUNS = 4_000;

    /** Guards against the end of a guard's process when the checkpoints of its worker exceed a frame in total. */
    @Test
    void reportFitsAFrameWithManyLongCheckpoints() {
        String checkpoint = "é".repeat(2_000);
        List<WorkerReport.Running> running = new ArrayList<>();
        for (int i = 0; i < RUNS; i++) {
            running.add(new WorkerReport.Running("job.0.0." + i, 1, checkpoint, 50, 1_000));
        }
        List<WorkerReport.Ended> ended = new ArrayList<>();
        for (int i = 0; i < LISTED_ENDS; i++) {
            ended.add(new WorkerReport.Ended(i + 1, "job.0.1." + i, 1, RunEnd.STOPPED, checkpoint));
        }
        GuardReport report = new GuardReport();
        report.setGuard("guard");
        report.setOutcomes(List.of());
        report.setWorker(GuardMessages.toThrift(new WorkerReport(
                WORKER,
                "s",
                "z",
                new Resources(64_000, 250_000, 0),
                List.of("kind", "rack"),
                false,
                true,
                false,
                running,
                ended,
                1)));
        ThriftBytes.encode(new Frame(0, Body.guardReport(report)));
        WorkerReport decoded = GuardMessages.fromThrift(report.getWorker());
        assertEquals(RUNS, decoded.running().size(), "no run may be left out, since it would count as ended");
        assertEquals(LISTED_ENDS, decoded.ended().size(), "ends");
        assertEquals(checkpoint, decoded.ended().get(0).checkpoint(), "the first checkpoint fits");
    }

    /** Guards against orders that are lost, reordered or left in one frame when they are divided. */
    @Test
    void dividedOrdersAreCompleteAndFitAFrameEach() {
        List<JobOrder> orders = new ArrayList<>();
        for (int i = 0; i < RUNS; i++) {
            orders.add(new JobOrder.Start(WORKER, new TaskName("job", 0, 0, i), 1, "é".repeat(2_000), ""));
        }
        orders.add(new JobOrder.Stop(WORKER, "job.0.1.0", 1));
        orders.add(new JobOrder.Acknowledge(WORKER, 7));
        OrderBatches divided = OrderBatches.of(orders);
        List<JobOrder> joined = new ArrayList<>();
        for (List<JobOrder> batch : divided.batches()) {
            joined.addAll(batch);
            Frame frame = new Frame(0, Body.leaderOrders(GuardMessages.toThrift(1, 2, WORKER, batch, 3)));
            assertTrue(ThriftBytes.encode(frame).length <= 2 * OrderBatches.MAX_BATCH_BYTES, "size of a frame");
        }
        assertEquals(orders, joined);
        assertEquals(List.of(), divided.oversized());
    }
}
