package org.fulmarreach.core.overload;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import org.fulmarreach.core.cost.Claim;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a refusal of a job that the pool would serve in time, and against one without a measured cause. */
class AdmissionGateTest {
    private static final String SERVICE = "render";
    private static final long ROOM_MILLI_CORES = 100_000;
    private static final long PATH_MS = 2_000;

    /** Target of 4 s, so that a result is of no use after 12 s and the last useful start is after 10 s. */
    private static final Claim.Finite CLAIM = new Claim.Finite(1, 4_000, 12_000, PATH_MS, 10_000, 10_000);

    private static final AdmissionRequest REQUEST =
            new AdmissionRequest("5c0e7a21d94b36f8", SERVICE, WorkKind.RESERVING, CLAIM);

    @Test
    void jobIsAcceptedWithoutAShortage() {
        assertInstanceOf(AdmissionDecision.Accept.class, AdmissionGate.decide(REQUEST, PoolLoad.NO_SHORTAGE, 0));
    }

    @Test
    void jobIsRefusedIfTheWorkOfHigherPriorityTakesTooLong() {
        AdmissionDecision.Refuse refuse =
                assertInstanceOf(AdmissionDecision.Refuse.class, decide(backlog(0, RankClass.LATE, 21_000), 0));
        assertEquals(21_000, refuse.expectedStartMs());
        assertEquals(10_000, refuse.latestStartMs());
        assertTrue(refuse.reason().contains("too little room"), refuse.reason());
    }

    /** A margin covers the error of estimates: the last useful start is after 10 s. */
    @Test
    void jobIsAcceptedIfTheWorkAheadTakesABitTooLong() {
        assertInstanceOf(AdmissionDecision.Accept.class, decide(backlog(0, RankClass.ON_TIME, 19_900), 0));
    }

    /** An entry that has had no record for 5 s knows nothing of the pool: the burst may be over. */
    @Test
    void jobIsAcceptedIfTheLoadIsFiveSecondsOld() {
        PoolLoad.Backlog hour = backlog(0, RankClass.ON_TIME, 3_600_000);
        assertInstanceOf(AdmissionDecision.Accept.class, decide(hour, 5_000));
        assertInstanceOf(AdmissionDecision.Refuse.class, decide(hour, 1_900));
    }

    /** Late jobs go behind one that can still be on time, so they are no reason to refuse it. */
    @Test
    void lateJobsDoNotCountForAJobThatStartsBeforeThem() {
        PoolLoad.Backlog late = backlog(1, RankClass.LATE, 600_000);
        assertInstanceOf(AdmissionDecision.Accept.class, decide(late, 0));
        assertInstanceOf(
                AdmissionDecision.Refuse.class, decide(List.of(backlog(1, RankClass.ON_TIME, 5_000), late), 0));
    }

    @Test
    void uselessJobsAndLowerPrioritiesDoNotCount() {
        assertInstanceOf(AdmissionDecision.Accept.class, decide(backlog(0, RankClass.USELESS, 600_000), 0));
        assertInstanceOf(AdmissionDecision.Accept.class, decide(backlog(2, RankClass.ON_TIME, 600_000), 0));
    }

    /** Tasks that take less time than estimated make the backlog look longer than it is. */
    @Test
    void backlogIsDividedByTheMeasuredThroughputIfThatIsHigher() {
        PoolLoad.KindLoad fast = new PoolLoad.KindLoad(
                ROOM_MILLI_CORES, 0, 4 * ROOM_MILLI_CORES, List.of(backlog(0, RankClass.ON_TIME, 40_000)));
        assertInstanceOf(AdmissionDecision.Accept.class, AdmissionGate.decide(REQUEST, load(fast), 0));
    }

    /** A queue whose target is shorter than the estimated work was served before, whatever its settings say. */
    @Test
    void jobThatIsLateByItsOwnEstimateIsNotRefused() {
        Claim.Finite hopeless = new Claim.Finite(1, 100, 300, PATH_MS, 10_000, 10_000);
        AdmissionRequest request = new AdmissionRequest("a", SERVICE, WorkKind.RESERVING, hopeless);
        PoolLoad.KindLoad busy =
                new PoolLoad.KindLoad(ROOM_MILLI_CORES, 0, 0, List.of(backlog(0, RankClass.ON_TIME, 600_000)));
        assertInstanceOf(AdmissionDecision.Accept.class, AdmissionGate.decide(request, load(busy), 0));
    }

    /** Callers that are refused together must not return together, and not all in the same second. */
    @Test
    void retryTimesAreSpreadAndBounded() {
        Random random = new Random(1);
        for (long excessMs : new long[] {-5_000, 0, 4_000, 60_000, Long.MAX_VALUE / 4}) {
            Set<Long> seconds = new TreeSet<>();
            for (int i = 0; i < 200; i++) {
                String id = String.format("%016x", random.nextLong());
                long retryMs = AdmissionGate.retryAfterMs(id, excessMs);
                assertTrue(
                        retryMs >= AdmissionGate.MIN_RETRY_MS && retryMs <= AdmissionGate.MAX_RETRY_MS,
                        () -> retryMs + " ms after an excess of " + excessMs);
                assertEquals(retryMs, AdmissionGate.retryAfterMs(id, excessMs), "the same id gets the same time");
                seconds.add(Math.round(retryMs / 1_000.0));
            }
            assertTrue(seconds.size() >= 2, () -> "seconds after an excess of " + excessMs + " ms: " + seconds);
        }
    }

    /** More work ahead, or an older load, never turns the decision the wrong way round. */
    @Test
    void decisionIsMonotonous() {
        Random random = new Random(7);
        for (int i = 0; i < 2_000; i++) {
            RankClass rankClass = RankClass.values()[random.nextInt(3)];
            int priority = random.nextInt(3);
            long waitMs = random.nextInt(40_000);
            boolean refused = decide(backlog(priority, rankClass, waitMs), 0) instanceof AdmissionDecision.Refuse;
            boolean refusedWithMore =
                    decide(backlog(priority, rankClass, 2 * waitMs), 0) instanceof AdmissionDecision.Refuse;
            boolean refusedLater =
                    decide(backlog(priority, rankClass, waitMs), 1_500) instanceof AdmissionDecision.Refuse;
            assertTrue(!refused || refusedWithMore, "refused with less work ahead only");
            assertTrue(refused || !refusedLater, "refused by an older load only");
        }
    }

    /*
     * Helpers
     */

    /** Returns a backlog that takes the whole room for a time. */
    private static PoolLoad.Backlog backlog(int priority, RankClass rankClass, long waitMs) {
        return new PoolLoad.Backlog(priority, rankClass, waitMs * ROOM_MILLI_CORES / 1_000);
    }

    private static AdmissionDecision decide(PoolLoad.Backlog backlog, long ageMs) {
        return decide(List.of(backlog), ageMs);
    }

    private static AdmissionDecision decide(List<PoolLoad.Backlog> backlogs, long ageMs) {
        return AdmissionGate.decide(REQUEST, load(new PoolLoad.KindLoad(ROOM_MILLI_CORES, 0, 0, backlogs)), ageMs);
    }

    private static PoolLoad load(PoolLoad.KindLoad reserving) {
        PoolLoad.KindLoad none = new PoolLoad.KindLoad(ROOM_MILLI_CORES, 0, 0, List.of());
        return new PoolLoad(List.of(new PoolLoad.ServiceLoad(SERVICE, 7, reserving, none)));
    }
}
