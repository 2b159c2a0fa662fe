package org.fulmarreach.protocol.io;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.jobs.JobOrder;
import org.fulmarreach.core.model.Utf8;

/**
 * Orders for one worker, divided into messages. A message of a few hundred kilobytes leaves the narrow links between
 * regions to other messages in between, and is far below {@link ThriftBytes#MAX_STRUCT_BYTES}. Immutable.
 *
 * @param batches orders of each message, in the given order; none if there are no orders
 * @param oversized orders that fit no message
 */
public record OrderBatches(List<List<JobOrder>> batches, List<JobOrder> oversized) {
    /** Size up to which orders are put into one message, in bytes. */
    static final int MAX_BATCH_BYTES = 256 * 1024;

    /** Upper bound on the bytes of an order beside its texts, and of a message beside its orders. */
    private static final int OVERHEAD_BYTES = 64;

    private static final int MESSAGE_OVERHEAD_BYTES = 2 * 1024;

    /** Copies the lists. */
    public OrderBatches {
        batches = List.copyOf(batches);
        oversized = List.copyOf(oversized);
    }

    /** Divides orders for one worker. */
    public static OrderBatches of(List<JobOrder> orders) {
        List<List<JobOrder>> batches = new ArrayList<>();
        List<JobOrder> oversized = new ArrayList<>();
        List<JobOrder> batch = new ArrayList<>();
        long batchBytes = 0;
        for (JobOrder order : orders) {
            long orderBytes = encodedBytes(order);
            if (orderBytes > ThriftBytes.MAX_STRUCT_BYTES - MESSAGE_OVERHEAD_BYTES) {
                oversized.add(order);
                continue;
            }
            if (!batch.isEmpty() && batchBytes + orderBytes > MAX_BATCH_BYTES) {
                batches.add(List.copyOf(batch));
                batch.clear();
                batchBytes = 0;
            }
            batch.add(order);
            batchBytes += orderBytes;
        }
        if (!batch.isEmpty()) {
            batches.add(List.copyOf(batch));
        }
        return new OrderBatches(batches, oversized);
    }

    private static long encodedBytes(JobOrder order) {
        long textBytes = switch (order) {
            case JobOrder.Start start ->
                Utf8.length(start.task().jobId()) + Utf8.length(start.payload()) + Utf8.length(start.checkpoint());
            case JobOrder.Stop stop -> Utf8.length(stop.task());
            case JobOrder.SetCpuShare share -> Utf8.length(share.task().jobId());
            case JobOrder.Acknowledge acknowledge -> 0;
        };
        return textBytes + OVERHEAD_BYTES;
    }
}
