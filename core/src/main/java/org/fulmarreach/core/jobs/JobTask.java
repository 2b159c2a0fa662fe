package org.fulmarreach.core.jobs;

import java.util.Comparator;
import java.util.List;

/**
 * A task of a job, with its durable state and the leader's observations of its current run. Confined to the thread or
 * actor that owns its {@link JobRegistry}.
 */
public final class JobTask {
    private static final int FULL_CPU_SHARE_PERCENT = 100;

    /** Value of the poll count while no report without the run has followed a confirmed stop or its last listing. */
    private static final int NOT_COUNTING = -1;

    private final Job job;
    private final TaskName name;
    private final JobStep step;
    private TaskState state;
    private RunProgress progress = RunProgress.NONE;
    private WorkerRef avoided;
    private String rack;
    private WorkerView workerView;
    private int pollsWithoutRun = NOT_COUNTING;
    private long lastPollNumber;
    private int cpuSharePercent = FULL_CPU_SHARE_PERCENT;
    private boolean throttled;
    private boolean shareIsDue;

    /** Position of the checkpoint's last change among those of the job in this term; 0 if it was read from the log. */
    private long checkpointChange;

    JobTask(Job job, TaskName name, JobStep step, TaskState state) {
        this.job = job;
        this.name = name;
        this.step = step;
        this.state = state;
    }

    /** Returns the job that the task belongs to. */
    public Job job() {
        return job;
    }

    /** Returns the identity of the task. */
    public TaskName name() {
        return name;
    }

    /** Returns the step that the task belongs to. */
    public JobStep step() {
        return step;
    }

    /** Returns the state to be stored, including changes that are not written yet. */
    public TaskState state() {
        return state;
    }

    /** Returns the observations of the current run. */
    public RunProgress progress() {
        return progress;
    }

    /** Returns the tail latency of a running serving task as a share of its target; 0 for any other task. */
    double tailRatio() {
        return step.isServing() && progress.isListed() ? (double) progress.usage() / step.targetLatencyMs() : 0;
    }

    /** Returns the worker on which a run of the task last failed, stalled or was refused, or null. */
    public WorkerRef avoided() {
        return avoided;
    }

    /** Tells whether {@code run} on {@code worker} is the current run of the task. */
    boolean isCurrent(WorkerRef worker, int run) {
        return state.phase() == TaskPhase.ASSIGNED
                && state.run() == run
                && state.worker().equals(worker);
    }

    boolean isAssigned() {
        return state.phase() == TaskPhase.ASSIGNED;
    }

    /** Sets the worker whose assigned tasks include this one, or null for none. */
    void setWorkerView(WorkerView worker) {
        workerView = worker;
    }

    /** Returns the worker whose assigned tasks include this one, or null. */
    WorkerView workerView() {
        return workerView;
    }

    /** Tells whether a worker's assigned tasks include this one. */
    boolean hasWorkerView() {
        return workerView != null;
    }

    /** Removes the task from the assigned tasks of its worker, if it has one. */
    void release() {
        if (workerView != null) {
            workerView.remove(this);
        }
    }

    /** Releases the task while its run is being stopped, which takes up capacity until the worker lists its end. */
    void releaseUntilEnded() {
        if (workerView != null) {
            workerView.countUntilEnded(this, state.run());
            workerView.remove(this);
        }
    }

    /**
     * Releases the task because its run has ended and the worker does not list the end. The task stays assigned, since
     * it may have succeeded.
     */
    void releaseWithForgottenEnd() {
        release();
        change(state.withEndForgotten(true));
    }

    /** Tells whether the current run has ended and its worker does not list the end. */
    boolean isEndForgotten() {
        return state.endForgotten();
    }

    /** Takes the run up again on the worker that lists it after all. */
    void resume(WorkerView worker) {
        change(state.withEndForgotten(false));
        worker.add(this);
    }

    /*
     * State transitions
     */

    /** Returns the rack of the worker that the task was last assigned to, or null. */
    String lastRack() {
        return rack;
    }

    void assign(WorkerRef worker, String newRack, int run, long nowMs) {
        rack = newRack;
        change(new TaskState(
                TaskPhase.ASSIGNED,
                run,
                worker,
                state.failures(),
                state.checkpoint(),
                state.crashes(),
                state.soleCrashes()));
        progress = RunProgress.firstOrderedAt(nowMs);
        pollsWithoutRun = NOT_COUNTING;
        cpuSharePercent = FULL_CPU_SHARE_PERCENT;
        throttled = false;
        shareIsDue = false;
    }

    /**
     * Assigns the current run to a later lifetime of its worker, which may have carried out the start. What was seen of
     * it at the former lifetime does not count any more.
     */
    void moveToLifetime(WorkerRef worker, long nowMs) {
        change(new TaskState(
                TaskPhase.ASSIGNED,
                state.run(),
                worker,
                state.failures(),
                state.checkpoint(),
                state.crashes(),
                state.soleCrashes()));
        progress = RunProgress.orderedAt(nowMs);
        pollsWithoutRun = NOT_COUNTING;
    }

    void finish(TaskPhase phase, int failures, String checkpoint) {
        String newest = checkpoint.isEmpty() ? state.checkpoint() : checkpoint;
        String kept = phase == TaskPhase.DONE ? "" : newest;
        change(new TaskState(phase, state.run(), state.worker(), failures, kept, state.crashes(), state.soleCrashes()));
        progress = RunProgress.NONE;
    }

    /** Updates the observations of the run. A new checkpoint is written with the next change of the job. */
    void updateProgress(RunProgress seen) {
        progress = seen;
        if (isAssigned() && !seen.checkpoint().isEmpty()) {
            replace(state.withCheckpoint(seen.checkpoint()));
        }
    }

    /**
     * Returns the newest checkpoint of a gang; that of any member is valid for all. Checkpoints are opaque, so their
     * age is the order in which the leader saw them. Of those that were read from the log it takes the first member's.
     *
     * @return empty only if no member has a checkpoint
     */
    static String newestCheckpoint(List<JobTask> members) {
        return members.stream()
                .filter(member -> !member.state.checkpoint().isEmpty())
                .max(Comparator.comparingLong(member -> member.checkpointChange))
                .map(member -> member.state.checkpoint())
                .orElse("");
    }

    /** Sets the checkpoint that the next run starts from; it is written with the assignment of that run. */
    void resumeFrom(String checkpoint) {
        replace(state.withCheckpoint(checkpoint));
    }

    /** Records that the worker has confirmed a stop of the current run. */
    void confirmStop() {
        if (!state.stopConfirmed()) {
            change(state.withStopConfirmed());
        }
    }

    /** Sets the numbers of worker crashes that the task is suspected of. */
    void setCrashes(int crashes, int soleCrashes) {
        change(state.withCrashes(crashes, soleCrashes));
    }

    /**
     * Tells whether the task is tried alone: workers have crashed under it and no run of it has shown progress since.
     * The members of a gang start together, and long-running tasks outlast many crashes without being their cause.
     */
    boolean isTriedAlone() {
        return state.crashes() > 0 && !step.gang() && !step.longRunning();
    }

    /** Returns the CPU share that was last set for the current run, in percent. */
    int cpuSharePercent() {
        return cpuSharePercent;
    }

    boolean hasFullCpuShare() {
        return cpuSharePercent == FULL_CPU_SHARE_PERCENT;
    }

    void setCpuSharePercent(int percent) {
        cpuSharePercent = percent;
        throttled |= percent < FULL_CPU_SHARE_PERCENT;
    }

    /** Gives the current run, which is not on its worker yet, less than its full CPU share from the start. */
    void startThrottled(int percent) {
        setCpuSharePercent(percent);
        shareIsDue = true;
    }

    /** Tells once whether the run is listed and the CPU share that it was to start with is still to be ordered. */
    boolean takeShareThatIsDue() {
        boolean due = shareIsDue && progress.isListed();
        shareIsDue &= !due;
        return due;
    }

    /** Tells whether the current run has ever had less than its full CPU share. */
    boolean hasBeenThrottled() {
        return throttled;
    }

    /**
     * Counts the polls that the worker has answered since a stop was confirmed or the run was last listed. The first
     * report without the run does not count, since its poll may precede the stop, and neither do reports that repeat an
     * earlier poll.
     *
     * @param pollNumber number of the poll; starts over when the guard restarts
     * @return number of polls answered without the run
     */
    int countPollWithoutRun(long pollNumber) {
        if (pollsWithoutRun == NOT_COUNTING || pollNumber < lastPollNumber) {
            pollsWithoutRun = 0;
        } else if (pollNumber > lastPollNumber) {
            pollsWithoutRun++;
        }
        lastPollNumber = pollNumber;
        return pollsWithoutRun;
    }

    /** Begins the count of polls again, because the worker lists the run. */
    void restartCountOfPolls() {
        pollsWithoutRun = NOT_COUNTING;
    }

    void avoid(WorkerRef worker) {
        avoided = worker;
    }

    void restore(TaskState restored) {
        replace(restored);
        checkpointChange = 0;
        progress = RunProgress.NONE;
        pollsWithoutRun = NOT_COUNTING;
        workerView = null;
    }

    private void change(TaskState changed) {
        replace(changed);
        job.markChanged(this);
    }

    private void replace(TaskState next) {
        job.count(state, next);
        if (!next.checkpoint().equals(state.checkpoint())) {
            checkpointChange = job.countCheckpointChange();
        }
        state = next;
    }
}
