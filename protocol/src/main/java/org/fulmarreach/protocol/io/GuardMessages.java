package org.fulmarreach.protocol.io;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.core.jobs.FencingToken;
import org.fulmarreach.core.jobs.JobOrder;
import org.fulmarreach.core.jobs.RunEnd;
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.core.model.Utf8;
import org.fulmarreach.protocol.thrift.EndedRun;
import org.fulmarreach.protocol.thrift.LeaderOrders;
import org.fulmarreach.protocol.thrift.PaceRun;
import org.fulmarreach.protocol.thrift.RunStatus;
import org.fulmarreach.protocol.thrift.StartRun;
import org.fulmarreach.protocol.thrift.StopRun;
import org.fulmarreach.protocol.thrift.WorkerStatus;

import static org.fulmarreach.protocol.io.RecordFields.require;
import static org.fulmarreach.protocol.io.RecordFields.requireCount;

/** Converts the messages between a guard and the leader. Stateless and thread-safe. */
public final class GuardMessages {
    /**
     * Bound on the checkpoints of a report in total, in bytes. The report must fit a frame whatever a worker lists, and
     * the names of its runs cannot be left out.
     */
    private static final int MAX_REPORTED_CHECKPOINT_BYTES = 1 << 20;

    private GuardMessages() {}

    /**
     * Converts the report of a worker to Thrift. If its checkpoints are too large in total, those of the last runs are
     * left out, of which the leader then keeps the checkpoints that it knows.
     */
    public static WorkerStatus toThrift(WorkerReport report) {
        int checkpointBytes = 0;
        List<EndedRun> ended = new ArrayList<>();
        for (WorkerReport.Ended end : report.ended()) {
            checkpointBytes += Utf8.length(end.checkpoint());
            String checkpoint = checkpointBytes <= MAX_REPORTED_CHECKPOINT_BYTES ? end.checkpoint() : "";
            ended.add(new EndedRun(
                    end.number(), end.task(), end.run(), end.runEnd().name(), checkpoint));
        }
        List<RunStatus> running = new ArrayList<>();
        for (WorkerReport.Running run : report.running()) {
            checkpointBytes += Utf8.length(run.checkpoint());
            String checkpoint = checkpointBytes <= MAX_REPORTED_CHECKPOINT_BYTES ? run.checkpoint() : "";
            running.add(new RunStatus(run.task(), run.run(), checkpoint, run.percent(), run.usage()));
        }
        WorkerStatus status = new WorkerStatus(
                JobRecords.toThrift(report.ref()),
                report.service(),
                report.zone(),
                JobRecords.toThrift(report.capacity()),
                report.labels(),
                report.draining(),
                report.reachable(),
                report.leaseExpired(),
                running,
                ended,
                report.pollNumber());
        if (report.crashed()) {
            status.setCrashed(true);
        }
        if (report.token() != null) {
            status.setFencingToken(report.token().value());
        }
        return status;
    }

    /**
     * Converts the report of a worker from Thrift.
     *
     * @throws FrameException if fields are missing or have impossible values
     */
    public static WorkerReport fromThrift(WorkerStatus status) {
        List<WorkerReport.Running> running = new ArrayList<>();
        for (RunStatus run : require(status.getRunning(), "running")) {
            running.add(new WorkerReport.Running(
                    require(run.getTask(), "task"),
                    requireCount(run.getRun(), "run"),
                    require(run.getCheckpoint(), "checkpoint"),
                    run.getPercent(),
                    run.getUsage()));
        }
        List<WorkerReport.Ended> ended = new ArrayList<>();
        for (EndedRun end : require(status.getEnded(), "ended")) {
            ended.add(new WorkerReport.Ended(
                    end.getNumber(),
                    require(end.getTask(), "task"),
                    requireCount(end.getRun(), "run"),
                    decodeRunEnd(end.getHow()),
                    require(end.getCheckpoint(), "checkpoint")));
        }
        return new WorkerReport(
                JobRecords.fromThrift(status.getRef()),
                require(status.getServiceName(), "serviceName"),
                require(status.getZone(), "zone"),
                JobRecords.fromThrift(status.getCapacity()),
                require(status.getLabels(), "labels"),
                status.isDraining(),
                status.isReachable(),
                status.isLeaseLapsed(),
                running,
                ended,
                status.getLookNumber(),
                status.isCrashed(),
                status.isSetFencingToken() ? FencingToken.ofValue(status.getFencingToken()) : null);
    }

    private static RunEnd decodeRunEnd(String how) {
        try {
            return RunEnd.valueOf(require(how, "how"));
        } catch (IllegalArgumentException e) {
            throw new FrameException("unknown end of a run: " + how, e);
        }
    }

    /**
     * Constructs the message with the orders for one worker.
     *
     * @param term term of the leader
     * @param echoedTickMs tick of the guard's last report; the grant's duration is measured from it
     * @param worker lifetime of the worker
     * @param orders orders for that lifetime; empty if the message carries only a grant
     * @param writeAgeMs time since the store last acknowledged a write of the leader, in milliseconds
     */
    public static LeaderOrders toThrift(
            long term, long echoedTickMs, WorkerRef worker, List<JobOrder> orders, long writeAgeMs) {
        List<StartRun> starts = new ArrayList<>();
        List<StopRun> stops = new ArrayList<>();
        List<PaceRun> cpuShares = new ArrayList<>();
        long acknowledged = 0;
        for (JobOrder order : orders) {
            switch (order) {
                case JobOrder.Start start ->
                    starts.add(new StartRun(start.task().toString(), start.run(), start.payload(), start.checkpoint()));
                case JobOrder.Stop stop -> stops.add(new StopRun(stop.task(), stop.run()));
                case JobOrder.SetCpuShare setCpuShare ->
                    cpuShares.add(new PaceRun(setCpuShare.task().toString(), setCpuShare.run(), setCpuShare.percent()));
                case JobOrder.Acknowledge acknowledge ->
                    acknowledged = Math.max(acknowledged, acknowledge.upToNumber());
            }
        }
        return new LeaderOrders(
                term, echoedTickMs, JobRecords.toThrift(worker), starts, stops, cpuShares, acknowledged, writeAgeMs);
    }
}
