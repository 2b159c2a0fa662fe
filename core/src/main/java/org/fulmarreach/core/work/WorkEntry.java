package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.model.TaskId;

/**
 * State of one run in the fold. Immutable. The placement is live while {@code vm} is set: the execution of the last
 * epoch may go on there.
 *
 * @param task run and its last epoch
 * @param phase phase
 * @param vm VM of the live placement; null when there is none
 * @param guardIncarnation incarnation of the guard that the placement was made for
 * @param checkpoint latest checkpoint; null when there is none
 * @param failedVms VMs that the run failed on, without repetition
 * @param cancelledRule text of the standing rule that was cancelled; null otherwise
 */
public record WorkEntry(
        TaskId task,
        WorkPhase phase,
        String vm,
        long guardIncarnation,
        String checkpoint,
        List<String> failedVms,
        String cancelledRule) {
    /** Constructs an entry with its own copy of the list. */
    public WorkEntry {
        failedVms = List.copyOf(failedVms);
    }

    /** Returns a run that has not been assigned yet. */
    public static WorkEntry pending(RunKey key) {
        return new WorkEntry(new TaskId(key.work(), key.run(), 0), WorkPhase.PENDING, null, 0, null, List.of(), null);
    }

    /** Returns the run. */
    public RunKey key() {
        return RunKey.of(task);
    }

    /** Tells whether the execution of the last epoch may go on. */
    public boolean live() {
        return vm != null;
    }

    WorkEntry assigned(TaskId newTask, String newVm, long newIncarnation) {
        return new WorkEntry(newTask, WorkPhase.ASSIGNED, newVm, newIncarnation, checkpoint, failedVms, null);
    }

    WorkEntry withPhase(WorkPhase newPhase) {
        return new WorkEntry(task, newPhase, vm, guardIncarnation, checkpoint, failedVms, cancelledRule);
    }

    WorkEntry cancelled(String rule) {
        return new WorkEntry(task, WorkPhase.CANCELLED, vm, guardIncarnation, checkpoint, failedVms, rule);
    }

    /** Ends the placement; a null checkpoint keeps the latest one. */
    WorkEntry released(WorkPhase newPhase, String newCheckpoint) {
        String kept = newCheckpoint == null ? checkpoint : newCheckpoint;
        return new WorkEntry(task, newPhase, null, 0, kept, failedVms, cancelledRule);
    }

    /** Returns a copy without checkpoint and failures, for a run that starts from the beginning. */
    WorkEntry cleared() {
        return new WorkEntry(task, phase, vm, guardIncarnation, null, List.of(), null);
    }

    WorkEntry withFailedVm(String failedVm) {
        if (failedVms.contains(failedVm)) {
            return this;
        }
        List<String> all = new ArrayList<>(failedVms);
        all.add(failedVm);
        return new WorkEntry(task, phase, vm, guardIncarnation, checkpoint, all, cancelledRule);
    }
}
