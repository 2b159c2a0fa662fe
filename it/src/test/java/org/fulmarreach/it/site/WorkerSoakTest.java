package org.fulmarreach.it.site;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against tasks that run twice, and jobs that are never completed, while workers start again under their id,
 * refuse connections, and hold orders and polls back, and guards and entries are paused and killed.
 */
class WorkerSoakTest {
    private static final int WORKERS = 5;
    private static final int FAULTS_MS = 15_000;

    @Test
    void noTaskRunsTwiceWhileWorkersGuardsAndEntriesFail() {
        assertEquals(0, WorkerSoakMain.run(System.out, 1, FAULTS_MS, WORKERS));
    }
}
