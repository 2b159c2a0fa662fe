package org.fulmarreach.core.work;

import org.fulmarreach.core.exc.InvariantViolationException;

/** Checks the invariants of docs/design.md section 1.2 at run time. Implementations are thread-safe. */
@FunctionalInterface
public interface InvariantCheck {
    /** Throws an exception on a violation and does nothing else. */
    InvariantCheck THROWING = (holds, invariant, detail) -> {
        if (!holds) {
            throw new InvariantViolationException(invariant + ": " + detail);
        }
    };

    /**
     * Checks a condition.
     *
     * @param holds whether the invariant holds
     * @param invariant id of the invariant, for example I2
     * @param detail the values involved
     * @throws InvariantViolationException if it does not hold
     */
    void check(boolean holds, String invariant, String detail);
}
