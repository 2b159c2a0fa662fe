package org.fulmarreach.runtime.util;

import org.fulmarreach.core.exc.InvariantViolationException;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.log.RuntimeEvent;

import io.micrometer.core.instrument.MeterRegistry;

/**
 * Checks invariants at run time. A violation is logged as event 9001, counted per invariant in
 * {@code fulmarreach_invariant_violations_total}, and thrown as an exception that stops the component that detected it.
 * Thread-safe.
 */
public final class Invariants {
    private final MeterRegistry meters;
    private final EventLog log;

    /** Constructs the checks of one process. */
    public Invariants(MeterRegistry meters, EventLog log) {
        this.meters = meters;
        this.log = log;
    }

    /**
     * Checks a condition.
     *
     * @param holds whether the invariant holds
     * @param invariant id of the invariant, I1 to I14 as in docs/design.md
     * @param detail the values involved
     * @throws InvariantViolationException if it does not hold
     */
    public void check(boolean holds, String invariant, String detail) {
        if (holds) {
            return;
        }
        meters.counter("fulmarreach.invariant.violations", "invariant", invariant)
                .increment();
        log.emit(RuntimeEvent.INVARIANT_VIOLATED, "invariant", invariant, "detail", detail);
        throw new InvariantViolationException(invariant + ": " + detail);
    }
}
