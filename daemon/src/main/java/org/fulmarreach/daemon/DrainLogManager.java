package org.fulmarreach.daemon;

import java.util.logging.LogManager;

/**
 * Log manager that keeps its handlers while shutdown hooks run. The default one removes them when the shutdown begins,
 * so the events logged during a drain would be lost.
 */
public final class DrainLogManager extends LogManager {
    @Override
    public void reset() {
        // The handlers are kept until the process ends.
    }
}
