package org.fulmarreach.entry.calls;

import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.protocol.thrift.CallResult;

/** Outcome of a call as the entry reports it to the caller. Immutable. */
public sealed interface CallAnswer {
    /**
     * The target answered.
     *
     * @param requestId id under which the call ran
     * @param result complete answer of the target
     * @param isRepetition whether the call certainly ran before this entry sent it; its cost was then charged by the
     *     earlier request and is refunded here
     */
    record Answered(String requestId, CallResult result, boolean isRepetition) implements CallAnswer {}

    /**
     * The call did not run and will not run later.
     *
     * @param requestId id of the call; empty if none was assigned
     * @param problem why the call did not run
     */
    record NotRun(String requestId, Problem problem) implements CallAnswer {}

    /**
     * It is unknown whether the call ran.
     *
     * @param requestId id of the call
     * @param problem why the outcome is unknown
     */
    record Unknown(String requestId, Problem problem) implements CallAnswer {}

    /**
     * Nothing was sent. The call should be forwarded to another region, because its guard is not registered at this
     * entry or no target of this region has a free slot.
     *
     * @param problem why the call cannot be sent in this region
     */
    record NotRoutable(Problem problem) implements CallAnswer {}

    /**
     * The entry rejected the request. This makes no statement about earlier requests with the same id.
     *
     * @param problem why the request was rejected
     */
    record Rejected(Problem problem) implements CallAnswer {}
}
