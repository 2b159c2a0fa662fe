package org.fulmarreach.entry.calls;

import java.util.function.Consumer;

import org.fulmarreach.core.exc.Result;

/** Hands calls to entries of other regions, one hop. Implementations are thread-safe. */
public interface CallForwarder {
    /** Tells whether an entry of another region reports free slots of a service. */
    boolean hasRoomElsewhere(String service);

    /**
     * Forwards a call.
     *
     * @param request the call
     * @param reply gets the answer once; {@link CallAnswer.Elsewhere} when no entry of another region took it
     */
    void forward(CallRequest request, Consumer<CallAnswer> reply);

    /**
     * Asks an entry of another region for an id.
     *
     * @param service name of the service
     * @param reply gets the id once, or {@code NO_TARGET}
     */
    void mintElsewhere(String service, Consumer<Result<String>> reply);
}
