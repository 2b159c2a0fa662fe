package org.fulmarreach.entry.rules;

import java.util.List;

import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.rules.RuleFault;

/** Answer to a publish request. Immutable. */
public sealed interface PublishAnswer {
    /**
     * The publish was accepted and is in force.
     *
     * @param revision revision that it created
     */
    record Accepted(long revision) implements PublishAnswer {}

    /**
     * The publish is based on an outdated revision.
     *
     * @param revision current revision
     * @param lines current lines
     */
    record Conflict(long revision, List<String> lines) implements PublishAnswer {}

    /**
     * The publish is invalid.
     *
     * @param problem error code and summary
     * @param faults all faults
     */
    record Rejected(Problem problem, List<RuleFault> faults) implements PublishAnswer {}

    /**
     * The outcome is unknown; the same publish may be sent again.
     *
     * @param problem why it is unknown
     */
    record Unavailable(Problem problem) implements PublishAnswer {}
}
