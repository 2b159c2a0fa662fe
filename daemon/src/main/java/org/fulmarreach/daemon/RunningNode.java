package org.fulmarreach.daemon;

import java.util.Map;
import java.util.concurrent.CompletionStage;

/** A started role of the daemon. Implementations are thread-safe. */
interface RunningNode {
    /** Returns the bound addresses by name, for the ready line. */
    Map<String, String> addresses();

    /** Refuses new work and completes when running work is finished. */
    CompletionStage<?> drain();

    /** Completes when the role has stopped on its own, for example after an operator's drain. */
    CompletionStage<?> whenStopped();

    /** Stops immediately, without a drain. */
    void close();
}
