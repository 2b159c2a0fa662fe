package org.fulmarreach.runtime.log;

import java.util.logging.Level;

/**
 * Kind of a log event. Each module declares its events in an enum that implements this interface; docs/EVENTS.md lists
 * all of them, and a test compares that page with the code.
 */
public interface Event {
    /** Returns the number, unique over all modules. */
    int number();

    /** Returns the name of the constant. */
    String name();

    /** Returns the severity. */
    Level level();

    /** Returns one sentence that says what happened, and for a warning what to do. */
    String description();
}
