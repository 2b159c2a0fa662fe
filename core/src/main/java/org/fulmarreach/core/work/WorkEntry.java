package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.model.TaskId;

/**
 * Recorded state of one run. Immutable. The placement is live while {@code vm} is set: the last epoch may still be
 * executing on that VM.
 *
 * @param task run and its last epoch
 * @param phase phase of the run
 * @param vm VM of the live placement; null if there is none
 * @param guardIncarnation guard incarnation that the placement was made for
 * @param checkpoint latest checkpoint; null if there is none
 * @param failedVms distinct VMs on which the run failed
 * @param cancelledRule text of the rule of cancelled standing work; null otherwise
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

    /** Returns the initial state of a run that has not been assigned yet. */
    public static WorkEntry pending(RunKey key) {
        return new WorkEntry(new TaskId(key.work(), key.run(), 0), WorkPhase.PENDING, null, 0, null, List.of(), null);
    }

    /** Returns the run. */
    public RunKey key() {
        return RunKey.of(task);
    }

    /** Returns whether the last epoch may still be executing. */
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

    /** Returns a copy without the placement; a null checkpoint keeps the latest one. */
    WorkEntry released(WorkPhase newPhase, String newCheckpoint) {
        String latestCheckpoint = newCheckpoint == null ? checkpoint : newCheckpoint;
        return new WorkEntry(task, newPhase, null, 0, latestCheckpoint, failedVms, cancelledRule);
    }

    /** Returns a copy without checkpoint and failed VMs, for a run that starts from the beginning. */
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
