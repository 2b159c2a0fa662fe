package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.rules.ParseResult;
import org.fulmarreach.core.rules.Rules;
import org.fulmarreach.core.rules.RulesParser;
import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against readers that compute different states from one log, and against wrong handling of cancellations,
 * failures, rule changes and planned stops.
 */
class ShardPolicyTest {
    private static final RunKey STANDING = new RunKey("packer-sync", RunKey.STANDING);

    @Property(seed = "51", tries = 20)
    void readerOfTruncatedLogAgreesWithReaderOfWholeLog(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        RegionSimulation simulation = new RegionSimulation(seed, WorkTimes.DEFAULT.withRetentionMs(40_000));
        simulation.lostAnswers = 0.4;
        simulation.slowAppends = 0.3;
        for (int i = 0; i < 6; i++) {
            simulation.run(20_000);
            List<FakeEntry> entries = List.copyOf(simulation.entries.values());
            entries.get((int) ((seed + i) % 3)).restart();
            simulation.guards.get("vm-" + (seed + i) % 6).restart();
        }
        ShardState whole = read(simulation.log.records, 0);
        int synchronizedReaders = 0;
        for (int first = 1; first < simulation.log.records.size(); first++) {
            ShardState truncated = read(simulation.log.records, first);
            if (truncated.isSynchronized()) {
                synchronizedReaders++;
                assertEquals(whole.constructSnapshot(), truncated.constructSnapshot(), "from " + first);
                assertEquals(whole.lastSequence(), truncated.lastSequence(), "from " + first);
            }
        }
        assertTrue(synchronizedReaders > 20, "readers that became synchronized: " + synchronizedReaders);
    }

    @Test
    void snapshotIsUsedOnlyWithAllLaterRecords() {
        WorkDecision.Assign assign = new WorkDecision.Assign(new TaskId(STANDING.work(), 0, 1), "vm-1", 1, null);
        ShardState state = new ShardState(InvariantCheck.THROWING);
        List<WorkBatch> log = new ArrayList<>();
        log.add(new WorkBatch("a/claim-1", 0, List.of(new WorkDecision.Claim("a/1", -1, List.of("b")))));
        log.add(new WorkBatch("a/1#1", 0, List.of(assign)));
        for (int i = 0; i < log.size(); i++) {
            state.apply(i, log.get(i));
        }
        WorkBatch snapshot = new WorkBatch("a/1#2", 0, List.of(state.constructSnapshot()));
        WorkDecision cancelled = new WorkDecision.Cancelled(STANDING.work(), 0, "rule");
        log.add(new WorkBatch("b/cancel-1", -1, List.of(cancelled)));
        log.add(snapshot);
        assertEquals(WorkPhase.CANCELLED, read(log, 2).find(STANDING).phase());
        assertEquals(read(log, 0).constructSnapshot(), read(log, 2).constructSnapshot());
        assertFalse(read(log, 3).isSynchronized(), "a reader that misses the cancellation must not be synchronized");
    }

    @Test
    void quotaDelaysWorkAndUnplaceableWorkIsReportedEarly() {
        RegionSimulation simulation = new RegionSimulation(6, WorkTimes.DEFAULT);
        changeRules(simulation, """
                quota cores=2 memory=8G tasks=2 # m: x
                standing one region=sued cores=1 memory=1G # m: x
                standing two region=sued cores=1 memory=1G # m: x
                standing three region=sued cores=1 memory=1G # m: x
                batch giant region=sued every=1h at=30m within=20m runtime=1m cores=99 memory=1G # n: y
                batch late region=sued every=10m at=0s within=2m runtime=90s cores=1 memory=1G # n: y
                """);
        simulation.run(30_000);
        FakeEntry leader = simulation.findLeader();
        List<String> reasons = leader.leader.listRuns(simulation.wallMs()).stream()
                .map(run -> run.key().work() + " " + run.phase() + " "
                        + run.reason().replaceAll("in \\d+ s", "in N s"))
                .toList();
        long running = reasons.stream()
                .filter(reason -> reason.contains("ASSIGNED runs"))
                .count();
        assertEquals(2, running, "runs within the quota: " + reasons);
        assertTrue(reasons.stream().anyMatch(r -> r.contains("waits for the quota of m: 2 tasks")), reasons::toString);
        assertTrue(
                reasons.stream().anyMatch(r -> r.contains("starts in N s, but fits on no reachable VM: needs 99.0")),
                reasons::toString);
        List<String> warned = leader.notices.stream()
                .filter(notice -> notice.notice() == WorkNotice.DEADLINE_AT_RISK)
                .map(Action.Notify::detail)
                .toList();
        assertTrue(warned.stream().anyMatch(w -> w.contains("giant")), warned::toString);
        assertTrue(warned.stream().anyMatch(w -> w.contains("late") && w.contains("cannot meet")), warned::toString);
    }

    @Test
    void workThatAlwaysFailsIsStartedOnAtMostThreeVms() {
        RegionSimulation simulation = new RegionSimulation(1, WorkTimes.DEFAULT);
        simulation.guards.values().forEach(guard -> guard.failsStarts = true);
        simulation.run(120_000);
        WorkEntry entry = state(simulation).find(STANDING);
        assertEquals(WorkPhase.QUARANTINED, entry.phase());
        assertEquals(ShardState.QUARANTINE_VMS, entry.task().epoch(), "starts");
    }

    @Test
    void refusingVmIsAvoidedTemporarily() {
        RegionSimulation simulation = new RegionSimulation(7, WorkTimes.DEFAULT);
        List.of("vm-0", "vm-1", "vm-2", "vm-3", "vm-4").forEach(vm -> simulation.guards.get(vm).refusesStarts = true);
        simulation.run(15_000);
        assertEquals("vm-5", simulation.findVm(STANDING.work()));
        assertTrue(state(simulation).find(STANDING).task().epoch() <= 6, "at most one start on each VM");
    }

    @Test
    void failingWorkerGetsAtMostOnePercentOfTheStarts() {
        RegionSimulation simulation = new RegionSimulation(2, WorkTimes.DEFAULT);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 60; i++) {
            text.append("batch job-" + i + " region=sued every=1m at=" + i
                    + "s within=55s runtime=5s cores=1 memory=1G # m: x\n");
        }
        changeRules(simulation, text.toString());
        // Each VM has capacity for one task, so that the failing VM is often the only one with free resources.
        simulation.guards.values().forEach(guard -> {
            guard.batchMs = 5_000;
            guard.setCapacity(new Resources(2_000, 64_000, 0));
        });
        simulation.run(60_000);
        simulation.guards.get("vm-3").failsStarts = true;
        simulation.run(30_000);
        int startsBefore = simulation.starts.size();
        int failuresBefore = simulation.failedStarts;
        simulation.run(600_000);
        int starts = simulation.starts.size() - startsBefore;
        int failures = simulation.failedStarts - failuresBefore;
        assertTrue(starts > 400, "starts: " + starts);
        assertTrue(failures * 100 <= starts, failures + " of " + starts + " starts failed");
    }

    @Test
    void cancelledStandingWorkStopsUntilItsRuleChanges() {
        RegionSimulation simulation = new RegionSimulation(3, WorkTimes.DEFAULT);
        simulation.run(20_000);
        FakeEntry follower = simulation.entries.values().stream()
                .filter(entry -> !entry.leader.isLeading())
                .findFirst()
                .orElseThrow();
        follower.leader.cancel(7, STANDING.work());
        simulation.run(10_000);
        Action.CancelAnswer answer = assertInstanceOf(Action.CancelAnswer.class, follower.answers.get(0));
        assertInstanceOf(Result.Ok.class, answer.result());
        assertNull(simulation.findVm(STANDING.work()), "cancelled work runs");
        simulation.run(60_000);
        assertNull(simulation.findVm(STANDING.work()), "cancelled work was started again");
        changeRules(simulation, RegionSimulation.RULES.replace("cores=1", "cores=2"));
        simulation.run(10_000);
        assertEquals(2, state(simulation).find(STANDING).task().epoch());
        assertTrue(simulation.findVm(STANDING.work()) != null, "work with a changed rule runs");
    }

    @Test
    void standingWorkStopsWithItsRule() {
        RegionSimulation simulation = new RegionSimulation(4, WorkTimes.DEFAULT);
        simulation.run(30_000);
        changeRules(simulation, RegionSimulation.RULES.lines().skip(1).reduce("", (all, line) -> all + line + "\n"));
        simulation.run(20_000);
        assertNull(simulation.findVm(STANDING.work()), "work without a rule runs");
        assertTrue(simulation.findVm("watch") != null, "other work continues");
    }

    @Test
    void plannedStopOfLeaderStopsNoTask() {
        RegionSimulation simulation = new RegionSimulation(5, WorkTimes.DEFAULT);
        simulation.run(30_000);
        FakeEntry oldLeader = simulation.findLeader();
        oldLeader.leader.resign();
        simulation.run(1_000);
        assertInstanceOf(Action.Resigned.class, oldLeader.answers.get(0));
        simulation.run(10_000);
        assertTrue(
                simulation.findLeader() != null && simulation.findLeader() != oldLeader,
                "no other entry became leader");
        assertEquals(1, state(simulation).find(STANDING).task().epoch());
    }

    private static void changeRules(RegionSimulation simulation, String text) {
        Rules rules = ((ParseResult.Parsed) RulesParser.parse(text.lines().toList())).rules();
        simulation.entries.values().forEach(entry -> entry.leader.onRules(rules));
    }

    private static ShardState state(RegionSimulation simulation) {
        return simulation.findLeader().leader.state();
    }

    private static ShardState read(List<WorkBatch> log, int first) {
        ShardState state = new ShardState(InvariantCheck.THROWING);
        state.restartAt(first);
        for (int i = first; i < log.size(); i++) {
            state.apply(i, log.get(i));
        }
        return state;
    }
}
