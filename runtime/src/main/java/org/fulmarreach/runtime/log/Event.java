package org.fulmarreach.runtime.log;

import java.util.logging.Level;

/**
 * Kind of a log event. Each module has an enum of its own that implements this; docs/EVENTS.md lists all of them and a
 * test holds the page against the code.
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
