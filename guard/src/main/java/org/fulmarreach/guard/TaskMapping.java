package org.fulmarreach.guard;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.work.AgentTask;
import org.fulmarreach.core.work.GuardTaskPhase;
import org.fulmarreach.core.work.GuardTaskView;
import org.fulmarreach.core.work.StartOrder;
import org.fulmarreach.platform.WorkerTask;
import org.fulmarreach.protocol.thrift.StartTask;
import org.fulmarreach.protocol.thrift.TaskPhase;
import org.fulmarreach.protocol.thrift.TaskStatus;

/** Converts tasks between the wire, the worker agent and the core. Stateless. */
final class TaskMapping {
    private TaskMapping() {}

    static TaskId toTaskId(org.fulmarreach.protocol.thrift.TaskId task) {
        return new TaskId(task.getWork(), task.getRun(), task.getEpoch());
    }

    static List<TaskId> toTaskIds(List<org.fulmarreach.protocol.thrift.TaskId> tasks) {
        return tasks == null
                ? List.of()
                : tasks.stream().map(TaskMapping::toTaskId).toList();
    }

    static StartOrder toOrder(StartTask start) {
        org.fulmarreach.protocol.thrift.Resources size = start.getSize();
        return new StartOrder(
                start.getShard(),
                start.getTerm(),
                toTaskId(start.getTask()),
                start.getCommand(),
                new Resources(size.getMilliCores(), size.getMemoryMb(), size.getAccelerators()),
                start.getCheckpoint(),
                start.getTickEchoMs(),
                start.getLeaseMs(),
                start.getGuardIncarnation());
    }

    /** Converts the agent's tasks; those whose ids this system did not create are skipped. */
    static List<AgentTask> toAgentTasks(List<WorkerTask> tasks) {
        List<AgentTask> mapped = new ArrayList<>();
        for (WorkerTask task : tasks) {
            Resources usage = new Resources(task.usedMilliCores(), task.usedMemoryMb(), 0);
            TaskId.parseAgentId(task.id())
                    .ifPresent(id ->
                            mapped.add(new AgentTask(id, toPhase(task.state()), usage, task.lagMs(), task.reason())));
        }
        return mapped;
    }

    static TaskStatus toStatus(GuardTaskView view, double share, String evictionReason) {
        TaskStatus status = new TaskStatus()
                .setTask(new org.fulmarreach.protocol.thrift.TaskId(
                        view.task().work(), view.task().run(), view.task().epoch()))
                .setPhase(toPhase(view.phase()))
                .setUsedMilliCores(view.usage().milliCores())
                .setUsedMemoryMb(view.usage().memoryMb())
                .setUsageLagMs(view.usageLagMs())
                .setThrottleShare(share)
                .setTerm(view.term())
                .setShard(view.shard());
        String reason = view.reason() == null ? evictionReason : view.reason();
        if (reason != null) {
            status.setReason(reason);
        }
        if (view.checkpoint() != null) {
            status.setCheckpoint(view.checkpoint());
        }
        return status;
    }

    private static GuardTaskPhase toPhase(WorkerTask.State state) {
        return switch (state) {
            case RUNNING -> GuardTaskPhase.RUNNING;
            case SUCCEEDED -> GuardTaskPhase.SUCCEEDED;
            case FAILED -> GuardTaskPhase.FAILED;
            case STOPPED -> GuardTaskPhase.STOPPED;
        };
    }

    private static TaskPhase toPhase(GuardTaskPhase phase) {
        return switch (phase) {
            case STARTING -> TaskPhase.STARTING;
            case RUNNING -> TaskPhase.RUNNING;
            case STOPPING -> TaskPhase.STOPPING;
            case STOPPED -> TaskPhase.STOPPED;
            case SUCCEEDED -> TaskPhase.SUCCEEDED;
            case FAILED -> TaskPhase.FAILED;
            case REFUSED -> TaskPhase.REFUSED;
        };
    }
}
