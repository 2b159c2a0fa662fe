package org.fulmarreach.entry.calls;

import java.util.function.Consumer;

import org.fulmarreach.core.exc.Result;

/** Accepts calls forwarded by entries of other regions; never forwards them again. Implementations are thread-safe. */
public interface ForwardedCalls {
    /**
     * Submits a forwarded call; the forwarding entry has already charged the budget.
     *
     * @param request the call
     * @param reply receives the answer once
     */
    void submitForwarded(CallRequest request, Consumer<CallAnswer> reply);

    /**
     * Mints a request id bound to a guard of this region.
     *
     * @param service name of the service
     * @param reply receives the id, or {@code NO_TARGET}
     */
    void mintLocalId(String service, Consumer<Result<String>> reply);
}
