package org.fulmarreach.core.jobs;

import org.fulmarreach.core.cost.CallerCost.Prospect;
import org.fulmarreach.core.cost.Claim;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Order of jobs whose result comes too late to be of use, and which callers still wait for. */
class LateJobOrderTest {
    private static final int TOTAL_CORE_MS = 1_000;

    /**
     * Guards against an old job that is passed by each younger one with a smaller remaining part, for as long as these
     * come: such a job had no run at the end of a day, beside free workers.
     */
    @Test
    void jobsThatAreTooLateAreServedInTheOrderOfTheirSubmission() {
        JobUrgency.Rank older = rank(-30_000, 900, 1_000);
        JobUrgency.Rank younger = rank(-20_000, 100, 5_000);
        assertEquals(Prospect.USELESS, older.prospect());
        assertEquals(Prospect.USELESS, younger.prospect());
        assertTrue(older.compareTo(younger) < 0, "the younger job goes first");
        assertTrue(younger.compareTo(older) > 0, "the order is not antisymmetric");
    }

    /** Guards against an order by age among jobs that still lose something by waiting. */
    @Test
    void jobsThatCanBeOnTimeGoByTheirRemainingPart() {
        JobUrgency.Rank older = rank(30_000, 900, 1_000);
        JobUrgency.Rank younger = rank(30_000, 100, 5_000);
        assertTrue(younger.compareTo(older) < 0, "the job with the larger remaining part goes first");
    }

    private static JobUrgency.Rank rank(long uselessInMs, int remainingCoreMs, long acceptedAtMs) {
        Claim claim = new Claim.Finite(2, uselessInMs - 10_000, uselessInMs, 2_000, remainingCoreMs, TOTAL_CORE_MS);
        return new JobUrgency.Rank(claim, false, acceptedAtMs);
    }
}
