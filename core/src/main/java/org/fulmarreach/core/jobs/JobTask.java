package org.fulmarreach.core.jobs;

/**
 * A task of a job, with its durable state and what the leader has seen of its current run. Confined to the owner of its
 * {@link JobBook}.
 */
public final class JobTask {
    private static final int FULL_PACE_PERCENT = 100;

    /** Count of looks before the first report that follows a confirmed stop. */
    private static final int NOT_COUNTING = -1;

    private final Job job;
    private final TaskName name;
    private final JobStep step;
    private TaskState state = TaskState.INITIAL;
    private RunProgress progress = RunProgress.NONE;
    private WorkerRef avoided;
    private String rack;
    private WorkerView place;
    private int looksAfterStop = NOT_COUNTING;
    private long lastLookNumber;
    private int pacePercent = FULL_PACE_PERCENT;

    JobTask(Job job, TaskName name, JobStep step) {
        this.job = job;
        this.name = name;
        this.step = step;
    }

    /** Returns the job that it belongs to. */
    public Job job() {
        return job;
    }

    /** Returns its identity. */
    public TaskName name() {
        return name;
    }

    /** Returns the step that it belongs to. */
    public JobStep step() {
        return step;
    }

    /** Returns its durable state, including changes that are not written yet. */
    public TaskState state() {
        return state;
    }

    /** Returns what was seen of the current run. */
    public RunProgress progress() {
        return progress;
    }

    /** Returns the tail latency of a serving task at work as a share of its target; 0 for any other task. */
    double tail() {
        return step.isServing() && progress.isSeen() ? (double) progress.usage() / step.targetLatencyMs() : 0;
    }

    /** Returns the worker on which the last run went wrong, or null. */
    public WorkerRef avoided() {
        return avoided;
    }

    /** Tells whether {@code run} on {@code worker} is the run that the task is assigned to. */
    boolean isCurrent(WorkerRef worker, int run) {
        return state.phase() == TaskPhase.ASSIGNED
                && state.run() == run
                && state.worker().equals(worker);
    }

    boolean isAssigned() {
        return state.phase() == TaskPhase.ASSIGNED;
    }

    /** Notes the worker on which the leader counts it, or null for none. */
    void setPlace(WorkerView worker) {
        place = worker;
    }

    /** Takes it off the worker on which it is counted, if there is one. */
    void release() {
        if (place != null) {
            place.remove(this);
        }
    }

    /*
     * Transitions; each marks the job as changed
     */

    /** Returns the rack that it was last assigned to, or null. */
    String rack() {
        return rack;
    }

    void assign(WorkerRef worker, String newRack, int run, long nowMs) {
        rack = newRack;
        change(new TaskState(TaskPhase.ASSIGNED, run, worker, state.failures(), state.checkpoint()));
        progress = RunProgress.firstOrderedAt(nowMs);
        looksAfterStop = NOT_COUNTING;
        pacePercent = FULL_PACE_PERCENT;
    }

    void finish(TaskPhase phase, int failures, String checkpoint) {
        String kept = checkpoint.isEmpty() ? state.checkpoint() : checkpoint;
        change(new TaskState(phase, state.run(), state.worker(), failures, kept));
        progress = RunProgress.NONE;
    }

    /** Notes what was seen of the run. A new checkpoint is written with the next change of the job. */
    void observe(RunProgress seen) {
        progress = seen;
        if (isAssigned() && !seen.checkpoint().isEmpty()) {
            replace(new TaskState(state.phase(), state.run(), state.worker(), state.failures(), seen.checkpoint()));
        }
    }

    /** Returns the share at which the current run was last told to work. */
    int pacePercent() {
        return pacePercent;
    }

    boolean isAtFullPace() {
        return pacePercent == FULL_PACE_PERCENT;
    }

    void setPacePercent(int percent) {
        pacePercent = percent;
    }

    /**
     * Takes up the look of a report that follows a confirmed stop. The look of the first such report came before the
     * stop was confirmed, and reports repeat a look until the worker answers the next one.
     *
     * @param lookNumber number of the look; a restarted guard counts anew
     * @return how many looks were answered after the stop was confirmed
     */
    int countLookAfterStop(long lookNumber) {
        if (looksAfterStop == NOT_COUNTING || lookNumber < lastLookNumber) {
            looksAfterStop = 0;
        } else if (lookNumber > lastLookNumber) {
            looksAfterStop++;
        }
        lastLookNumber = lookNumber;
        return looksAfterStop;
    }

    void avoid(WorkerRef worker) {
        avoided = worker;
    }

    void restore(TaskState restored) {
        replace(restored);
        progress = RunProgress.NONE;
        looksAfterStop = NOT_COUNTING;
        place = null;
    }

    private void change(TaskState changed) {
        replace(changed);
        job.markChanged();
    }

    private void replace(TaskState next) {
        job.count(state, next);
        state = next;
    }
}
