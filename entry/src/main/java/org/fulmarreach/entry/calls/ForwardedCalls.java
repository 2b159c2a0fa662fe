package org.fulmarreach.entry.calls;

import java.util.function.Consumer;

import org.fulmarreach.core.exc.Result;

/** Takes in what entries of other regions forward; nothing is forwarded again. Implementations are thread-safe. */
public interface ForwardedCalls {
    /**
     * Takes in a call that the other entry has charged.
     *
     * @param request the call
     * @param reply gets the answer once
     */
    void submitForwarded(CallRequest request, Consumer<CallAnswer> reply);

    /**
     * Makes an id bound to a guard of this region.
     *
     * @param service name of the service
     * @param reply gets the id, or {@code NO_TARGET}
     */
    void mintLocalId(String service, Consumer<Result<String>> reply);
}
