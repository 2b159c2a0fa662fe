package org.fulmarreach.guard.jobs;

import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.guard.jobs.WorkerDescription.Effect;
import org.fulmarreach.platform.worker.WorkerHeartbeat;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Heartbeats that contradict one another, of which some are late or come from other writers. */
class WorkerDescriptionTest {
    private static final WorkerHeartbeat FIRST =
            new WorkerHeartbeat("w", 1_000, "s", "z", new Resources(4_000, 8_000, 0), List.of("a"), false, 10);
    private static final Resources HALF = new Resources(2_000, 4_000, 0);
    private static final long INTERVAL_MS = 1_100;

    private final WorkerDescription description = new WorkerDescription();
    private long nowMs = 1_000_000;

    @BeforeEach
    void begin() {
        description.begin(FIRST);
    }

    /** Starts were sent to a worker that drained, since heartbeats that had been delayed came after that one. */
    @Test
    void lateHeartbeatsDoNotEndTheDraining() {
        assertEquals(Effect.CHANGED, receive(FIRST.withDraining(true).withSequence(14)));
        for (int sequence = 11; sequence <= 13; sequence++) {
            assertEquals(Effect.IGNORED, description.update(FIRST.withSequence(sequence), nowMs));
        }
        assertTrue(description.known().draining());
    }

    /** A heartbeat that another writer had sent kept the worker out of use. */
    @Test
    void heartbeatsThatSayTheSameForAWhileReplaceWhatWasKnown() {
        receive(FIRST.withDraining(true).withSequence(1L << 50));
        assertEquals(Effect.IGNORED, receive(FIRST.withSequence(11)));
        assertEquals(Effect.IGNORED, receive(FIRST.withSequence(12)));
        assertEquals(Effect.CHANGED, receive(FIRST.withSequence(13)));
        assertFalse(description.known().draining());
    }

    /** Guards against any three heartbeats in a row that replace what was known although no two of them agree. */
    @Test
    void heartbeatsThatContradictOneAnotherReplaceNothing() {
        receive(FIRST.withDraining(true).withSequence(100));
        for (int sequence = 11; sequence < 20; sequence += 2) {
            assertEquals(Effect.IGNORED, receive(FIRST.withSequence(sequence)));
            assertEquals(Effect.IGNORED, receive(FIRST.withCapacity(HALF).withSequence(sequence + 1)));
        }
        assertTrue(description.known().draining());
    }

    /** A start by the former capacity breaks the limit of a worker that does not guard it. */
    @Test
    void lessRoomCountsAtOnceAndMoreIsConfirmedFirst() {
        assertEquals(Effect.CHANGED, receive(FIRST.withCapacity(HALF).withSequence(11)));
        assertEquals(HALF, description.known().capacity());
        assertEquals(Effect.IGNORED, receive(FIRST.withSequence(12)));
        assertEquals(HALF, description.known().capacity());
        receive(FIRST.withSequence(13));
        assertEquals(Effect.CHANGED, receive(FIRST.withSequence(14)));
        assertEquals(FIRST.capacity(), description.known().capacity());
    }

    /** Guards against a worker that is taken for a smaller one by a heartbeat that was delayed. */
    @Test
    void lateHeartbeatWithLessRoomDoesNotCount() {
        assertEquals(Effect.IGNORED, receive(FIRST.withCapacity(HALF).withSequence(9)));
        assertEquals(FIRST.capacity(), description.known().capacity());
    }

    private Effect receive(WorkerHeartbeat heartbeat) {
        nowMs += INTERVAL_MS;
        return description.update(heartbeat, nowMs);
    }
}
