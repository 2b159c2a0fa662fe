package org.fulmarreach.entry.calls;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.entry.guards.GuardDirectory;
import org.fulmarreach.entry.guards.GuardSession;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.protocol.thrift.GuardState;
import org.fulmarreach.protocol.thrift.Heartbeat;
import org.fulmarreach.protocol.thrift.Hello;
import org.fulmarreach.protocol.thrift.Outcome;
import org.fulmarreach.protocol.thrift.ResolveResult;
import org.fulmarreach.protocol.thrift.ResolveState;
import org.fulmarreach.protocol.thrift.Resources;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameLink;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against an answer delivered to the wrong request, a second final answer, a call answered as not run although
 * it may have run, and a call without an answer after its deadline.
 */
class CallRouterTest {
    private final GuardDirectory directory = new GuardDirectory();
    private final List<CallAnswer> answers = new ArrayList<>();
    private long nowMs = 1_000;
    private final CallRouter router =
            new CallRouter(directory, "a", 256, new Random(1), () -> nowMs, new EventLog("test"));

    @Test
    void reorderedLateAndDuplicateAnswersReachOnlyTheirRequest() {
        FakeLink link = connect("g1", 1, 8);
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            int number = i;
            router.submit(request("", true, 1_000), answer -> {
                order.add(number);
                answers.add(answer);
            });
        }
        for (int i = 4; i >= 0; i--) {
            link.answer(i, Outcome.RUN, 200 + i);
            link.answer(i, Outcome.RUN, 500);
        }
        assertEquals(List.of(4, 3, 2, 1, 0), order);
        for (int i = 0; i < 5; i++) {
            assertEquals(204 - i, answered(i).getStatus());
        }
        assertEquals(0, router.countPending());
        assertEquals(0, link.session().outstanding());
    }

    @Test
    void answerWithForeignRequestIdOrGuardIsDropped() {
        FakeLink link = connect("g1", 1, 8);
        FakeLink other = connect("g2", 1, 0);
        router.submit(request("", true, 500), answers::add);
        Sent sent = link.sent.get(0);
        CallResult foreign = new CallResult().setOutcome(Outcome.RUN).setRequestId("g1.1.5.cother");
        router.receiveResult(link.session(), sent.correlationId(), foreign);
        CallResult fromOther = new CallResult().setOutcome(Outcome.RUN).setRequestId(sent.requestId());
        router.receiveResult(other.session(), sent.correlationId(), fromOther);
        assertTrue(answers.isEmpty());
        link.answer(0, Outcome.RUN, 200);
        assertEquals(200, answered(0).getStatus());
    }

    @Test
    void callIsResolvedAfterReconnectOfTheSameIncarnation() {
        FakeLink first = connect("g1", 1, 8);
        String id = mint();
        router.submit(request(id, false, 5_000), answers::add);
        loseConnection(first);
        FakeLink second = connect("g1", 1, 8);
        Sent resolve = second.sent.get(0);
        assertTrue(resolve.body().isSetResolve());
        assertFalse(resolve.body().getResolve().isRefuseIfAbsent());
        first.answer(0, Outcome.RUN, 500);
        assertTrue(answers.isEmpty(), "an answer with a correlation id of the lost connection is dropped");
        second.resolve(0, ResolveState.RUNNING, null);
        second.answer(1, Outcome.RUN, 201);
        assertEquals(201, answered(0).getStatus());
        assertFalse(((CallAnswer.Answered) answers.get(0)).isRepetition());
    }

    @Test
    void storedAnswerOfOwnAttemptIsNotARepetition() {
        FakeLink first = connect("g1", 1, 8);
        router.submit(request(mint(), false, 5_000), answers::add);
        loseConnection(first);
        FakeLink second = connect("g1", 1, 8);
        second.resolve(
                0,
                ResolveState.DONE,
                new CallResult().setOutcome(Outcome.RUN).setStatus(201).setRepeated(true));
        // The call was charged once and ran once, so a refund for a repetition would let the budget be overspent.
        assertFalse(((CallAnswer.Answered) answers.get(0)).isRepetition());
    }

    @Test
    void newIncarnationMakesABoundCallUnknownAndRetriesAnIdempotentOne() {
        FakeLink first = connect("g1", 1, 8);
        router.submit(request(mint(), false, 5_000), answers::add);
        router.submit(request("", true, 5_000), answers::add);
        FakeLink other = connect("g2", 1, 8);
        loseConnection(first);
        connect("g1", 2, 8);
        assertEquals(ErrorCode.GUARD_RESTARTED, unknown(0));
        other.answer(0, Outcome.RUN, 200);
        assertEquals(200, answered(1).getStatus());
    }

    @Test
    void callIsUnknownIfItsGuardDoesNotReconnectWithinThreeSeconds() {
        FakeLink link = connect("g1", 1, 8);
        router.submit(request(mint(), false, 10_000), answers::add);
        loseConnection(link);
        nowMs += CallRouter.GUARD_RECONNECT_TIMEOUT_MS - 1;
        router.tick();
        assertTrue(answers.isEmpty());
        nowMs++;
        router.tick();
        assertEquals(ErrorCode.GUARD_UNREACHABLE, unknown(0));
    }

    @Test
    void boundCallNearItsDeadlineIsRefusedByItsGuardOrUnknown() {
        FakeLink link = connect("g1", 1, 8);
        router.submit(request(mint(), false, 500), answers::add);
        router.submit(request(mint(), false, 500), answers::add);
        nowMs += 400;
        router.tick();
        assertTrue(link.sent.get(2).body().getResolve().isRefuseIfAbsent());
        link.resolve(2, ResolveState.REFUSED, null);
        assertInstanceOf(CallAnswer.NotRun.class, answers.get(0));
        link.resolve(3, ResolveState.RUNNING, null);
        nowMs += 100;
        router.tick();
        assertEquals(ErrorCode.DEADLINE_EXCEEDED, unknown(1));
        link.answer(1, Outcome.RUN, 200);
        assertEquals(2, answers.size());
    }

    @Test
    void notRunAfterAnAttemptWithUnknownOutcomeIsUnknown() {
        FakeLink first = connect("g1", 1, 8);
        router.submit(request("", true, 5_000), answers::add);
        FakeLink second = connect("g2", 1, 8);
        first.answer(0, Outcome.UNKNOWN, 0);
        second.answer(0, Outcome.NOT_RUN, 0);
        first.answer(1, Outcome.NOT_RUN, 0);
        assertInstanceOf(CallAnswer.Unknown.class, answers.get(0));
    }

    @Test
    void boundCallWithoutCapacityIsRefusedOnlyWhenItsGuardConfirms() {
        FakeLink link = connect("g1", 1, 1);
        for (int i = 0; i < 6; i++) {
            router.submit(request(mint(), false, 5_000), answers::add);
        }
        assertTrue(answers.isEmpty(), "the guard has not refused yet");
        assertTrue(link.sent.get(1).body().getResolve().isRefuseIfAbsent());
        link.resolve(1, ResolveState.REFUSED, null);
        CallAnswer.NotRun refused = assertInstanceOf(CallAnswer.NotRun.class, answers.get(0));
        assertEquals(ErrorCode.NO_CAPACITY, refused.problem().code());
        assertTrue(refused.problem().retryAfterMs() > 0);
    }

    @Test
    void unboundCallsWithoutCapacityAreRejectedAtOnceOrBeforeTheirDeadline() {
        connect("g1", 1, 1);
        for (int i = 0; i < 6; i++) {
            router.submit(request("", true, 1_000), answers::add);
        }
        assertEquals(1, answers.size(), "one call runs and four are queued");
        assertInstanceOf(CallAnswer.NotRun.class, answers.get(0));
        nowMs += 985;
        router.tick();
        assertEquals(5, answers.size(), "queued calls can no longer meet their deadline");
        nowMs += 15;
        router.tick();
        assertInstanceOf(CallAnswer.Unknown.class, answers.get(5));
        assertEquals(0, router.countPending());
        assertEquals(0, router.countQueued());
    }

    @Test
    void unboundCallRefusedByAFullGuardIsQueuedUntilASlotIsReportedFree() {
        FakeLink link = connect("g1", 1, 8);
        router.submit(request("", true, 1_000), answers::add);
        CallResult full = new CallResult()
                .setRequestId(link.sent.get(0).requestId())
                .setOutcome(Outcome.NOT_RUN)
                .setCode(ErrorCode.NO_CAPACITY.name());
        router.receiveResult(link.session(), link.sent.get(0).correlationId(), full);
        assertEquals(1, link.sent.size(), "an immediate retry would be refused again");
        sendHeartbeat(link, GuardState.READY, 8);
        link.answer(1, Outcome.RUN, 200);
        assertEquals(200, answered(0).getStatus());
    }

    @Test
    void drainingTargetGetsNoNewCall() {
        FakeLink link = connect("g1", 1, 8);
        String id = mint();
        sendHeartbeat(link, GuardState.LEAVING, 8);
        router.submit(request("", true, 1_000), answers::add);
        assertInstanceOf(CallAnswer.NotRun.class, answers.get(0));
        router.submit(request(id, false, 1_000), answers::add);
        assertEquals(1, link.sent.size());
        assertTrue(link.sent.get(0).body().getResolve().isRefuseIfAbsent());
    }

    @Test
    void olderIncarnationCannotReplaceANewerOne() {
        FakeLink old = connect("g1", 1, 8);
        FakeLink present = connect("g1", 2, 8);
        GuardDirectory.Change late = directory.register(old, hello("g1", 1, 8), nowMs);
        assertInstanceOf(GuardDirectory.Change.Refused.class, late);
        assertTrue(directory.disconnect(old).isEmpty());
        assertTrue(directory.findByLink(old).isEmpty());
        assertEquals(present, directory.find("g1").orElseThrow().link());
        assertNull(old.session);
    }

    /*
     * Helpers
     */

    private record Sent(long correlationId, Body body) {
        String requestId() {
            return body.isSetCall()
                    ? body.getCall().getRequestId()
                    : body.getResolve().getRequestId();
        }
    }

    private final class FakeLink implements FrameLink {
        private final List<Sent> sent = new ArrayList<>();
        private GuardSession session;

        GuardSession session() {
            return session;
        }

        void answer(int index, Outcome outcome, int status) {
            Sent call = sent.get(index);
            CallResult result = new CallResult()
                    .setRequestId(call.requestId())
                    .setOutcome(outcome)
                    .setStatus(status);
            router.receiveResult(session, call.correlationId(), result);
        }

        void resolve(int index, ResolveState state, CallResult result) {
            Sent asked = sent.get(index);
            ResolveResult resolved = new ResolveResult(asked.requestId(), state);
            resolved.setResult(result);
            router.receiveResolve(session, asked.correlationId(), resolved);
        }

        @Override
        public void send(long correlationId, Body body) {
            if (body.isSetCall() || body.isSetResolve()) {
                sent.add(new Sent(correlationId, body));
            }
        }

        @Override
        public void close() {
            session = null;
        }

        @Override
        public String remoteAddress() {
            return "127.0.0.1:1";
        }
    }

    private FakeLink connect(String guardId, long incarnation, int slots) {
        FakeLink link = new FakeLink();
        GuardDirectory.Change change = directory.register(link, hello(guardId, incarnation, slots), nowMs);
        link.session = switch (change) {
            case GuardDirectory.Change.Added added -> added.session();
            case GuardDirectory.Change.Reconnected reconnected -> reconnected.session();
            case GuardDirectory.Change.Replaced replaced -> replaced.session();
            case GuardDirectory.Change.Refused refused -> throw new IllegalStateException("refused");
        };
        router.connectGuard(link.session);
        sendHeartbeat(link, GuardState.READY, slots);
        return link;
    }

    private static Hello hello(String guardId, long incarnation, int slots) {
        return new Hello(
                guardId, guardId, incarnation, "a", "r", "rack", "shop", slots, 64, new Resources(1_000, 1_000, 0));
    }

    private void sendHeartbeat(FakeLink link, GuardState state, int slots) {
        link.session.update(new Heartbeat().setTickMs(5).setState(state).setSlots(slots), nowMs);
        router.updateGuard(link.session);
    }

    private void loseConnection(FakeLink link) {
        GuardSession session = directory.disconnect(link).orElseThrow();
        router.disconnectGuard(session);
    }

    private String mint() {
        return ((Result.Ok<String>) router.mintId("shop")).value();
    }

    private CallRequest request(String id, boolean idempotent, long timeoutMs) {
        return new CallRequest(
                id, "shop", "POST", "/", List.of(), new byte[0], "m", idempotent, nowMs + timeoutMs, false, null);
    }

    private CallResult answered(int index) {
        return assertInstanceOf(CallAnswer.Answered.class, answers.get(index)).result();
    }

    private ErrorCode unknown(int index) {
        return assertInstanceOf(CallAnswer.Unknown.class, answers.get(index))
                .problem()
                .code();
    }
}
