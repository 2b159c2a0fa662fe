package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * The checkpoints that the members of a gang start from. A gang whose members carry different ones never begins: each
 * of its runs ends alone, and the next one starts from the same values. Played with explicit reports; the order of the
 * checkpoints as strings is the reverse of their age, so that it does not help.
 */
class GangCheckpointTest {
    private static final JobConfig CONFIG = new JobConfig(
            1, List.of(new JobQueue("q", "h", "/q/", FakeWorker.SERVICE, 0, 2, 3_000, 400, 1.5)), 1_000_000);
    private static final JobTimeLimits LIMITS = new JobTimeLimits(6_000, 120_000, 3_000, 900);
    private static final String OLDER = "f3";
    private static final String NEWER = "a7";
    private static final String NEWEST = "11";
    private static final String ID = "job";
    private static final long REPORT_MS = 500;
    private static final int MEMBERS = 3;

    private final List<JobOrder.Start> starts = new ArrayList<>();
    private JobRegistry registry;
    private JobScheduler scheduler;
    private JobSnapshot stored;
    private long nowMs = 1_000_000;
    private long pollNumber;

    @BeforeEach
    void startFirstLeader() {
        startLeader(new JobRegistry());
    }

    /** The member of a crashed worker kept the checkpoint that was last listed, the others had that of their end. */
    @Test
    void membersStartFromTheNewestCheckpointAfterACrash() {
        for (int crashed = 0; crashed < MEMBERS; crashed++) {
            startLeader(new JobRegistry());
            submitGang();
            listAll(1, OLDER);
            crash(crashed, NEWER);
            assertEquals(Set.of(NEWER), checkpointsOf(2), "member " + crashed + " crashed");
        }
    }

    /** Guards against a member that keeps the value which it started from and hides the progress made since. */
    @Test
    void checkpointOfALaterRunIsPreferredToThatOfItsStart() {
        for (int ahead = 0; ahead < MEMBERS; ahead++) {
            startLeader(new JobRegistry());
            submitGang();
            listAll(1, OLDER);
            crash(0, NEWER);
            listAll(2, NEWER);
            report(worker(ahead), List.of(running(ahead, 2, NEWEST)), List.of());
            crash((ahead + 1) % MEMBERS, "");
            assertEquals(Set.of(NEWEST), checkpointsOf(3), "member " + ahead + " was ahead");
        }
    }

    /** The members of one run wait for each other, so a repeated start must not differ from the starts before it. */
    @Test
    void repeatedStartCarriesTheSameCheckpoint() {
        submitGang();
        listAll(1, OLDER);
        crash(0, NEWER);
        starts.clear();
        repeatStartOfFirstMember(2);
        assertEquals(Set.of(NEWER), checkpointsOf(2));
    }

    /** As before, but the new leader knows only what the former one has stored. */
    @Test
    void startThatANewLeaderRepeatsCarriesTheSameCheckpoint() {
        submitGang();
        listAll(1, OLDER);
        crash(0, NEWER);
        changeLeader();
        repeatStartOfFirstMember(2);
        assertEquals(Set.of(NEWER), checkpointsOf(2));
    }

    /** A leader that ended between the crash and the placement has stored different values, or none for a member. */
    @Test
    void gangThatWasStoredWithDifferentCheckpointsStartsFromOne() {
        submitGang();
        stored = new JobSnapshot(
                List.of(
                        new TaskState(TaskPhase.PENDING, 1, worker(0), 0, ""),
                        new TaskState(TaskPhase.PENDING, 1, worker(1), 0, OLDER),
                        new TaskState(TaskPhase.PENDING, 1, worker(2), 0, NEWER)),
                0,
                true);
        changeLeader();
        for (int guard = 0; guard < MEMBERS; guard++) {
            report(new WorkerRef("guard-" + guard, "worker-" + guard, 1), List.of(), List.of());
        }
        Set<String> checkpoints = checkpointsOf(2);
        assertEquals(1, checkpoints.size(), "checkpoints " + checkpoints);
        assertTrue(Set.of(OLDER, NEWER).containsAll(checkpoints), "the gang begins anew although it has progress");
    }

    /** Guards against a checkpoint that is shared by tasks which work on their own: it is not valid for the others. */
    @Test
    void tasksThatAreNoGangKeepTheirOwnCheckpoints() {
        place(TestSteps.of(MEMBERS, new Resources(3_000, 1_000, 0), 500, List.of()));
        for (int index = 0; index < MEMBERS; index++) {
            String checkpoint = List.of(OLDER, NEWER, NEWEST).get(index);
            report(worker(index), List.of(running(index, 1, checkpoint)), List.of());
        }
        for (int index = 0; index < MEMBERS; index++) {
            WorkerRef ref = worker(index);
            report(ref, List.of(), List.of(end(index, 1, RunEnd.STOPPED, "")));
        }
        assertEquals(Set.of(OLDER, NEWER, NEWEST), checkpointsOf(2));
    }

    /*
     * Helpers
     */

    private void startLeader(JobRegistry jobs) {
        starts.clear();
        registry = jobs;
        scheduler = new JobScheduler(registry, CONFIG, LIMITS, OverdueCheck.LOG, nowMs);
    }

    private void submitGang() {
        place(TestSteps.of(MEMBERS, new Resources(3_000, 1_000, 0), 500, List.of())
                .gang());
    }

    /** Submits a job whose tasks get a worker each. */
    private void place(TestSteps steps) {
        for (int guard = 0; guard < MEMBERS; guard++) {
            report(new WorkerRef("guard-" + guard, "worker-" + guard, 1), List.of(), List.of());
        }
        registry.submit(new JobSpec(ID, "q", "", List.of(steps.build()), 0, 0, 0, nowMs));
        scheduler.activate(registry.find(ID).orElseThrow(), nowMs);
        decide();
    }

    private void listAll(int run, String checkpoint) {
        for (int index = 0; index < MEMBERS; index++) {
            report(worker(index), List.of(running(index, run, checkpoint)), List.of());
        }
    }

    /** Replaces the worker of a member by another one in the same place, and ends the other members as broken. */
    private void crash(int crashed, String checkpointOfTheOthers) {
        int run = task(crashed).state().run();
        for (int index = 0; index < MEMBERS; index++) {
            if (index != crashed) {
                report(worker(index), List.of(), List.of(end(index, run, RunEnd.BROKEN, checkpointOfTheOthers)));
            }
        }
        WorkerRef ref = worker(crashed);
        report(new WorkerRef(ref.guard(), ref.id() + "'", ref.startedAtMs() + 1), List.of(), List.of());
        assertEquals(run + 1, task(crashed).state().run(), "the gang was not placed again");
    }

    /** Lists the runs of all members but the first, until the start of the first one is repeated. */
    private void repeatStartOfFirstMember(int run) {
        for (int i = 0; i < 3; i++) {
            for (int index = 1; index < MEMBERS; index++) {
                report(worker(index), List.of(running(index, run, "")), List.of());
            }
            report(worker(0), List.of(), List.of());
        }
    }

    private void changeLeader() {
        JobRegistry restored = new JobRegistry();
        restored.submit(registry.find(ID).orElseThrow().spec());
        restored.restore(ID, stored);
        startLeader(restored);
    }

    /** Returns the checkpoints of the starts of one run. */
    private Set<String> checkpointsOf(int run) {
        return starts.stream()
                .filter(start -> start.run() == run)
                .map(JobOrder.Start::checkpoint)
                .collect(Collectors.toSet());
    }

    private JobTask task(int index) {
        return registry.find(ID).orElseThrow().tasks().get(index);
    }

    private WorkerRef worker(int index) {
        return task(index).state().worker();
    }

    private static WorkerReport.Running running(int index, int run, String checkpoint) {
        return new WorkerReport.Running(ID + ".0.0." + index, run, checkpoint, 10 * run, 1_000);
    }

    private WorkerReport.Ended end(int index, int run, RunEnd how, String checkpoint) {
        return new WorkerReport.Ended(pollNumber, ID + ".0.0." + index, run, how, checkpoint);
    }

    private void report(WorkerRef ref, List<WorkerReport.Running> running, List<WorkerReport.Ended> ended) {
        nowMs += REPORT_MS;
        pollNumber++;
        scheduler.onReport(
                new WorkerReport(
                        ref,
                        FakeWorker.SERVICE,
                        "zone",
                        new Resources(4_000, 8_000, 0),
                        List.of("a", "rack"),
                        false,
                        true,
                        false,
                        running,
                        ended,
                        pollNumber),
                nowMs);
        scheduler.onGrantSent(ref.guard(), nowMs);
        decide();
    }

    private void decide() {
        scheduler.tick(nowMs, nowMs, true);
        scheduler.takeImmediateOrders();
        JobBatch batch = scheduler.takeBatch();
        scheduler.onCommitted(batch);
        batch.progress().values().forEach(change -> stored = change.snapshot());
        for (JobOrder order : batch.orders()) {
            if (order instanceof JobOrder.Start start) {
                starts.add(start);
                scheduler.onStartSent(start, nowMs);
            }
        }
    }
}
