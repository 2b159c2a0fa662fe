package org.fulmarreach.entry.calls;

import java.util.function.Consumer;

import org.fulmarreach.core.exc.Result;

/** Forwards calls to entries of other regions, over at most one hop. Implementations are thread-safe. */
public interface CallForwarder {
    /** Returns whether an entry of another region reports free slots of a service. */
    boolean hasFreeSlotsInOtherRegion(String service);

    /**
     * Forwards a call.
     *
     * @param request the call
     * @param reply receives the answer once; {@link CallAnswer.NotRoutable} if no entry of another region accepted it
     */
    void forward(CallRequest request, Consumer<CallAnswer> reply);

    /**
     * Asks an entry of another region for a new request id.
     *
     * @param service name of the service
     * @param reply receives the id once, or {@code NO_TARGET}
     */
    void mintInOtherRegion(String service, Consumer<Result<String>> reply);
}
