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

/** Messages to {@link DirectoryActor}. */
public sealed interface DirectoryCommand {
    /**
     * Adds a subscriber. It receives {@link GuardEvent.HeartbeatReceived} for each connected guard at the guard's next
     * heartbeat.
     *
     * @param subscriber receives the events
     */
    record Subscribe(ActorRef<GuardEvent> subscriber) implements DirectoryCommand {}

    /**
     * Sends a one-way message to a guard. The message is dropped if the guard is not connected.
     *
     * @param vmId id of the VM that the guard runs on
     * @param body the message
     */
    record SendToGuard(String vmId, Body body) implements DirectoryCommand {}

    /**
     * Reports an event of a connection: opened, frame received or closed.
     *
     * @param event the event
     */
    record LinkChanged(LinkEvent event) implements DirectoryCommand {}

    /**
     * Submits a call.
     *
     * @param request the call
     * @param reply receives the final answer once, on the actor's thread
     */
    record SubmitCall(CallRequest request, Consumer<CallAnswer> reply) implements DirectoryCommand {}

    /**
     * Mints a request id bound to one guard of a service.
     *
     * @param service name of the service
     * @param reply receives the id, or {@code NO_TARGET}
     */
    record MintId(String service, Consumer<Result<String>> reply) implements DirectoryCommand {}

    /**
     * Queries the state of a request.
     *
     * @param id id of the request
     * @param reply receives the state once, within 2 s
     */
    record QueryRequest(RequestId id, Consumer<RequestState> reply) implements DirectoryCommand {}

    /**
     * Lists all targets.
     *
     * @param reply receives one view per guard
     */
    record ListTargets(Consumer<List<TargetView>> reply) implements DirectoryCommand {}

    /**
     * Requests the guard on a VM to drain its target.
     *
     * @param vmId id of the VM
     * @param reply receives whether the guard is connected, so that the request was sent
     */
    record DrainTarget(String vmId, Consumer<Boolean> reply) implements DirectoryCommand {}

    /**
     * Replaces the addresses of the live entries of this region.
     *
     * @param addresses addresses that guards connect to, {@code ip:port}
     */
    record EntriesChanged(List<String> addresses) implements DirectoryCommand {}

    /**
     * Reports a newer revision of the rules in force.
     *
     * @param revision the revision
     */
    record RulesRevised(long revision) implements DirectoryCommand {}

    /**
     * Adds a subscriber to summaries of the guards, sent at each heartbeat interval.
     *
     * @param receiver receives the summaries
     */
    record SubscribeSummary(Consumer<GuardSummary> receiver) implements DirectoryCommand {}

    /** Periodic timer message that triggers the checks for timeouts. */
    record Tick() implements DirectoryCommand {}
}
