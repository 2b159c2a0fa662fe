package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.Predicate;

import org.fulmarreach.core.model.Utf8;

/** A job with its tasks. Confined to the thread or actor that owns its {@link JobRegistry}. */
public final class Job {
    private static final int FULL_PERCENT = 100;

    private final JobSpec spec;
    private final AcknowledgedStatuses statuses;
    private final JobTasks tasks;
    private final int payloadBytes;
    private final int[] phaseCounts = new int[TaskPhase.values().length];
    private boolean begun;
    private boolean cancelled;
    private boolean changed;
    private boolean discarded;
    private long checkpointChanges;
    private long settledAtMs;
    private JobStatus acknowledgedStatus = JobStatus.QUEUED;
    private JobSnapshot acknowledged;

    /** States that were last read or taken for writing; those of tasks that are not constructed are present. */
    private TaskStates stored;

    /** Parts of the tasks with changes that have not been taken for writing. */
    private final BitSet changedParts = new BitSet();

    /** Parts of the tasks of which a record of their own was read or written. */
    private final BitSet storedParts = new BitSet();

    /**
     * Constructs a job of which nothing has begun.
     *
     * @param statuses is told of each change of the acknowledged status
     */
    Job(JobSpec spec, AcknowledgedStatuses statuses) {
        this.spec = spec;
        this.statuses = statuses;
        this.payloadBytes = Utf8.length(spec.payload());
        this.tasks = new JobTasks(this, spec);
        resetTo(TaskStates.initial(tasks.size()));
    }

    /** Returns the size in bytes of the text that each start of a task carries. */
    int payloadBytes() {
        return payloadBytes;
    }

    /** Returns the specification that the caller submitted. */
    public JobSpec spec() {
        return spec;
    }

    /** Returns all tasks, ordered by occurrence, step and index. */
    public List<JobTask> tasks() {
        return tasks;
    }

    /** Returns the tasks of one step of one occurrence. */
    public List<JobTask> tasksOf(int occurrence, int step) {
        int from = tasks.indexOf(occurrence, step);
        return tasks.subList(from, from + spec.steps().get(step).taskCount());
    }

    /** Returns the number of tasks of all occurrences. */
    int size() {
        return tasks.size();
    }

    /** Returns the position of the first task of a step among all tasks. */
    int indexOf(int occurrence, int step) {
        return tasks.indexOf(occurrence, step);
    }

    /** Returns the state of the task at a position; does not construct the task, unlike {@link #tasks}. */
    TaskState stateAt(int index) {
        JobTask task = tasks.findPresent(index);
        return task == null ? stored.get(index) : task.state();
    }

    /** Returns the remaining part of the task at a position; does not construct it. */
    int remainingPercentAt(int index) {
        if (stateAt(index).phase() == TaskPhase.DONE) {
            return 0;
        }
        JobTask task = tasks.findPresent(index);
        return FULL_PERCENT - (task == null ? 0 : task.progress().percent());
    }

    /** Returns the state in which a task is constructed. */
    TaskState storedState(int index) {
        return stored.get(index);
    }

    /** Returns the tasks that are constructed: at least those that this leader has placed or adopted and not ended. */
    List<JobTask> presentTasks() {
        return tasks.present(0, tasks.size());
    }

    /** Returns the constructed tasks of one step of one occurrence. */
    List<JobTask> presentTasksOf(int occurrence, int step) {
        int from = tasks.indexOf(occurrence, step);
        return tasks.present(from, from + spec.steps().get(step).taskCount());
    }

    /** Returns the first task of a step that has not ended, or null. */
    JobTask findOpenTask(int occurrence, int step) {
        int from = tasks.indexOf(occurrence, step);
        for (int index = from; index < from + spec.steps().get(step).taskCount(); index++) {
            if (stateAt(index).phase().isOpen()) {
                return tasks.get(index);
            }
        }
        return null;
    }

    /** Returns the tasks of a step that have not ended. */
    List<JobTask> openTasksOf(int occurrence, int step) {
        List<JobTask> open = new ArrayList<>();
        int from = tasks.indexOf(occurrence, step);
        for (int index = from; index < from + spec.steps().get(step).taskCount(); index++) {
            if (stateAt(index).phase().isOpen()) {
                open.add(tasks.get(index));
            }
        }
        return open;
    }

    /** Returns the tasks whose state meets a condition that initial states do not meet. */
    List<JobTask> findTasks(Predicate<TaskState> condition) {
        List<JobTask> found = new ArrayList<>();
        for (int index = 0; index < tasks.size(); index++) {
            if (condition.test(stateAt(index))) {
                found.add(tasks.get(index));
            }
        }
        return found;
    }

    /** Tells whether the caller cancelled the job. */
    public boolean isCancelled() {
        return cancelled;
    }

    /** Returns the status that callers may see: it reflects only what the store has acknowledged. */
    public JobStatus acknowledgedStatus() {
        return acknowledgedStatus;
    }

    /** Returns when the job was completed, failed or was cancelled, in Unix milliseconds; 0 before. */
    public long settledAtMs() {
        return settledAtMs;
    }

    /** Returns the value of {@link #settledAtMs} that the store has acknowledged. */
    long acknowledgedSettledAtMs() {
        return acknowledged == null ? 0 : acknowledged.settledAtMs();
    }

    /** Returns the parts of the tasks that are stored apart. */
    List<Integer> storedParts() {
        return storedParts.stream().boxed().toList();
    }

    /** Tells whether the store has acknowledged progress of the job. */
    boolean hasStoredProgress() {
        return acknowledged != null;
    }

    /** Returns the status including changes that are not written yet. */
    public JobStatus status() {
        if (count(TaskPhase.FAILED) > 0) {
            return JobStatus.FAILED;
        }
        return JobStatus.of(count(TaskPhase.DONE) == tasks.size(), begun, cancelled);
    }

    /** Returns the progress to be stored, including changes that are not written yet. */
    public JobSnapshot snapshot() {
        TaskStates states = stored;
        for (int part = 0; part < states.countParts(); part++) {
            // The checkpoints of a job with one part are written with each change of it.
            if (changedParts.get(part) || states.countParts() == 1) {
                states = states.withPart(part, statesOf(part));
            }
        }
        return new JobSnapshot(states, settledAtMs, begun);
    }

    private List<TaskState> statesOf(int part) {
        int from = part * TaskStates.PART_TASKS;
        int to = Math.min(tasks.size(), from + TaskStates.PART_TASKS);
        List<TaskState> states = new ArrayList<>(to - from);
        for (int index = from; index < to; index++) {
            states.add(stateAt(index));
        }
        return states;
    }

    /** Tells whether a task waits for a worker, for its predecessors or for its due time. */
    boolean hasWaitingTasks() {
        return count(TaskPhase.PENDING) > 0;
    }

    /** Tells whether a run of one of its tasks was ordered and has not ended. */
    boolean hasAssignedTasks() {
        return count(TaskPhase.ASSIGNED) > 0;
    }

    /** Returns the number of tasks that are done. */
    int doneTasks() {
        return count(TaskPhase.DONE);
    }

    /** Tells whether a worker is known to have begun a task. */
    boolean hasBegun() {
        return begun;
    }

    /** Tells whether all predecessors of a step are done within an occurrence. */
    boolean isReady(int occurrence, int step) {
        for (int predecessor : spec.steps().get(step).predecessors()) {
            int from = tasks.indexOf(occurrence, predecessor);
            for (int index = from; index < from + spec.steps().get(predecessor).taskCount(); index++) {
                if (stateAt(index).phase() != TaskPhase.DONE) {
                    return false;
                }
            }
        }
        return true;
    }

    JobTask find(TaskName name) {
        if (name.occurrence() < 0
                || name.occurrence() >= spec.occurrences()
                || name.step() < 0
                || name.step() >= spec.steps().size()
                || name.index() < 0
                || name.index() >= spec.steps().get(name.step()).taskCount()) {
            return null;
        }
        return tasks.get(tasks.indexOf(name));
    }

    /*
     * Changes
     */

    void cancel() {
        cancelled = true;
        updateAcknowledgedStatus();
    }

    /** Ends the job without a status: its workers get their capacity back, and its changes are not written any more. */
    void discard() {
        discarded = true;
        cancelled = true;
        presentTasks().forEach(JobTask::release);
    }

    /** Records that a worker has begun a task; returns true if that was not known before. */
    boolean markBegun() {
        if (begun) {
            return false;
        }
        begun = true;
        markChanged();
        return true;
    }

    void settle(long unixMs) {
        if (settledAtMs == 0) {
            settledAtMs = unixMs;
            markChanged();
        }
    }

    /**
     * Takes over stored progress. Parts of the tasks that are stored apart are newer: they were written after the job
     * was last stored as a whole.
     *
     * @param snapshot without tasks if all of them are stored apart
     */
    void restore(JobSnapshot snapshot) {
        boolean whole = !snapshot.tasks().isEmpty();
        TaskStates states = whole ? snapshot.states().resizedTo(tasks.size()) : stored;
        for (int part = storedParts.nextSetBit(0); whole && part >= 0; part = storedParts.nextSetBit(part + 1)) {
            states = states.withPart(part, stored.part(part));
        }
        reset(new JobSnapshot(states, snapshot.settledAtMs(), snapshot.begun()));
    }

    /** Takes over the stored states of a part of the tasks; ignores one that the job does not have. */
    void restorePart(int part, List<TaskState> states) {
        if (part < stored.countParts() && states.size() == stored.part(part).size()) {
            storedParts.set(part);
            reset(new JobSnapshot(stored.withPart(part, states), settledAtMs, begun));
        }
    }

    /** Discards changes that the store has not acknowledged. */
    void rollBack() {
        if (acknowledged != null) {
            reset(acknowledged);
            return;
        }
        resetTo(TaskStates.initial(tasks.size()));
        settledAtMs = 0;
        begun = false;
    }

    private void reset(JobSnapshot snapshot) {
        resetTo(snapshot.states());
        settledAtMs = snapshot.settledAtMs();
        begun = snapshot.begun();
        acknowledge(snapshot);
    }

    private void resetTo(TaskStates states) {
        stored = states;
        for (JobTask task : presentTasks()) {
            task.restore(states.get(tasks.indexOf(task.name())));
        }
        for (TaskPhase phase : TaskPhase.values()) {
            phaseCounts[phase.ordinal()] = states.count(phase);
        }
        changed = false;
        changedParts.clear();
    }

    /** Records that the store has acknowledged a change. */
    void acknowledge(JobChange change) {
        change.parts().forEach(storedParts::set);
        acknowledge(change.snapshot());
    }

    /** Records that the store has acknowledged this progress. */
    void acknowledge(JobSnapshot snapshot) {
        acknowledged = snapshot;
        dropEndedTasks(snapshot);
        updateAcknowledgedStatus();
    }

    private void dropEndedTasks(JobSnapshot snapshot) {
        if (snapshot.settledAtMs() > 0 && !hasAssignedTasks() && changedParts.isEmpty()) {
            tasks.dropAll();
        } else {
            tasks.dropDone(stored);
        }
    }

    /** The cancellation and the progress are read from two partitions, so neither order may decide the status. */
    private void updateAcknowledgedStatus() {
        acknowledgedStatus =
                acknowledged == null ? JobStatus.of(false, false, cancelled) : acknowledged.status(cancelled);
        statuses.update(this);
    }

    /** Updates the counts by phase; must be called on each state change of one of the tasks. */
    void count(TaskState before, TaskState after) {
        phaseCounts[before.phase().ordinal()]--;
        phaseCounts[after.phase().ordinal()]++;
    }

    /** Counts a change of a task's checkpoint; returns the number of changes so far. */
    long countCheckpointChange() {
        checkpointChanges++;
        return checkpointChanges;
    }

    private int count(TaskPhase phase) {
        return phaseCounts[phase.ordinal()];
    }

    void markChanged() {
        changed = true;
    }

    /** Records that the state of a task has changed. */
    void markChanged(JobTask task) {
        changed = true;
        changedParts.set(tasks.indexOf(task.name()) / TaskStates.PART_TASKS);
    }

    /** Returns what is to be stored and clears it; null if nothing has changed. */
    JobChange takeChange() {
        JobChange taken = null;
        if (changed && !discarded) {
            JobSnapshot snapshot = snapshot();
            stored = snapshot.states();
            taken = new JobChange(snapshot, findPartsToStore());
        }
        changed = false;
        changedParts.clear();
        return taken;
    }

    private List<Integer> findPartsToStore() {
        List<Integer> parts = new ArrayList<>();
        for (int part = 0; stored.countParts() > 1 && part < stored.countParts(); part++) {
            // A former version has stored the job as a whole.
            boolean isMissing = !stored.isInitial(part) && !storedParts.get(part);
            if (changedParts.get(part) || isMissing) {
                parts.add(part);
            }
        }
        return parts;
    }
}
