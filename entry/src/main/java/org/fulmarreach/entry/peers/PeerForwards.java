package org.fulmarreach.entry.peers;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.request.RequestId;
import org.fulmarreach.entry.calls.CallAnswer;
import org.fulmarreach.entry.calls.CallRequest;
import org.fulmarreach.entry.calls.CallResults;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Call;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.protocol.thrift.ForwardCall;
import org.fulmarreach.protocol.thrift.Resolve;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Calls that this entry has forwarded to other regions and that are not answered. A call whose guard's region is not
 * known is offered to one entry of each region in turn; only the guard itself can run it. Owned by the actor of peers.
 */
final class PeerForwards {
    private static final int MAX_FORWARDED = 4_096;
    private static final long AFTER_DEADLINE_MS = 50;
    private static final long RETRY_AFTER_MS = 1_000;

    private final PeerTable peers;
    private final String region;
    private final MonotonicClock clock;
    private final Map<Long, Forwarded> byCorrelationId = new HashMap<>();
    private long lastCorrelationId;

    private record Forwarded(CallRequest request, Consumer<CallAnswer> reply, FrameLink link, Deque<Peer> others) {}

    PeerForwards(PeerTable peers, String region, MonotonicClock clock) {
        this.peers = peers;
        this.region = region;
        this.clock = clock;
    }

    void forward(CallRequest request, Consumer<CallAnswer> reply) {
        List<Peer> receivers = request.isBound()
                ? peers.findOneOfEachOtherRegion(region)
                : peers.findRoomiest(region, request.service()).map(List::of).orElse(List.of());
        if (byCorrelationId.size() >= MAX_FORWARDED) {
            reply.accept(elsewhere());
            return;
        }
        sendToNext(request, reply, new ArrayDeque<>(receivers));
    }

    /** Takes in an answer; false if nothing waits for it on this connection. */
    boolean receiveResult(FrameLink link, long correlationId, CallResult result) {
        Forwarded forwarded = take(link, correlationId);
        if (forwarded == null) {
            return false;
        }
        boolean isOther = forwarded.request().isBound()
                && !forwarded.request().requestId().equals(result.getRequestId());
        forwarded.reply().accept(isOther ? unknown(forwarded) : CallResults.fromPeer(result));
        return true;
    }

    /** Takes in that a peer did not take the call. */
    void receiveFailure(FrameLink link, long correlationId) {
        Forwarded forwarded = take(link, correlationId);
        if (forwarded != null) {
            sendToNext(forwarded.request(), forwarded.reply(), forwarded.others());
        }
    }

    void disconnect(FrameLink link) {
        for (Iterator<Forwarded> each = byCorrelationId.values().iterator(); each.hasNext(); ) {
            Forwarded forwarded = each.next();
            if (forwarded.link() == link) {
                each.remove();
                forwarded.reply().accept(unknown(forwarded));
            }
        }
    }

    void expire(long nowMs) {
        for (Iterator<Forwarded> each = byCorrelationId.values().iterator(); each.hasNext(); ) {
            Forwarded forwarded = each.next();
            if (nowMs >= forwarded.request().deadlineMs() + AFTER_DEADLINE_MS) {
                each.remove();
                Problem late =
                        Problem.of(ErrorCode.DEADLINE_EXCEEDED, "the other region did not answer by the deadline");
                forwarded
                        .reply()
                        .accept(new CallAnswer.Unknown(forwarded.request().requestId(), late));
            }
        }
    }

    private void sendToNext(CallRequest request, Consumer<CallAnswer> reply, Deque<Peer> receivers) {
        Peer next = receivers.poll();
        while (next != null && !next.isConnected()) {
            next = receivers.poll();
        }
        if (next == null) {
            reply.accept(elsewhere());
            return;
        }
        FrameLink link = next.links().get(next.links().size() - 1);
        long correlationId = ++lastCorrelationId;
        byCorrelationId.put(correlationId, new Forwarded(request, reply, link, receivers));
        link.send(correlationId, toBody(request));
    }

    private Body toBody(CallRequest request) {
        RequestId id = RequestId.parse(request.requestId()) instanceof Result.Ok<RequestId> ok ? ok.value() : null;
        if (request.refusal() != null && id != null) {
            return Body.resolve(new Resolve(request.requestId(), id.incarnation(), true));
        }
        Call call = request.toCall(request.requestId(), id == null ? 0 : id.incarnation(), 0, clock.nowMs());
        ForwardCall forward = new ForwardCall(call);
        if (id != null) {
            forward.setGuardId(id.guardId());
        }
        return Body.forwardCall(forward);
    }

    private Forwarded take(FrameLink link, long correlationId) {
        Forwarded forwarded = byCorrelationId.get(correlationId);
        if (forwarded == null || forwarded.link() != link) {
            return null;
        }
        return byCorrelationId.remove(correlationId);
    }

    private static CallAnswer elsewhere() {
        return new CallAnswer.Elsewhere(Problem.of(ErrorCode.NO_TARGET, "no entry of another region took the call")
                .withRetryAfterMs(RETRY_AFTER_MS));
    }

    private static CallAnswer unknown(Forwarded forwarded) {
        Problem lost = Problem.of(
                        ErrorCode.GUARD_UNREACHABLE, "the connection to the other region was lost during the call")
                .withRetryAfterMs(RETRY_AFTER_MS);
        return new CallAnswer.Unknown(forwarded.request().requestId(), lost);
    }
}
