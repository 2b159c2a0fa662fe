package org.fulmarreach.guard;

import java.util.concurrent.CompletionStage;

import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.model.Target;
import org.fulmarreach.platform.TargetClient;
import org.fulmarreach.platform.TargetReply;
import org.fulmarreach.platform.TargetRequest;

/** The guard's interface to the target. Implementations are thread-safe. */
interface TargetGateway {
    /** Sends one call at most once. The stage never fails; it completes when the call has left the target. */
    CompletionStage<TargetReply> send(TargetRequest request);

    /** Reads the announcement of the target. */
    CompletionStage<Result<Target>> poll();

    /** Returns a gateway that uses a client. */
    static TargetGateway to(TargetClient client) {
        return new TargetGateway() {
            @Override
            public CompletionStage<TargetReply> send(TargetRequest request) {
                return client.send(request);
            }

            @Override
            public CompletionStage<Result<Target>> poll() {
                return client.poll();
            }
        };
    }
}
