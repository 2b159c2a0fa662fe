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
 * Calls that this entry has forwarded to other regions and that are not answered yet. A call that is bound to a guard
 * in an unknown region is sent to one entry of each other region in turn; only the guard itself can run it. Confined to
 * the {@link PeersActor}.
 */
final class PeerForwards {
    private static final int MAX_FORWARDED = 4_096;
    private static final long DEADLINE_GRACE_MS = 50;
    private static final long RETRY_DELAY_MS = 1_000;

    private final PeerTable peers;
    private final String region;
    private final MonotonicClock clock;
    private final Map<Long, Forwarded> byCorrelationId = new HashMap<>();
    private long lastCorrelationId;

    private record Forwarded(
            CallRequest request, Consumer<CallAnswer> reply, FrameLink link, Deque<Peer> remainingReceivers) {}

    PeerForwards(PeerTable peers, String region, MonotonicClock clock) {
        this.peers = peers;
        this.region = region;
        this.clock = clock;
    }

    void forward(CallRequest request, Consumer<CallAnswer> reply) {
        List<Peer> receivers = request.isBound()
                ? peers.findOneOfEachOtherRegion(region)
                : peers.findPeerWithMostFreeSlots(region, request.service())
                        .map(List::of)
                        .orElse(List.of());
        if (byCorrelationId.size() >= MAX_FORWARDED) {
            reply.accept(notAccepted());
            return;
        }
        sendToNext(request, reply, new ArrayDeque<>(receivers));
    }

    /** Handles an answer; returns false if no forwarded call on this connection waits for it. */
    boolean receiveResult(FrameLink link, long correlationId, CallResult result) {
        Forwarded forwarded = removeForwarded(link, correlationId);
        if (forwarded == null) {
            return false;
        }
        boolean isIdMismatch = forwarded.request().isBound()
                && !forwarded.request().requestId().equals(result.getRequestId());
        forwarded
                .reply()
                .accept(
                        isIdMismatch
                                ? unknownOutcome(forwarded, "the other region answered with another request id")
                                : CallResults.fromFrame(result));
        return true;
    }

    /** Handles the refusal of a call by a peer: sends the call to the next one. */
    void receiveFailure(FrameLink link, long correlationId) {
        Forwarded forwarded = removeForwarded(link, correlationId);
        if (forwarded != null) {
            sendToNext(forwarded.request(), forwarded.reply(), forwarded.remainingReceivers());
        }
    }

    void disconnect(FrameLink link) {
        for (Iterator<Forwarded> iterator = byCorrelationId.values().iterator(); iterator.hasNext(); ) {
            Forwarded forwarded = iterator.next();
            if (forwarded.link() == link) {
                iterator.remove();
                forwarded
                        .reply()
                        .accept(unknownOutcome(
                                forwarded, "the connection to the other region was lost during the call"));
            }
        }
    }

    void expire(long nowMs) {
        for (Iterator<Forwarded> iterator = byCorrelationId.values().iterator(); iterator.hasNext(); ) {
            Forwarded forwarded = iterator.next();
            if (nowMs >= forwarded.request().deadlineMs() + DEADLINE_GRACE_MS) {
                iterator.remove();
                Problem timeout =
                        Problem.of(ErrorCode.DEADLINE_EXCEEDED, "the other region did not answer by the deadline");
                forwarded
                        .reply()
                        .accept(new CallAnswer.Unknown(forwarded.request().requestId(), timeout));
            }
        }
    }

    private void sendToNext(CallRequest request, Consumer<CallAnswer> reply, Deque<Peer> receivers) {
        Peer next = receivers.poll();
        while (next != null && !next.isConnected()) {
            next = receivers.poll();
        }
        if (next == null) {
            reply.accept(notAccepted());
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

    private Forwarded removeForwarded(FrameLink link, long correlationId) {
        Forwarded forwarded = byCorrelationId.get(correlationId);
        if (forwarded == null || forwarded.link() != link) {
            return null;
        }
        return byCorrelationId.remove(correlationId);
    }

    private static CallAnswer notAccepted() {
        return new CallAnswer.NotRoutable(
                Problem.of(ErrorCode.NO_TARGET, "no entry of another region accepted the call")
                        .withRetryAfterMs(RETRY_DELAY_MS));
    }

    private static CallAnswer unknownOutcome(Forwarded forwarded, String reason) {
        Problem problem = Problem.of(ErrorCode.GUARD_UNREACHABLE, reason).withRetryAfterMs(RETRY_DELAY_MS);
        return new CallAnswer.Unknown(forwarded.request().requestId(), problem);
    }
}
