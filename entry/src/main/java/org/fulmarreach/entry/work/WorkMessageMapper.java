package org.fulmarreach.entry.work;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.work.GuardMessage;
import org.fulmarreach.core.work.GuardReport;
import org.fulmarreach.core.work.PeerMessage;
import org.fulmarreach.core.work.TaskReport;
import org.fulmarreach.entry.guards.GuardView;
import org.fulmarreach.protocol.io.WorkRecords;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.ConfirmOutage;
import org.fulmarreach.protocol.thrift.ConfirmOutageResult;
import org.fulmarreach.protocol.thrift.Fence;
import org.fulmarreach.protocol.thrift.FenceLeader;
import org.fulmarreach.protocol.thrift.FenceLeaderResult;
import org.fulmarreach.protocol.thrift.GuardState;
import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.RenewTasks;
import org.fulmarreach.protocol.thrift.StartTask;
import org.fulmarreach.protocol.thrift.StopMode;
import org.fulmarreach.protocol.thrift.StopTask;
import org.fulmarreach.protocol.thrift.TaskReportAck;
import org.fulmarreach.protocol.thrift.TaskStatus;

/** Converts messages about shards to and from Thrift. Stateless and thread-safe. */
final class WorkMessageMapper {
    private WorkMessageMapper() {}

    static Body toBody(String shard, GuardMessage message) {
        return switch (message) {
            case GuardMessage.Start s -> Body.startTask(toStart(shard, s));
            case GuardMessage.Renew r ->
                Body.renewTasks(new RenewTasks(shard, r.term(), r.tickEchoMs(), (int) r.leaseMs(), toTasks(r.tasks())));
            case GuardMessage.Stop s ->
                Body.stopTask(new StopTask(
                        shard,
                        s.term(),
                        WorkRecords.toThrift(s.task()),
                        s.withCheckpoint() ? StopMode.CHECKPOINT_AND_STOP : StopMode.STOP));
            case GuardMessage.Acknowledge a ->
                Body.taskReportAck(new TaskReportAck(shard, a.term(), toTasks(a.tasks())));
            case GuardMessage.Fence f -> Body.fence(new Fence(shard, f.term()));
        };
    }

    static Body toBody(String shard, PeerMessage message) {
        return switch (message) {
            case PeerMessage.ConfirmOutage m -> Body.confirmOutage(new ConfirmOutage(shard, m.term(), m.askedMs()));
            case PeerMessage.OutageAnswer m ->
                Body.confirmOutageResult(new ConfirmOutageResult(shard, m.term(), m.confirmed(), m.askedMs()));
            case PeerMessage.FenceLeader m -> Body.fenceLeader(new FenceLeader(shard, m.term()));
            case PeerMessage.FenceAnswer m ->
                Body.fenceLeaderResult(new FenceLeaderResult(shard, m.term(), m.acknowledged()));
        };
    }

    /** Returns the decoded message of another entry, or null if it does not concern the given shard. */
    static PeerMessage fromBody(String shard, Body body) {
        if (body.getSetField() == null) {
            return null;
        }
        return switch (body.getSetField()) {
            case CONFIRM_OUTAGE -> {
                ConfirmOutage m = body.getConfirmOutage();
                yield shard.equals(m.getShard()) ? new PeerMessage.ConfirmOutage(m.getTerm(), m.getAskedMs()) : null;
            }
            case CONFIRM_OUTAGE_RESULT -> {
                ConfirmOutageResult m = body.getConfirmOutageResult();
                yield shard.equals(m.getShard())
                        ? new PeerMessage.OutageAnswer(m.getTerm(), m.isConfirmed(), m.getAskedMs())
                        : null;
            }
            case FENCE_LEADER -> {
                FenceLeader m = body.getFenceLeader();
                yield shard.equals(m.getShard()) ? new PeerMessage.FenceLeader(m.getTerm()) : null;
            }
            case FENCE_LEADER_RESULT -> {
                FenceLeaderResult m = body.getFenceLeaderResult();
                yield shard.equals(m.getShard()) ? new PeerMessage.FenceAnswer(m.getTerm(), m.isAcknowledged()) : null;
            }
            default -> null;
        };
    }

    static GuardReport toReport(GuardView guard, Heartbeat heartbeat) {
        List<TaskReport> tasks = new ArrayList<>();
        if (heartbeat.getTasks() != null) {
            heartbeat.getTasks().stream()
                    .filter(status -> status.getTask() != null && status.getPhase() != null)
                    .forEach(status -> tasks.add(toReport(status)));
        }
        return new GuardReport(
                guard.vm(),
                guard.service() == null ? "" : guard.service(),
                guard.incarnation(),
                heartbeat.getTickMs(),
                heartbeat.getState() == GuardState.READY,
                heartbeat.isWorkerFailing(),
                toResources(heartbeat.getFree()),
                tasks);
    }

    // Helpers

    private static TaskReport toReport(TaskStatus status) {
        return new TaskReport(
                WorkRecords.fromThrift(status.getTask()),
                TaskReport.Phase.valueOf(status.getPhase().name()),
                status.getCheckpoint(),
                status.getReason(),
                new Resources(status.getUsedMilliCores(), status.getUsedMemoryMb(), 0),
                status.getThrottleShare(),
                status.getTerm(),
                status.getShard() == null ? "" : status.getShard());
    }

    private static StartTask toStart(String shard, GuardMessage.Start start) {
        Resources size = start.size();
        return new StartTask(
                        shard,
                        start.term(),
                        WorkRecords.toThrift(start.task()),
                        start.command(),
                        new org.fulmarreach.protocol.thrift.Resources(
                                size.milliCores(), size.memoryMb(), size.accelerators()),
                        start.tickEchoMs(),
                        (int) start.leaseMs(),
                        start.member(),
                        start.guardIncarnation(),
                        start.standing())
                .setCheckpoint(start.checkpoint());
    }

    private static List<org.fulmarreach.protocol.thrift.TaskId> toTasks(List<TaskId> tasks) {
        return tasks.stream().map(WorkRecords::toThrift).toList();
    }

    private static Resources toResources(org.fulmarreach.protocol.thrift.Resources resources) {
        return resources == null
                ? Resources.NONE
                : new Resources(resources.getMilliCores(), resources.getMemoryMb(), resources.getAccelerators());
    }
}
