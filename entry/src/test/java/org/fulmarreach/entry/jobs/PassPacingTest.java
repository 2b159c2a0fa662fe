package org.fulmarreach.entry.jobs;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a leader whose passes follow each other without a pause, so that callers and guards must wait. */
class PassPacingTest {
    private final PassPacing pacing = new PassPacing();

    @Test
    void firstPassIsDueAtOnce() {
        assertTrue(pacing.remainingMs(1_000) <= 0);
    }

    /** The decisions of a leader with enough processor time must not change. */
    @Test
    void shortPassesKeepTheMinimumInterval() {
        for (int passMs = 0; passMs <= PassPacing.MIN_INTERVAL_MS / 2; passMs++) {
            pass(1_000, passMs);
            assertEquals(1_000 + PassPacing.MIN_INTERVAL_MS, 1_000 + passMs + pacing.remainingMs(1_000 + passMs));
        }
    }

    /** Passes of 100 ms were started again with the next report. */
    @Test
    void longPassesTakeAtMostHalfOfTheTime() {
        pass(1_000, 100);
        assertEquals(100, pacing.remainingMs(1_100));
        assertTrue(pacing.remainingMs(1_200) <= 0);
    }

    /** A process that stood still for seconds during a pass must not wait for as long again. */
    @Test
    void pauseIsBounded() {
        pass(1_000, 60_000);
        assertEquals(PassPacing.MAX_PAUSE_MS, pacing.remainingMs(61_000));
    }

    /** A message of the pass itself may ask for the next one. */
    @Test
    void nextPassIsNotDueWhileOneIsRunning() {
        pacing.onStarted(1_000);
        assertEquals(PassPacing.MIN_INTERVAL_MS, pacing.remainingMs(1_000));
    }

    private void pass(long startMs, long passMs) {
        pacing.onStarted(startMs);
        pacing.onEnded(startMs + passMs);
    }
}
