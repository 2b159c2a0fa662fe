package org.fulmarreach.daemon;

import java.util.logging.LogManager;

/**
 * Log manager that keeps its handlers while shutdown hooks run. The default one removes them at the start of the
 * shutdown, so the events of a planned stop would be lost.
 */
public final class DrainLogManager extends LogManager {
    @Override
    public void reset() {
        // Handlers stay until the process ends.
    }
}
