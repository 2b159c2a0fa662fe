package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Guard beside a {@link FakeWorker} under virtual time. Looks and orders lose their answers, orders are carried out
 * late, the worker refuses starts as unhealthy or drains, and the guard restarts. Leases never run out and the worker
 * never ends, so no task has a reason to run twice.
 */
final class GuardEmulator {
    private static final int LOOK_MS = 500;
    private static final int LOOK_TIMEOUT_MS = 900;
    private static final int LATE_MS = 2_500;
    private static final int FAILED_LOOKS = 2;
    private static final int CALLS = 100;

    private final FakeWorker worker;
    private final JobBook book;
    private final Random random;
    private final Runnable observer;
    private final List<Outcome> outcomes = new ArrayList<>();
    private final List<Late> late = new ArrayList<>();
    private final Set<JobOrder.Start> unanswered = new HashSet<>();
    private final Set<String> withdrawn = new HashSet<>();
    private WorkerReport look;
    private long lookNumber;
    private int failedLooks;
    private long lookDueMs;
    private JobOrder.Acknowledge acknowledgement;
    private boolean faulty = true;

    /** Answer to an order that the leader is told. */
    record Outcome(String task, int run, boolean start, String outcome) {}

    private record Late(long dueMs, JobOrder order) {}

    /**
     * Constructs a guard.
     *
     * @param observer runs after each order that the worker has carried out
     */
    GuardEmulator(FakeWorker worker, JobBook book, Random random, Runnable observer) {
        this.worker = worker;
        this.book = book;
        this.random = random;
        this.observer = observer;
    }

    FakeWorker worker() {
        return worker;
    }

    /** Ends all faults; what was carried out late by then still arrives. */
    void heal() {
        faulty = false;
        worker.draining = false;
    }

    void advance(long nowMs, int stepMs) {
        worker.advance(nowMs, stepMs);
        for (Late each : List.copyOf(late)) {
            if (each.dueMs() <= nowMs) {
                late.remove(each);
                carryOut(each.order());
            }
        }
        if (happens(1)) {
            restart();
        }
        if (nowMs >= lookDueMs) {
            look(nowMs);
        }
    }

    /** Returns the report for the leader; its lists are empty, and the worker unreachable, before the first look. */
    WorkerReport report() {
        boolean looked = look != null;
        WorkerReport known = looked ? look : worker.report();
        return new WorkerReport(
                known.ref(),
                known.service(),
                known.zone(),
                known.capacity(),
                known.labels(),
                worker.draining,
                looked && failedLooks < FAILED_LOOKS,
                false,
                looked ? look.running() : List.of(),
                looked ? look.ended() : List.of(),
                lookNumber);
    }

    List<Outcome> takeOutcomes() {
        List<Outcome> taken = List.copyOf(outcomes);
        outcomes.clear();
        return taken;
    }

    void take(JobOrder order, long nowMs) {
        switch (order) {
            case JobOrder.Start start -> start(start, nowMs);
            case JobOrder.Stop stop -> {
                withdrawn.add(stop.task() + "#" + stop.run());
                if (call(stop, nowMs)) {
                    outcomes.add(new Outcome(stop.task(), stop.run(), false, "done"));
                }
            }
            case JobOrder.Pace pace -> worker.take(pace, book);
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
            outcomes.add(new Outcome(name, start.run(), true, certain(start, "status 503")));
            return;
        }
        String reason = null;
        boolean answered = true;
        if (happens(15)) {
            answered = false;
            late.add(new Late(nowMs + random.nextInt(LATE_MS), start));
        } else {
            reason = carryOut(start);
            answered = !happens(15);
        }
        if (!answered) {
            unanswered.add(start);
        } else if (reason != null) {
            outcomes.add(new Outcome(name, start.run(), true, certain(start, reason)));
        }
    }

    private String certain(JobOrder.Start start, String reason) {
        return unanswered.contains(start) ? "uncertain" : reason;
    }

    private boolean call(JobOrder order, long nowMs) {
        if (happens(15)) {
            late.add(new Late(nowMs + random.nextInt(LATE_MS), order));
            return false;
        }
        carryOut(order);
        return !happens(15);
    }

    private String carryOut(JobOrder order) {
        String refused = worker.take(order, book);
        observer.run();
        return refused;
    }

    private void look(long nowMs) {
        if (happens(20)) {
            failedLooks++;
            lookDueMs = nowMs + LOOK_TIMEOUT_MS;
            return;
        }
        if (acknowledgement != null) {
            worker.take(acknowledgement, book);
        }
        failedLooks = 0;
        look = worker.report();
        lookNumber++;
        lookDueMs = nowMs + (look.ended().isEmpty() ? LOOK_MS : LOOK_MS / 5);
        if (happens(2)) {
            worker.draining = !worker.draining;
        }
    }

    private void restart() {
        look = null;
        lookNumber = 0;
        failedLooks = 0;
        acknowledgement = null;
        outcomes.clear();
        unanswered.clear();
        withdrawn.clear();
    }

    private boolean happens(int percent) {
        return faulty && random.nextInt(CALLS) < percent;
    }
}
