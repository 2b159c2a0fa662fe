package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.model.Utf8;

/** A job with its tasks. Confined to the thread or actor that owns its {@link JobRegistry}. */
public final class Job {
    private final JobSpec spec;
    private final AcknowledgedStatuses statuses;
    private final List<JobTask> tasks = new ArrayList<>();
    private final int tasksPerOccurrence;
    private final int payloadBytes;
    private final int[] stepStarts;
    private final int[] phaseCounts = new int[TaskPhase.values().length];
    private boolean begun;
    private boolean cancelled;
    private boolean changed;
    private boolean discarded;
    private long checkpointChanges;
    private long settledAtMs;
    private JobStatus acknowledgedStatus = JobStatus.QUEUED;
    private JobSnapshot acknowledged;

    /**
     * Constructs a job of which nothing has begun.
     *
     * @param statuses is told of each change of the acknowledged status
     */
    Job(JobSpec spec, AcknowledgedStatuses statuses) {
        this.spec = spec;
        this.statuses = statuses;
        this.payloadBytes = Utf8.length(spec.payload());
        this.stepStarts = new int[spec.steps().size()];
        int count = 0;
        for (int step = 0; step < stepStarts.length; step++) {
            stepStarts[step] = count;
            count += spec.steps().get(step).taskCount();
        }
        this.tasksPerOccurrence = count;
        for (int occurrence = 0; occurrence < spec.occurrences(); occurrence++) {
            for (int step = 0; step < stepStarts.length; step++) {
                for (int index = 0; index < spec.steps().get(step).taskCount(); index++) {
                    tasks.add(new JobTask(
                            this,
                            new TaskName(spec.id(), occurrence, step, index),
                            spec.steps().get(step)));
                }
            }
        }
        phaseCounts[TaskPhase.PENDING.ordinal()] = tasks.size();
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
        int from = occurrence * tasksPerOccurrence + stepStarts[step];
        return tasks.subList(from, from + spec.steps().get(step).taskCount());
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
        return new JobSnapshot(tasks.stream().map(JobTask::state).toList(), settledAtMs, begun);
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
            for (JobTask task : tasksOf(occurrence, predecessor)) {
                if (task.state().phase() != TaskPhase.DONE) {
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
                || name.step() >= stepStarts.length
                || name.index() < 0
                || name.index() >= spec.steps().get(name.step()).taskCount()) {
            return null;
        }
        return tasksOf(name.occurrence(), name.step()).get(name.index());
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
        tasks.forEach(JobTask::release);
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

    void restore(JobSnapshot snapshot) {
        for (int i = 0; i < tasks.size() && i < snapshot.tasks().size(); i++) {
            tasks.get(i).restore(snapshot.tasks().get(i));
        }
        settledAtMs = snapshot.settledAtMs();
        begun = snapshot.begun();
        changed = false;
        acknowledge(snapshot);
    }

    /** Discards changes that the store has not acknowledged. */
    void rollBack() {
        if (acknowledged != null) {
            restore(acknowledged);
            return;
        }
        tasks.forEach(task -> task.restore(TaskState.INITIAL));
        settledAtMs = 0;
        begun = false;
        changed = false;
    }

    /** Records that the store has acknowledged this progress. */
    void acknowledge(JobSnapshot snapshot) {
        acknowledged = snapshot;
        updateAcknowledgedStatus();
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

    boolean getAndClearChanged() {
        boolean was = changed && !discarded;
        changed = false;
        return was;
    }
}
