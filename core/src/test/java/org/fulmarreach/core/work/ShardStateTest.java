package org.fulmarreach.core.work;

import java.util.List;

import org.fulmarreach.core.model.TaskId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against records that take effect although their writer decided on an outdated state. */
class ShardStateTest {
    private final ShardState state = new ShardState(InvariantCheck.THROWING);
    private long offset;

    @Test
    void claimIsAcceptedOnlyIfItHasSeenTheLastAcceptedRecord() {
        accept(claim("a", -1));
        accept(batch("a", 1, 0, new WorkDecision.Renew(false, false)));
        ignore(claim("b", 0));
        accept(claim("b", 1));
        assertEquals(3, state.term());
        ignore(claim("a", 1));
    }

    @Test
    void recordsOfOldTermsRepeatedBatchesAndResignedLeadersAreIgnored() {
        accept(claim("a", -1));
        accept(claim("b", 0));
        ignore(batch("a", 1, 0, assign(1, null)));
        accept(batch("b", 1, 1, assign(1, null)));
        ignore(batch("b", 1, 1, new WorkDecision.EvictIntent(task(1))));
        accept(batch("b", 2, 1, new WorkDecision.Renew(true, false)));
        ignore(batch("b", 3, 1, new WorkDecision.Renew(false, false)));
        accept(claim("c", state.lastAcceptedOffset()));
        assertTrue(state.predecessors().get(1).resigned());
    }

    @Test
    void assignmentRequiresPendingRunNextEpochAndLatestCheckpoint() {
        accept(claim("a", -1));
        voided(batch("a", 1, 0, assign(2, null)));
        accept(batch("a", 2, 0, assign(1, null)));
        voided(batch("a", 3, 0, assign(2, null)));
        accept(batch("a", 4, 0, new WorkDecision.EvictIntent(task(1))));
        voided(batch("a", 5, 0, new WorkDecision.Stopped(task(2), "x", null)));
        accept(batch("a", 6, 0, new WorkDecision.Stopped(task(1), "c1", null)));
        voided(batch("a", 7, 0, assign(2, null)));
        accept(batch("a", 8, 0, assign(2, "c1")));
        voided(batch("a", 9, 0, assign(2, "c1")));
        voided(batch("a", 10, 0, new WorkDecision.Stopped(task(1), "old", null)));
        accept(batch("a", 11, 0, new WorkDecision.Stopped(task(2), null, "killed")));
        accept(batch("a", 12, 0, assign(3, "c1")));
        accept(batch("a", 13, 0, new WorkDecision.Finished(task(3), true, null)));
        voided(batch("a", 14, 0, assign(4, null)));
    }

    @Test
    void predecessorsAreKeptUntilTheyAreSettled() {
        accept(claim("a", -1));
        accept(claim("b", 0));
        accept(claim("c", 1));
        assertEquals(
                List.of(0L, 1L),
                state.predecessors().stream().map(Predecessor::term).toList());
        accept(batch("c", 1, 2, new WorkDecision.Renew(false, true)));
        assertEquals(List.of(), state.predecessors());
    }

    @Test
    void compactedRunsCannotBeAssignedAgain() {
        accept(claim("a", -1));
        for (long run = 1; run <= 10; run++) {
            TaskId task = new TaskId("job", run, 1);
            accept(batch("a", 2 * run, 0, new WorkDecision.Assign(task, "vm-1", 1, null)));
            accept(batch("a", 2 * run + 1, 0, new WorkDecision.Finished(task, true, null)));
        }
        assertEquals(ShardState.ENDED_RUNS_KEPT, state.entries().size());
        voided(batch("a", 30, 0, new WorkDecision.Assign(new TaskId("job", 3, 1), "vm-1", 1, null)));
    }

    private void accept(WorkBatch batch) {
        ApplyOutcome.Accepted outcome = assertInstanceOf(ApplyOutcome.Accepted.class, state.apply(offset++, batch));
        assertEquals(batch.decisions(), outcome.applied());
    }

    private void voided(WorkBatch batch) {
        ApplyOutcome.Accepted outcome = assertInstanceOf(ApplyOutcome.Accepted.class, state.apply(offset++, batch));
        assertEquals(batch.decisions(), outcome.voided());
    }

    private void ignore(WorkBatch batch) {
        assertInstanceOf(ApplyOutcome.Ignored.class, state.apply(offset++, batch));
    }

    private static WorkBatch claim(String leader, long seenOffset) {
        return new WorkBatch(leader + "/claim", 0, List.of(new WorkDecision.Claim(leader, seenOffset, List.of("w"))));
    }

    private static WorkBatch batch(String leader, long sequence, long term, WorkDecision decision) {
        return new WorkBatch(WorkBatch.constructId(leader, sequence), term, List.of(decision));
    }

    private static WorkDecision assign(long epoch, String checkpoint) {
        return new WorkDecision.Assign(task(epoch), "vm-1", 1, checkpoint);
    }

    private static TaskId task(long epoch) {
        return new TaskId("job", 7, epoch);
    }
}
