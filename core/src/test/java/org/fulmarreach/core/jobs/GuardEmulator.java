package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Guard of a {@link FakeWorker} under virtual time, with injected faults: responses to polls and orders are lost,
 * orders are executed late, the worker refuses starts as unhealthy or drains, and the guard restarts. Leases never
 * expire and the worker never restarts, so no task may ever run twice.
 */
final class GuardEmulator {
    private static final int POLL_INTERVAL_MS = 500;
    private static final int POLL_TIMEOUT_MS = 900;
    private static final int MAX_DELAY_MS = 2_500;
    private static final int UNREACHABLE_AFTER_POLLS = 2;
    private static final int FULL_PERCENT = 100;

    private final FakeWorker worker;
    private final JobRegistry registry;
    private final Random random;
    private final Runnable observer;
    private final List<Outcome> outcomes = new ArrayList<>();
    private final List<DelayedOrder> delayed = new ArrayList<>();
    private final Set<JobOrder.Start> unanswered = new HashSet<>();
    private final Set<String> withdrawn = new HashSet<>();
    private WorkerReport lastPoll;
    private long pollNumber;
    private int failedPolls;
    private long nextPollAtMs;
    private JobOrder.Acknowledge acknowledgement;
    private boolean faulty = true;

    /** Response to an order, as reported to the leader. */
    record Outcome(String task, int run, boolean start, String outcome) {}

    private record DelayedOrder(long dueMs, JobOrder order) {}

    /**
     * Constructs a guard.
     *
     * @param observer runs after each order that the worker has executed
     */
    GuardEmulator(FakeWorker worker, JobRegistry registry, Random random, Runnable observer) {
        this.worker = worker;
        this.registry = registry;
        this.random = random;
        this.observer = observer;
    }

    FakeWorker worker() {
        return worker;
    }

    /** Injects no more faults; orders that were delayed before are still executed. */
    void stopFaults() {
        faulty = false;
        worker.draining = false;
    }

    void advance(long nowMs, int stepMs) {
        worker.advance(nowMs, stepMs);
        for (DelayedOrder each : List.copyOf(delayed)) {
            if (each.dueMs() <= nowMs) {
                delayed.remove(each);
                execute(each.order());
            }
        }
        if (happens(1)) {
            restart();
        }
        if (nowMs >= nextPollAtMs) {
            poll(nowMs);
        }
    }

    /** Returns the report for the leader; before the first poll its lists are empty and the worker unreachable. */
    WorkerReport report() {
        boolean polled = lastPoll != null;
        WorkerReport known = polled ? lastPoll : worker.report();
        return new WorkerReport(
                known.ref(),
                known.service(),
                known.zone(),
                known.capacity(),
                known.labels(),
                worker.draining,
                polled && failedPolls < UNREACHABLE_AFTER_POLLS,
                false,
                polled ? lastPoll.running() : List.of(),
                polled ? lastPoll.ended() : List.of(),
                pollNumber);
    }

    List<Outcome> takeOutcomes() {
        List<Outcome> taken = List.copyOf(outcomes);
        outcomes.clear();
        return taken;
    }

    void handle(JobOrder order, long nowMs) {
        switch (order) {
            case JobOrder.Start start -> start(start, nowMs);
            case JobOrder.Stop stop -> {
                withdrawn.add(stop.task() + "#" + stop.run());
                if (call(stop, nowMs)) {
                    outcomes.add(new Outcome(stop.task(), stop.run(), false, "done"));
                }
            }
            case JobOrder.SetCpuShare setCpuShare -> worker.execute(setCpuShare, registry);
            case JobOrder.Acknowledge acknowledge -> acknowledgement = acknowledge;
        }
    }

    /*
     * Helpers
     */

    private void start(JobOrder.Start start, long nowMs) {
        String name = start.task().toString();
        if (withdrawn.contains(name + "#" + start.run())) {
            return;
        }
        if (worker.draining) {
            outcomes.add(new Outcome(name, start.run(), true, "draining"));
            return;
        }
        if (happens(10)) {
            outcomes.add(new Outcome(name, start.run(), true, outcomeOf(start, "status 503")));
            return;
        }
        String reason = null;
        boolean answered = true;
        if (happens(15)) {
            answered = false;
            delayed.add(new DelayedOrder(nowMs + random.nextInt(MAX_DELAY_MS), start));
        } else {
            reason = execute(start);
            answered = !happens(15);
        }
        if (!answered) {
            unanswered.add(start);
        } else if (reason != null) {
            outcomes.add(new Outcome(name, start.run(), true, outcomeOf(start, reason)));
        }
    }

    private String outcomeOf(JobOrder.Start start, String reason) {
        return unanswered.contains(start) ? "uncertain" : reason;
    }

    private boolean call(JobOrder order, long nowMs) {
        if (happens(15)) {
            delayed.add(new DelayedOrder(nowMs + random.nextInt(MAX_DELAY_MS), order));
            return false;
        }
        execute(order);
        return !happens(15);
    }

    private String execute(JobOrder order) {
        String refused = worker.execute(order, registry);
        observer.run();
        return refused;
    }

    private void poll(long nowMs) {
        if (happens(20)) {
            failedPolls++;
            nextPollAtMs = nowMs + POLL_TIMEOUT_MS;
            return;
        }
        if (acknowledgement != null) {
            worker.execute(acknowledgement, registry);
        }
        failedPolls = 0;
        lastPoll = worker.report();
        pollNumber++;
        nextPollAtMs = nowMs + (lastPoll.ended().isEmpty() ? POLL_INTERVAL_MS : POLL_INTERVAL_MS / 5);
        if (happens(2)) {
            worker.draining = !worker.draining;
        }
    }

    private void restart() {
        lastPoll = null;
        pollNumber = 0;
        failedPolls = 0;
        acknowledgement = null;
        outcomes.clear();
        unanswered.clear();
        withdrawn.clear();
    }

    private boolean happens(int percent) {
        return faulty && random.nextInt(FULL_PERCENT) < percent;
    }
}
