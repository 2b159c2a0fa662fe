package org.fulmarreach.guard.jobs;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** What a guard concludes from polls that fail. */
class WorkerContactTest {
    /** A guard that was paused after two refused connections reported the worker as crashed when it went on. */
    @Test
    void timeOfASuspensionDoesNotCountAsRefused() {
        WorkerContact contact = new WorkerContact();
        contact.onFailed(true, 1_000);
        contact.onFailed(true, 1_060);
        assertEquals(60, contact.refusedForMs());
        contact.onFailed(false, 6_260);
        assertEquals(0, contact.refusedForMs());
    }
}
