package org.fulmarreach.core.jobs;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.fulmarreach.core.model.Resources;

/**
 * The leader's view of the worker of one guard: its last report, the tasks assigned to it and its recent faults. Not
 * thread-safe.
 */
final class WorkerView {
    /** A report lists all runs of a worker and has to fit a frame; only tasks that reserve next to nothing meet it. */
    static final int MAX_RUNS = 10_000;

    private static final int FULL_PERCENT = 100;

    /** Polls after the guard has learned the term of which one carries it; the first may have been under way. */
    private static final int POLLS_TO_FENCE = 2;

    /** Usual time from the loss of a connection, or from the begin of a term, to the first report after it. */
    private static final long RECONNECTION_MS = 800;

    /** Value of the poll number while the guard does not know the term. */
    private static final long TERM_UNKNOWN = -1;

    private final String guard;
    private final Set<JobTask> assigned = new LinkedHashSet<>();
    private final ReleasedRuns released = new ReleasedRuns();
    private final LifetimeOrder lifetimeOrder = new LifetimeOrder();
    private Resources reserved = Resources.NONE;
    private Resources reservedByLongRunning = Resources.NONE;
    private int bestEffortMilliCores;
    private int servingTasks;
    private int servingMilliCores;
    private final Map<String, Set<JobTask>> servingByImage = new LinkedHashMap<>();
    private final Map<String, Integer> bestEffortByImage = new LinkedHashMap<>();
    private Map<String, Double> pressures = Map.of();
    private WorkerReport report;
    private long reportedAtMs;
    private long answeredAtMs;
    private boolean reservedForTrial;
    private boolean evacuated;
    private StartAllowance filling = StartAllowance.UNLIMITED;
    private final StartWindow starting = new StartWindow();
    private boolean connected;
    private final long createdAtMs;
    private long formerGrantsUntilMs;
    private long grantedAtMs;
    private long pollAtTerm = TERM_UNKNOWN;
    private long highestToken;
    private long formerLifetimesToken;
    private WorkerRef endsRecordedFor;
    private long lastEnd;
    private int faultsInRow;
    private long suspectUntilMs;

    /**
     * Constructs the view of a worker without a report.
     *
     * @param formerGrantsUntilMs time until which former leaders may grant leases to its guard
     * @param nowMs present time on the leader's monotonic clock
     */
    WorkerView(String guard, long formerGrantsUntilMs, long nowMs) {
        this.guard = guard;
        this.formerGrantsUntilMs = formerGrantsUntilMs;
        this.createdAtMs = nowMs;
    }

    String guard() {
        return guard;
    }

    /** Returns the last report, or null before the first. */
    WorkerReport report() {
        return report;
    }

    /**
     * Returns the newest known start of the worker in Unix milliseconds, from its last report and from the runs
     * assigned to it, which a former leader may have placed; 0 if none is known.
     */
    long newestStartMs() {
        long newestMs = report == null ? 0 : report.ref().startedAtMs();
        for (JobTask task : assigned) {
            newestMs = Math.max(newestMs, task.state().worker().startedAtMs());
        }
        return newestMs;
    }

    /**
     * Returns why a report says nothing about the present lifetime of the worker, or null if it does. One of another
     * lifetime than the known ones counts only if the worker has answered as it, or if all leases are over.
     */
    String findReasonToIgnore(WorkerReport newReport, long nowMs) {
        if (!newReport.reachable() && !newReport.leaseExpired() && !knows(newReport.ref())) {
            return "ignored report of a lifetime that has not answered";
        }
        return lifetimeOrder.isPresent(newReport, newestStartMs(), nowMs)
                ? null
                : "ignored report of a former lifetime";
    }

    private boolean knows(WorkerRef lifetime) {
        return report == null && assigned.isEmpty()
                || report != null && report.ref().equals(lifetime)
                || assigned.stream().anyMatch(task -> task.state().worker().equals(lifetime));
    }

    /** Returns the tasks that are assigned to the worker. */
    Set<JobTask> assigned() {
        return assigned;
    }

    /** Returns the resources that the assigned tasks reserve. */
    Resources reserved() {
        return reserved;
    }

    /** Returns the resources that are not available: reserved, or taken up by runs that are being stopped. */
    Resources taken() {
        return reserved.plus(released.reserved());
    }

    /** Counts a run that is not assigned, or will no longer be, against the capacity until its end is listed. */
    void countUntilEnded(JobTask task, int run) {
        released.add(task.name().toString(), run, task.step().reserved());
    }

    /** Tells whether the assigned tasks fit the capacity that the worker reported last. */
    boolean isWithinCapacity() {
        return report == null || taken().fitsInto(report.capacity());
    }

    /** Returns the resources that the assigned long-running tasks reserve. */
    Resources reservedByLongRunning() {
        return reservedByLongRunning;
    }

    /** Returns the millicores that the assigned best-effort tasks may use at their CPU shares. */
    int bestEffortMilliCores() {
        return bestEffortMilliCores;
    }

    int servingTasks() {
        return servingTasks;
    }

    /** Returns the millicores that the assigned serving tasks reserve. */
    int servingMilliCores() {
        return servingMilliCores;
    }

    /** Returns the assigned serving tasks by image; no image has an empty set. */
    Map<String, Set<JobTask>> servingByImage() {
        return servingByImage;
    }

    /** Returns the millicores that the assigned best-effort tasks may use at full CPU share, by image. */
    Map<String, Integer> bestEffortByImage() {
        return bestEffortByImage;
    }

    /** Returns an amount of millicores as a share of the worker's processors. */
    double share(double milliCores) {
        return milliCores / Math.max(1, report.capacity().milliCores());
    }

    /** Replaces the pressures on the serving images by those of the last report. */
    void setPressures(Map<String, Double> newPressures) {
        pressures = newPressures;
    }

    /** Returns the last measured pressure on a serving image; 0 if there is none. */
    double pressure(String serving) {
        return pressures.getOrDefault(serving, 0.0);
    }

    /** Returns when the last grant was sent to the guard, or may have been sent by a former leader. */
    long grantedAtMs() {
        return Math.max(grantedAtMs, formerGrantsUntilMs);
    }

    /**
     * Records that the guard knows this leader's term. Once the worker has answered a poll that carries the term, it
     * refuses the leases of former leaders, also by way of a guard that has started again.
     *
     * @param pollNumber number of the poll that the worker has answered; starts over when the guard restarts
     */
    void recordTermKnown(long pollNumber, long nowMs) {
        if (pollAtTerm == TERM_UNKNOWN || pollNumber < pollAtTerm) {
            pollAtTerm = pollNumber;
        } else if (pollNumber >= pollAtTerm + POLLS_TO_FENCE) {
            formerGrantsUntilMs = Math.min(formerGrantsUntilMs, nowMs);
        }
    }

    /** Records a time until which former leaders may have granted leases at most. */
    void boundFormerGrants(long untilMs) {
        formerGrantsUntilMs = Math.min(formerGrantsUntilMs, untilMs);
    }

    void recordGrant(long nowMs) {
        grantedAtMs = Math.max(grantedAtMs, nowMs);
    }

    void recordReport(WorkerReport newReport, long nowMs) {
        if (newReport.leaseExpired() || report != null && !report.ref().equals(newReport.ref())) {
            released.clear();
        } else if (newReport.reachable()) {
            released.apply(newReport);
        }
        recordToken(newReport);
        report = newReport;
        reportedAtMs = nowMs;
        connected = true;
        answeredAtMs = newReport.reachable() ? nowMs : answeredAtMs;
    }

    private void recordToken(WorkerReport newReport) {
        if (report != null && !report.ref().equals(newReport.ref())) {
            formerLifetimesToken = highestToken;
        }
        if (newReport.token() != null) {
            highestToken = Math.max(highestToken, newReport.token().value());
        }
    }

    /**
     * Tells whether the lifetime that was reported last carries out no order any more that was meant for a former one:
     * it has seen a fencing token of this leader's term that is higher than those of the former lifetimes.
     */
    boolean rulesOutFormerOrders() {
        return report.token() != null && report.token().value() > formerLifetimesToken;
    }

    /** Returns when the last report came according to which the worker answered its guard; 0 before the first. */
    long answeredAtMs() {
        return answeredAtMs;
    }

    /** Tells whether the worker gets no new runs but that of a task which is suspected of crashing its workers. */
    boolean isReservedForTrial() {
        return reservedForTrial;
    }

    void setReservedForTrial(boolean reserved) {
        reservedForTrial = reserved;
    }

    /** Tells whether the zone of the worker is evacuated, so that nothing is started there. */
    boolean isEvacuated() {
        return evacuated;
    }

    void setEvacuated(boolean isEvacuated) {
        evacuated = isEvacuated;
    }

    /** Returns the starts under way to the worker, as of its last report and with those ordered since. */
    StartWindow starting() {
        return starting;
    }

    /**
     * Tells whether another start may be ordered, whatever resources are free. The members of a gang start together, so
     * they do not wait for the starts under way.
     */
    boolean mayOrderStart(JobTask task) {
        return assigned.size() < MAX_RUNS && (task.step().gang() || starting.admits(task.job()));
    }

    /** Limits what is started on the worker for a while after its zone was taken back. */
    void setFilling(StartAllowance allowance) {
        filling = allowance;
    }

    /** Tells whether a task of a step may be started now on a worker whose zone may have been taken back lately. */
    boolean mayFillWith(JobStep step, long nowMs) {
        return filling.admits(step, this, nowMs);
    }

    /** The same for a task that has waited for long, see {@link StartAllowance#admitsWaiting}. */
    boolean mayFillWithWaiting(JobStep step, long minElapsedMs, long nowMs) {
        return filling.admitsWaiting(step, this, minElapsedMs, nowMs);
    }

    /** Records that the guard has no session any more; until its next report no order reaches the worker. */
    void recordDisconnected() {
        connected = false;
    }

    /** Tells whether the worker can get new work now, not considering its recent faults. */
    boolean isAvailable(String service, long nowMs) {
        return report != null
                && connected
                && !evacuated
                && report.reachable()
                && !report.draining()
                && report.service().equals(service)
                && nowMs - reportedAtMs <= JobTimeLimits.REPORT_TIMEOUT_MS;
    }

    /** Returns a line of text for the operators' state page. */
    String describe() {
        String id = report == null ? "unknown" : report.ref().id();
        return guard + " worker=" + id + " tasks=" + assigned.size() + " faultsInRow=" + faultsInRow
                + (evacuated ? " evacuated=true" : "");
    }

    /** Tells whether several runs in a row failed or stalled on the worker a short time ago. */
    boolean isSuspected(long nowMs) {
        return nowMs < suspectUntilMs;
    }

    /** Records that an end was handled; returns false if it had been handled before. */
    boolean recordEnd(WorkerRef ref, long number) {
        if (!ref.equals(endsRecordedFor)) {
            endsRecordedFor = ref;
            lastEnd = 0;
        }
        if (number <= lastEnd) {
            return false;
        }
        lastEnd = number;
        return true;
    }

    boolean isReportOverdue(long nowMs) {
        return nowMs - reportedAtMs > JobTimeLimits.REPORT_TIMEOUT_MS;
    }

    /**
     * Tells whether the guard has not reported for a while, a shorter one if it has no session. One that this leader
     * has not heard of yet gets the time to find it.
     *
     * @param wasSilent whether it was silent already when the term began
     */
    boolean isSilent(boolean wasSilent, long nowMs) {
        if (report == null) {
            return wasSilent || nowMs - createdAtMs > RECONNECTION_MS;
        }
        return isReportOverdue(nowMs) || !connected && nowMs - reportedAtMs > RECONNECTION_MS;
    }

    int countTasksOfStep(JobTask task) {
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

    /** Returns the rack, which is the second label after the kind of the worker; empty if unknown. */
    String rack() {
        return report == null ? "" : rackOf(report);
    }

    /** Returns the rack of a worker according to a report; empty if it has none. */
    static String rackOf(WorkerReport report) {
        return report.labels().size() > 1 ? report.labels().get(1) : "";
    }

    /*
     * Assignment
     */

    void add(JobTask task) {
        if (assigned.add(task)) {
            task.setWorkerView(this);
            starting.add(task);
            reserved = reserved.plus(task.step().reserved());
            reservedByLongRunning = reservedByLongRunning.plus(longRunningReservation(task));
            bestEffortMilliCores += bestEffortMilliCoresOf(task);
            servingTasks += task.step().isServing() ? 1 : 0;
            servingMilliCores += servingMilliCoresOf(task);
            if (task.step().isServing()) {
                servingByImage
                        .computeIfAbsent(task.step().image(), image -> new LinkedHashSet<>())
                        .add(task);
            }
            if (task.step().bestEffort()) {
                bestEffortByImage.merge(
                        task.step().image(), task.step().demand().milliCores(), Integer::sum);
            }
        }
    }

    void remove(JobTask task) {
        if (assigned.remove(task)) {
            task.setWorkerView(null);
            reserved = reserved.minus(task.step().reserved());
            reservedByLongRunning = reservedByLongRunning.minus(longRunningReservation(task));
            bestEffortMilliCores -= bestEffortMilliCoresOf(task);
            servingTasks -= task.step().isServing() ? 1 : 0;
            servingMilliCores -= servingMilliCoresOf(task);
            servingByImage.computeIfPresent(task.step().image(), (image, tasks) -> {
                tasks.remove(task);
                return tasks.isEmpty() ? null : tasks;
            });
            if (task.step().bestEffort()) {
                int taken = task.step().demand().milliCores();
                bestEffortByImage.computeIfPresent(
                        task.step().image(), (image, sum) -> sum == taken ? null : (Integer) (sum - taken));
            }
        }
    }

    private static Resources longRunningReservation(JobTask task) {
        return task.step().longRunning() ? task.step().reserved() : Resources.NONE;
    }

    private static int servingMilliCoresOf(JobTask task) {
        return task.step().isServing() ? task.step().demand().milliCores() : 0;
    }

    private static int bestEffortMilliCoresOf(JobTask task) {
        return task.step().bestEffort() ? task.step().demand().milliCores() * task.cpuSharePercent() / FULL_PERCENT : 0;
    }

    /** Changes the CPU share of an assigned best-effort task, in percent. */
    void setCpuShare(JobTask task, int percent) {
        bestEffortMilliCores -= bestEffortMilliCoresOf(task);
        task.setCpuSharePercent(percent);
        bestEffortMilliCores += bestEffortMilliCoresOf(task);
    }

    /*
     * Reliability
     */

    int faultsInRow() {
        return faultsInRow;
    }

    void recordSuccess() {
        faultsInRow = 0;
    }

    /** Records a failed or stalled run; returns true if the worker now gets no new work for a while. */
    boolean recordFault(int faultsToSuspect, long nowMs) {
        faultsInRow++;
        if (faultsInRow >= faultsToSuspect && nowMs >= suspectUntilMs) {
            suspectUntilMs = nowMs + JobTimeLimits.SUSPICION_MS;
            return true;
        }
        return false;
    }
}
