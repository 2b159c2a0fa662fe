package org.fulmarreach.entry.calls;

import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.protocol.thrift.CallResult;

/** What became of a call. Immutable. */
public sealed interface CallAnswer {
    /**
     * The target answered.
     *
     * @param requestId id under which it ran
     * @param result the whole answer
     * @param isRepetition whether it certainly ran before this call was sent, so that its cost is charged elsewhere
     */
    record Answered(String requestId, CallResult result, boolean isRepetition) implements CallAnswer {}

    /**
     * The call did not run and never will.
     *
     * @param requestId its id; empty if it never had one
     * @param problem why
     */
    record NotRun(String requestId, Problem problem) implements CallAnswer {}

    /**
     * Whether the call ran is not known.
     *
     * @param requestId its id
     * @param problem why
     */
    record Unknown(String requestId, Problem problem) implements CallAnswer {}

    /**
     * Nothing was sent, and the call belongs into another region: its guard is not known here, or there is no room.
     *
     * @param problem why
     */
    record Elsewhere(Problem problem) implements CallAnswer {}

    /**
     * The entry did not take the call in, and says nothing about what became of its id before.
     *
     * @param problem why
     */
    record Rejected(Problem problem) implements CallAnswer {}
}
