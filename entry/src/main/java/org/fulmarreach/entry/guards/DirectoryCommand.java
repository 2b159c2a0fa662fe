package org.fulmarreach.entry.guards;

import java.util.List;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.request.RequestId;
import org.fulmarreach.entry.calls.CallAnswer;
import org.fulmarreach.entry.calls.CallRequest;
import org.fulmarreach.entry.calls.RequestState;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.runtime.net.LinkEvent;

/** Messages of the actor that owns the directory of guards. */
public sealed interface DirectoryCommand {
    /**
     * Adds a subscriber; it gets {@link GuardEvent.Seen} for each connected guard with its next heartbeat.
     *
     * @param subscriber receives the events
     */
    record Subscribe(ActorRef<GuardEvent> subscriber) implements DirectoryCommand {}

    /**
     * Sends a one-way message to a guard. It is dropped when the guard is not connected.
     *
     * @param vmId VM of the guard
     * @param body message
     */
    record SendToGuard(String vmId, Body body) implements DirectoryCommand {}

    /**
     * Something happened on a connection.
     *
     * @param event what happened
     */
    record LinkChanged(LinkEvent event) implements DirectoryCommand {}

    /**
     * Submits a call.
     *
     * @param request the call
     * @param reply gets the final answer once, on the actor's thread
     */
    record SubmitCall(CallRequest request, Consumer<CallAnswer> reply) implements DirectoryCommand {}

    /**
     * Asks for an id bound to one guard of a service.
     *
     * @param service name of the service
     * @param reply gets the id, or {@code NO_TARGET}
     */
    record MintId(String service, Consumer<Result<String>> reply) implements DirectoryCommand {}

    /**
     * Asks what became of a request.
     *
     * @param id its id
     * @param reply gets the state once, within 2 s
     */
    record QueryRequest(RequestId id, Consumer<RequestState> reply) implements DirectoryCommand {}

    /**
     * Asks for all targets.
     *
     * @param reply gets one row per guard
     */
    record ListTargets(Consumer<List<TargetView>> reply) implements DirectoryCommand {}

    /**
     * Tells the guard on a VM that its target is to be drained.
     *
     * @param vmId the VM
     * @param reply gets whether its guard is connected
     */
    record DrainTarget(String vmId, Consumer<Boolean> reply) implements DirectoryCommand {}

    /**
     * The live entries of this region changed.
     *
     * @param addresses their addresses for guards, {@code ip:port}
     */
    record EntriesChanged(List<String> addresses) implements DirectoryCommand {}

    /**
     * A newer revision of the rules is in force.
     *
     * @param revision the revision
     */
    record RulesRevised(long revision) implements DirectoryCommand {}

    /**
     * Asks for a summary of the guards at each heartbeat interval.
     *
     * @param receiver gets the summaries
     */
    record SubscribeSummary(Consumer<GuardSummary> receiver) implements DirectoryCommand {}

    /** Time has passed. */
    record Tick() implements DirectoryCommand {}
}
