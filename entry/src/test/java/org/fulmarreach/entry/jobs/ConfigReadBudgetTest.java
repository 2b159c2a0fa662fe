package org.fulmarreach.entry.jobs;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against time limits that are right each for itself and longer together than {@code config_apply_ms}. */
class ConfigReadBudgetTest {
    @ParameterizedTest
    @ValueSource(ints = {500, 1_000, 1_500, 2_500, 4_000, 8_000, 12_000})
    void lostReadAndTheNextOneFitTheBound(int applyMs) {
        ConfigReadBudget budget = new ConfigReadBudget(applyMs);
        LogTail.Times times = budget.times();
        int restMs = LogTail.SILENT_PAUSE_MS + budget.lastReadMs() + budget.activationMs();
        int waitingMs = times.waitMs() + times.retry().overdueMs() + restMs;
        int loadMs = times.retry().maxLoadSilenceMs() + restMs;
        int refusedMs = times.retry().maxPauseMs() + budget.lastReadMs() + budget.activationMs();
        assertTrue(waitingMs <= applyMs, () -> "a waiting read: " + waitingMs);
        assertTrue(loadMs <= applyMs, () -> "a load: " + loadMs);
        assertTrue(refusedMs <= applyMs, () -> "a read that is refused: " + refusedMs);
    }

    /** The larger sites have the same number of reads in calm as a wait of 2 s, the longest one of the client. */
    @Test
    void waitIsNoShorterThanTheBoundRequires() {
        assertEquals(2_000, new ConfigReadBudget(4_000).times().waitMs());
    }
}
