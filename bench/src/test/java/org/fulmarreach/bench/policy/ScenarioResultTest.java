package org.fulmarreach.bench.policy;

import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against results that one seed does not reproduce, and against calls that are lost or counted twice. */
class ScenarioResultTest {
    private static final Scenario SHORT = new Scenario(
            "short",
            Site.KREIDEKISTE,
            Scenario.WARM_UP_MS + 60_000,
            (nowMs, home) -> home ? 0.9 : 0.3,
            new WorkMix(0.6, 0.2, 5, 0.02, 60_000),
            5_000,
            30_000,
            simulation -> simulation.timeline.at(130_000, () -> simulation.loseVm(simulation.findVm("vm-1"))),
            Set.of());

    @Test
    void sameSeedGivesTheSameFigures() {
        String first = ScenarioResult.simulate(SHORT, Policy.FULMARREACH, 3).toCsv();
        assertEquals(
                first, ScenarioResult.simulate(SHORT, Policy.FULMARREACH, 3).toCsv());
        assertNotEquals(
                first, ScenarioResult.simulate(SHORT, Policy.FULMARREACH, 4).toCsv());
    }

    @Test
    void callsEndOnceAndKeepToTheSlots() {
        Measures measures =
                ScenarioResult.simulate(SHORT, Policy.FULMARREACH, 3).measures();
        long ended = measures.inTime + measures.late + measures.refused + measures.failed;
        assertTrue(measures.offered > 10_000 && measures.starts > 50, "offered " + measures.offered);
        assertTrue(ended <= measures.offered, "outcomes " + ended + ", offered " + measures.offered);
        assertTrue(
                measures.offered - ended <= Site.SLOTS * 5, "calls without an outcome: " + (measures.offered - ended));
        assertTrue(measures.maxCallsOnVm <= Site.SLOTS, "calls on a VM: " + measures.maxCallsOnVm);
    }
}
