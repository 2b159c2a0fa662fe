package org.fulmarreach.core.jobs;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.fulmarreach.core.model.Resources;

/**
 * What the leader knows of the worker beside one guard: its last report, the tasks assigned to it and how reliable it
 * has been. Not thread-safe.
 */
final class WorkerView {
    private static final int FULL_PERCENT = 100;

    private final String guard;
    private final Set<JobTask> assigned = new LinkedHashSet<>();
    private Resources reserved = Resources.NONE;
    private Resources reservedForGood = Resources.NONE;
    private int fillMilliCores;
    private int servingTasks;
    private int servingMilliCores;
    private final Map<String, Set<JobTask>> servingByImage = new LinkedHashMap<>();
    private final Map<String, Integer> fillByImage = new LinkedHashMap<>();
    private Map<String, Double> pressures = Map.of();
    private WorkerReport report;
    private long reportedAtMs;
    private long grantedAtMs;
    private WorkerRef endsOf;
    private long lastEnd;
    private int faultsInRow;
    private long suspectUntilMs;

    WorkerView(String guard, long grantedAtMs) {
        this.guard = guard;
        this.grantedAtMs = grantedAtMs;
    }

    String guard() {
        return guard;
    }

    /** Returns the last report, or null before the first. */
    WorkerReport report() {
        return report;
    }

    Set<JobTask> assigned() {
        return assigned;
    }

    /** Returns what the assigned tasks take of the capacity. */
    Resources reserved() {
        return reserved;
    }

    /** Returns what the assigned long-running tasks take of the capacity. */
    Resources reservedForGood() {
        return reservedForGood;
    }

    /** Returns the processors that the assigned filling tasks could use at their pace, in thousandths of a core. */
    int fillMilliCores() {
        return fillMilliCores;
    }

    int servingTasks() {
        return servingTasks;
    }

    /** Returns the processors that the assigned serving tasks reserve, in thousandths of a core. */
    int servingMilliCores() {
        return servingMilliCores;
    }

    /** Returns the assigned serving tasks by image; no image has an empty set. */
    Map<String, Set<JobTask>> servingByImage() {
        return servingByImage;
    }

    /** Returns the processors that the assigned filling tasks could use at full pace, in thousandths of a core. */
    Map<String, Integer> fillByImage() {
        return fillByImage;
    }

    /** Returns an amount of thousandths of a core as a share of the worker's processors. */
    double share(double milliCores) {
        return milliCores / Math.max(1, report.capacity().milliCores());
    }

    /** Notes the pressure on the serving images here, as the last look told it. */
    void notePressures(Map<String, Double> newPressures) {
        pressures = newPressures;
    }

    /** Returns the pressure on a serving image; 0 if it was not seen here. */
    double pressure(String serving) {
        return pressures.getOrDefault(serving, 0.0);
    }

    /** Returns when the last grant was sent to the guard. */
    long grantedAtMs() {
        return grantedAtMs;
    }

    void grant(long nowMs) {
        grantedAtMs = Math.max(grantedAtMs, nowMs);
    }

    void accept(WorkerReport newReport, long nowMs) {
        report = newReport;
        reportedAtMs = nowMs;
    }

    /** Tells whether new work may go there now. */
    boolean isUsable(String service, long nowMs) {
        return report != null
                && report.reachable()
                && !report.draining()
                && report.service().equals(service)
                && nowMs - reportedAtMs <= JobTimes.GUARD_SILENCE_MS
                && nowMs >= suspectUntilMs;
    }

    /** Notes that an end was taken up; returns false if it was before. */
    boolean noteEnd(WorkerRef ref, long number) {
        if (!ref.equals(endsOf)) {
            endsOf = ref;
            lastEnd = 0;
        }
        if (number <= lastEnd) {
            return false;
        }
        lastEnd = number;
        return true;
    }

    boolean isSilent(long nowMs) {
        return nowMs - reportedAtMs > JobTimes.GUARD_SILENCE_MS;
    }

    int countOfStep(JobTask task) {
        int count = 0;
        for (JobTask other : assigned) {
            TaskName name = other.name();
            if (name.jobId().equals(task.name().jobId())
                    && name.step() == task.name().step()
                    && name.occurrence() == task.name().occurrence()) {
                count++;
            }
        }
        return count;
    }

    /** Returns the rack: a worker lists its kind first and its rack second. */
    String rack() {
        return report.labels().size() > 1 ? report.labels().get(1) : "";
    }

    /*
     * Assignment
     */

    void add(JobTask task) {
        if (assigned.add(task)) {
            task.setPlace(this);
            reserved = reserved.plus(task.step().reserved());
            reservedForGood = reservedForGood.plus(lasting(task));
            fillMilliCores += fillOf(task);
            servingTasks += task.step().isServing() ? 1 : 0;
            servingMilliCores += servingOf(task);
            if (task.step().isServing()) {
                servingByImage
                        .computeIfAbsent(task.step().image(), image -> new LinkedHashSet<>())
                        .add(task);
            }
            if (task.step().fillsIdleCapacity()) {
                fillByImage.merge(task.step().image(), task.step().demand().milliCores(), Integer::sum);
            }
        }
    }

    void remove(JobTask task) {
        if (assigned.remove(task)) {
            task.setPlace(null);
            reserved = reserved.minus(task.step().reserved());
            reservedForGood = reservedForGood.minus(lasting(task));
            fillMilliCores -= fillOf(task);
            servingTasks -= task.step().isServing() ? 1 : 0;
            servingMilliCores -= servingOf(task);
            servingByImage.computeIfPresent(task.step().image(), (image, tasks) -> {
                tasks.remove(task);
                return tasks.isEmpty() ? null : tasks;
            });
            if (task.step().fillsIdleCapacity()) {
                int taken = task.step().demand().milliCores();
                fillByImage.computeIfPresent(
                        task.step().image(), (image, sum) -> sum == taken ? null : (Integer) (sum - taken));
            }
        }
    }

    private static Resources lasting(JobTask task) {
        return task.step().longRunning() ? task.step().reserved() : Resources.NONE;
    }

    private static int servingOf(JobTask task) {
        return task.step().isServing() ? task.step().demand().milliCores() : 0;
    }

    private static int fillOf(JobTask task) {
        return task.step().fillsIdleCapacity()
                ? task.step().demand().milliCores() * task.pacePercent() / FULL_PERCENT
                : 0;
    }

    /** Notes that an assigned filling task is told to work at another share. */
    void setPace(JobTask task, int percent) {
        fillMilliCores -= fillOf(task);
        task.setPacePercent(percent);
        fillMilliCores += fillOf(task);
    }

    /*
     * Reliability
     */

    int faultsInRow() {
        return faultsInRow;
    }

    void noteSuccess() {
        faultsInRow = 0;
    }

    /** Notes that a run went wrong here; returns true if the worker is now left alone for a while. */
    boolean noteFault(int faultsToSuspect, long nowMs) {
        faultsInRow++;
        if (faultsInRow >= faultsToSuspect && nowMs >= suspectUntilMs) {
            suspectUntilMs = nowMs + JobTimes.SUSPICION_MS;
            return true;
        }
        return false;
    }
}
