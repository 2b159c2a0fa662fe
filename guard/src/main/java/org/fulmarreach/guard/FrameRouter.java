package org.fulmarreach.guard;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.LinkEvent;

/**
 * Passes frames from entries to the actors that own the calls, the tasks and the planned stop. Thread-safe.
 *
 * @param calls owner of the calls
 * @param tasks owner of the tasks
 * @param guardian owner of the planned stop
 */
record FrameRouter(ActorRef<CallCommand> calls, ActorRef<TaskCommand> tasks, ActorRef<GuardCommand> guardian)
        implements EntryLinksActor.Router {
    @Override
    public boolean route(LinkEvent event) {
        return switch (event) {
            case LinkEvent.Opened opened -> false;
            case LinkEvent.Received received -> routeFrame(received.link(), received.frame());
            case LinkEvent.Closed closed -> {
                if (closed.link() != null) {
                    calls.tell(new CallCommand.LinkClosed(closed.link()));
                }
                yield false;
            }
        };
    }

    @Override
    public void requestReports(ActorRef<LinksCommand> replyTo) {
        calls.tell(new CallCommand.ReportStatus(replyTo));
        tasks.tell(new TaskCommand.ReportStatus(replyTo));
    }

    private boolean routeFrame(FrameLink link, Frame frame) {
        Body body = frame.getBody();
        switch (body.getSetField()) {
            case CALL -> calls.tell(new CallCommand.CallReceived(link, frame.getCorrelationId(), body.getCall()));
            case RESOLVE ->
                calls.tell(new CallCommand.ResolveReceived(link, frame.getCorrelationId(), body.getResolve()));
            case CANCEL_CALL -> calls.tell(new CallCommand.CancelReceived(link, body.getCancelCall()));
            case START_TASK, RENEW_TASKS, STOP_TASK, TASK_REPORT_ACK, FENCE ->
                tasks.tell(new TaskCommand.EntryMessage(body));
            case DRAIN ->
                guardian.tell(new GuardCommand.Drain("drain: " + body.getDrain().getReason()));
            default -> {
                return false;
            }
        }
        return true;
    }
}
