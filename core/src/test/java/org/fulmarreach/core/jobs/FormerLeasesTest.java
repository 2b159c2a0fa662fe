package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What may be left of former leases, starts and ends when a leader, a worker or a guard is replaced. */
class FormerLeasesTest {
    private static final JobConfig CONFIG = new JobConfig(
            1, List.of(new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5)), 1_000_000);
    private static final JobTimeLimits LIMITS = new JobTimeLimits(6_000, 120_000, 3_000, 900);
    private static final String TASK = "job.0.0.0";

    private final JobRegistry registry = new JobRegistry();
    private final WorkerRef former = new WorkerRef("guard-0", "worker-0", 1_000);
    private final WorkerRef next = new WorkerRef("guard-0", "worker-0", 2_000);
    private final WorkerRef other = new WorkerRef("guard-1", "worker-1", 1_000);
    private final Map<String, Long> polls = new LinkedHashMap<>();
    private final List<JobOrder> immediate = new ArrayList<>();
    private final List<JobOrder.Start> starts = new ArrayList<>();
    private JobScheduler scheduler;
    private long nowMs = 1_000_000;

    /**
     * A grant that is sent while the jobs are not all known leaves no trace, since the guard has no view yet; the view
     * that a late job creates then has an earlier last grant than the guard has received.
     */
    @Test
    void grantBeforeALateJobCountsIfTheFormerLeaderResigned() {
        lateJob(new FormerLeases(nowMs, Map.of()), 1_500);
    }

    /** As before, with a bound that the former leader stored. */
    @Test
    void grantBeforeALateJobCountsIfTheFormerLeaderStoredABound() {
        lateJob(new FormerLeases(nowMs + LIMITS.grantWithoutStoreMs(), Map.of(former.guard(), nowMs + 4_600)), 100);
    }

    private void lateJob(FormerLeases leases, long grantAfterMs) {
        registry.restore("job", snapshotOfAssignedJob());
        scheduler = new JobScheduler(registry, CONFIG, LIMITS, leases, DecisionLog.NONE, nowMs);
        nowMs += grantAfterMs;
        // LeaderTerm.onReport before it knows all placed jobs: the report is held, the grant is sent.
        assertTrue(scheduler.requestLease(former.guard()));
        scheduler.onGrantSent(former.guard(), nowMs);
        long grantedAtMs = nowMs;
        nowMs += 200;
        registry.submit(spec(finite()));
        scheduler.activate(registry.find("job").orElseThrow(), nowMs);
        // LeaderTerm.releaseHeld: the report that was held is applied, and no grant is sent.
        assertTrue(scheduler.onReport(describe(former, false, List.of(running(1))), nowMs));
        // The guard is cut off from the leader here. Its worker works on until the lease is over.
        while (nowMs < grantedAtMs + LIMITS.leaseMs()) {
            nowMs += 50;
            report(other, List.of());
            decide();
        }
        assertEquals(1, task().state().run(), "started elsewhere during the lease that this leader has granted");
    }

    /**
     * A start that got no answer may still be carried out by the next lifetime under the same id. The stop that the
     * former lifetime has confirmed is no proof against that.
     */
    @Test
    void confirmedStopDoesNotCoverAStartWithoutAnAnswer() {
        scheduler = new JobScheduler(registry, CONFIG, LIMITS, DecisionLog.NONE, nowMs);
        report(former, List.of());
        registry.submit(spec(standing()));
        scheduler.activate(registry.find("job").orElseThrow(), nowMs);
        decide();
        for (int i = 0; i < 3; i++) {
            nowMs += 500;
            report(former, List.of());
        }
        assertEquals(2, starts.size(), "the start is repeated");
        nowMs += 300;
        report(former, List.of(running(1)));
        nowMs += 300;
        report(former, true, List.of(running(1)));
        assertTrue(immediate.contains(new JobOrder.Stop(former, TASK, 1)));
        scheduler.onOrderOutcome(former, TASK, 1, false, "uncertain", nowMs);
        // The worker crashes, and answers as its next lifetime after 2 s.
        for (int i = 0; i < 4; i++) {
            nowMs += 500;
            report(other, List.of());
        }
        report(next, List.of());
        assertEquals(1, task().state().run(), "started elsewhere before the start was withdrawn at the next lifetime");
        assertTrue(immediate.contains(new JobOrder.Stop(next, TASK, 1)), "not withdrawn at the next lifetime");
    }

    /**
     * The leader knows that a run has ended and may have succeeded; the next leader does not, and starts the task
     * again.
     */
    @Test
    void taskWhoseEndIsForgottenIsNotStartedAgainByTheNextLeader() {
        scheduler = new JobScheduler(registry, CONFIG, LIMITS, DecisionLog.NONE, nowMs);
        report(former, List.of());
        registry.submit(spec(finite()));
        scheduler.activate(registry.find("job").orElseThrow(), nowMs);
        decide();
        nowMs += 500;
        report(former, List.of(running(1)));
        for (int i = 0; i < 6; i++) {
            nowMs += 500;
            report(former, List.of());
        }
        assertEquals(1, task().state().run(), "the same leader does not start it again");
        assertTrue(task().isEndForgotten());
        registry.rollBack();
        scheduler = new JobScheduler(registry, CONFIG, LIMITS, DecisionLog.NONE, nowMs);
        int seenStops = 0;
        for (int i = 0; i < 20; i++) {
            nowMs += 500;
            report(former, List.of());
            if (starts.size() > 1
                    && seenStops == 0
                    && starts.get(starts.size() - 1).run() == 1) {
                scheduler.onOrderOutcome(former, TASK, 1, true, "old", nowMs);
                decide();
                seenStops++;
                scheduler.onOrderOutcome(former, TASK, 1, false, "done", nowMs);
            }
        }
        assertEquals(1, task().state().run(), "started again though it may have succeeded");
    }

    /** A leader that is lost together with a guard has stored no bound, so the next one waits for all grants. */
    @Test
    void workerThatIsLostTogetherWithTheLeaderIsReplacedInTime() {
        scheduler = new JobScheduler(registry, CONFIG, LIMITS, DecisionLog.NONE, nowMs);
        report(former, List.of());
        registry.submit(spec(standing()));
        scheduler.activate(registry.find("job").orElseThrow(), nowMs);
        decide();
        nowMs += 500;
        report(former, List.of(running(1)));
        long lostAtMs = nowMs;
        nowMs += 1_500;
        registry.rollBack();
        scheduler = new JobScheduler(registry, CONFIG, LIMITS, DecisionLog.NONE, nowMs);
        while (task().state().run() < 2 && nowMs < lostAtMs + 20_000) {
            nowMs += 50;
            report(other, List.of());
        }
        assertTrue(nowMs - lostAtMs <= 9_000, "second run after " + (nowMs - lostAtMs) + " ms");
    }

    /**
     * As before, but the process of the leader is back: it tells since when the former one has granted nothing, also
     * to a leader that has begun before.
     */
    @Test
    void workerThatIsLostTogetherWithTheLeaderIsReplacedInTimeIfTheLeadersProcessIsBack() {
        scheduler = new JobScheduler(registry, CONFIG, LIMITS, DecisionLog.NONE, nowMs);
        report(former, List.of());
        registry.submit(spec(standing()));
        scheduler.activate(registry.find("job").orElseThrow(), nowMs);
        decide();
        nowMs += 500;
        report(former, List.of(running(1)));
        long lostAtMs = nowMs;
        nowMs += 1_500;
        registry.rollBack();
        scheduler = new JobScheduler(registry, CONFIG, LIMITS, DecisionLog.NONE, nowMs);
        long processStartedAtMs = lostAtMs + 1_000;
        while (task().state().run() < 2 && nowMs < lostAtMs + 20_000) {
            nowMs += 50;
            report(other, List.of());
            if (nowMs == lostAtMs + 2_500) {
                scheduler.boundFormerGrants(processStartedAtMs);
            }
        }
        assertTrue(nowMs - lostAtMs <= 9_000, "second run after " + (nowMs - lostAtMs) + " ms");
        assertTrue(nowMs - processStartedAtMs > LIMITS.leaseMs(), "started elsewhere during the lease");
    }

    private static JobSnapshot snapshotOfAssignedJob() {
        JobRegistry writer = new JobRegistry();
        FormerLeasesTest test = new FormerLeasesTest();
        JobScheduler leader = new JobScheduler(writer, CONFIG, LIMITS, DecisionLog.NONE, test.nowMs);
        leader.onReport(test.describe(test.former, false, List.of()), test.nowMs);
        writer.submit(spec(finite()));
        leader.activate(writer.find("job").orElseThrow(), test.nowMs);
        leader.tick(test.nowMs, test.nowMs, true);
        return leader.takeBatch().progress().get("job").snapshot();
    }

    private static JobSpec spec(TestSteps steps) {
        return new JobSpec("job", "q", "", List.of(steps.build()), 0, 0, 0, 1_000_000);
    }

    private static TestSteps finite() {
        return TestSteps.of(1, new Resources(1_000, 1_000, 0), 60_000, List.of());
    }

    private static TestSteps standing() {
        return TestSteps.of(1, new Resources(1_000, 1_000, 0), 0, List.of()).serving("serve", 18);
    }

    private static WorkerReport.Running running(int run) {
        return new WorkerReport.Running(TASK, run, "", 100, 5);
    }

    private void report(WorkerRef ref, List<WorkerReport.Running> running) {
        report(ref, false, running);
    }

    private void report(WorkerRef ref, boolean draining, List<WorkerReport.Running> running) {
        if (scheduler.onReport(describe(ref, draining, running), nowMs)) {
            scheduler.onGrantSent(ref.guard(), nowMs);
        }
        decide();
    }

    private WorkerReport describe(WorkerRef ref, boolean draining, List<WorkerReport.Running> running) {
        return new WorkerReport(
                ref,
                FakeWorker.SERVICE,
                "zone",
                new Resources(4_000, 8_000, 0),
                List.of("a", "rack"),
                draining,
                true,
                false,
                running,
                List.of(),
                polls.merge(ref.toString(), 1L, Long::sum));
    }

    private void decide() {
        scheduler.tick(nowMs, nowMs, true);
        immediate.addAll(scheduler.takeImmediateOrders());
        JobBatch batch = scheduler.takeBatch();
        scheduler.onCommitted(batch);
        for (JobOrder order : batch.orders()) {
            if (order instanceof JobOrder.Start start) {
                starts.add(start);
                scheduler.onStartSent(start, nowMs);
            }
        }
    }

    private JobTask task() {
        return registry.find("job").orElseThrow().tasks().get(0);
    }
}
