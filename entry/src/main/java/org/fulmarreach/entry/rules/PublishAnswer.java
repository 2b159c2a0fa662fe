package org.fulmarreach.entry.rules;

import java.util.List;

import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.rules.RuleFault;

/** Answer to a publish. Immutable. */
public sealed interface PublishAnswer {
    /**
     * The change is in force.
     *
     * @param revision revision that it made
     */
    record Accepted(long revision) implements PublishAnswer {}

    /**
     * Another operator published first.
     *
     * @param revision present revision
     * @param lines present lines
     */
    record Conflict(long revision, List<String> lines) implements PublishAnswer {}

    /**
     * The change is not valid.
     *
     * @param problem kind of the fault
     * @param faults all faults
     */
    record Rejected(Problem problem, List<RuleFault> faults) implements PublishAnswer {}

    /**
     * The outcome is not known; the same publish may be sent again.
     *
     * @param problem why
     */
    record Unavailable(Problem problem) implements PublishAnswer {}
}
