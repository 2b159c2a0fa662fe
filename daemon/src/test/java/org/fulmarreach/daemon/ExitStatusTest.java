package org.fulmarreach.daemon;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** A process whose part had failed ended with status 0, since the drain in its shutdown hook succeeded. */
class ExitStatusTest {
    private final ExitStatus status = new ExitStatus();

    @Test
    void failureIsKeptAfterASuccessfulDrain() {
        status.recordFailure();
        assertEquals(1, status.resolve(0));
    }

    /** Parts that stopped in the course of a drain counted as failed, so that a planned stop ended with status 1. */
    @Test
    void partThatStopsDuringTheDrainHasNotFailed() {
        status.beginDrain();
        status.recordFailure();
        assertEquals(0, status.resolve(0));
    }

    @Test
    void statusOfTheDrainIsUsedWithoutAFailure() {
        assertEquals(0, status.resolve(0));
        assertEquals(2, status.resolve(2));
    }
}
