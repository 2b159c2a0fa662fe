package org.fulmarreach.entry.calls;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.request.RequestId;
import org.fulmarreach.entry.EntryEvent;
import org.fulmarreach.entry.guards.GuardDirectory;
import org.fulmarreach.entry.guards.GuardSession;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.protocol.thrift.Outcome;
import org.fulmarreach.protocol.thrift.ResolveResult;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Pending calls of this entry: sends each to a guard, pairs answers with requests and gives the final answer once.
 *
 * <p>An answer counts only if its number, guard and request id are those of a message that still waits for one; all
 * others are dropped. A call is answered as not run only with proof: its guard refused it, or no message with its id
 * was ever sent and no other process can have the id. Owned by the directory's actor.
 */
public final class CallRouter {
    /** Most pending calls; bounds the memory of waiting requests. */
    public static final int MAX_PENDING = 16_384;

    /** Bound for the return of a lost guard in milliseconds. */
    public static final long GUARD_RETURN_MS = 3_000;

    /** Longest wait for a guard's refusal after the deadline in milliseconds. */
    private static final long REFUSE_BOUND_MS = 200;

    /** The refusal must be back before the deadline; the slowest hop within a region takes a few milliseconds. */
    private static final long ASK_BEFORE_DEADLINE_MS = 100;

    private final GuardDirectory directory;
    private final MonotonicClock clock;
    private final EventLog log;
    private final GuardMessenger messenger;
    private final PendingCalls pending;
    private final CallDispatcher dispatcher;

    /** Constructs a router over the guards of {@code directory}. */
    public CallRouter(
            GuardDirectory directory,
            String zone,
            int maxQueuedPerService,
            RandomGenerator random,
            MonotonicClock clock,
            EventLog log) {
        this.directory = directory;
        this.clock = clock;
        this.log = log;
        this.messenger = new GuardMessenger(clock);
        this.pending = new PendingCalls(messenger, log);
        this.dispatcher = new CallDispatcher(directory, zone, maxQueuedPerService, random, clock, messenger, pending);
    }

    /*
     * Public API: callers
     */

    /**
     * Takes in a call.
     *
     * @param request the call
     * @param reply gets the final answer once, at the latest at the deadline
     */
    public void submit(CallRequest request, Consumer<CallAnswer> reply) {
        PendingCall call = new PendingCall(request, reply);
        pending.add(call);
        if (pending.size() > MAX_PENDING) {
            Problem full = Problem.of(ErrorCode.NO_CAPACITY, "this entry has " + MAX_PENDING + " calls pending")
                    .withRetryAfterMs(CallProblems.DEFAULT_RETRY_AFTER_MS);
            if (request.isBound()) {
                pending.finishUnknown(call, full);
            } else {
                pending.finishNotRun(call, full);
            }
        } else if (request.isBound()) {
            dispatcher.submitBound(call);
        } else if (request.refusal() != null) {
            pending.finishNotRun(call, request.refusal());
        } else {
            dispatcher.submitFree(call);
        }
    }

    /** Makes an id that is bound to one guard of the service. */
    public Result<String> mintId(String service) {
        return dispatcher.mintId(service);
    }

    /** Asks the guard of an id what became of it. */
    public void query(RequestId id, Consumer<RequestState> reply) {
        GuardSession guard = directory.find(id.guardId()).orElse(null);
        if (guard == null || !guard.isConnected()) {
            reply.accept(RequestState.unknown(
                    Problem.of(ErrorCode.GUARD_UNREACHABLE, "guard " + id.guardId() + " is not connected")
                            .withRetryAfterMs(CallProblems.DEFAULT_RETRY_AFTER_MS)));
        } else if (guard.view().incarnation() != id.incarnation()) {
            reply.accept(RequestState.unknown(CallProblems.restarted(id)));
        } else {
            messenger.sendQuery(guard, id.format(), reply);
        }
    }

    /*
     * Public API: guards
     */

    /** Takes in an answer to a call. */
    public void receiveResult(GuardSession guard, long correlationId, CallResult result) {
        PendingCall call = messenger.takeCall(guard, correlationId, result.getRequestId());
        if (call == null) {
            log.emit(EntryEvent.LATE_RESULT_DROPPED, "guard", guard.view().guardId(), "request", result.getRequestId());
            return;
        }
        guard.removeOutstanding();
        if (result.getOutcome() == Outcome.NOT_RUN && CallResults.toCode(result) == ErrorCode.NO_CAPACITY) {
            guard.markFull();
        }
        dispatcher.recordResult(call.request().service(), guard, result, log);
        if (call.phase() == PendingCall.Phase.SENT && call.correlationId() == correlationId) {
            conclude(call, result, call.attempts() == 1 && result.isRepeated());
        }
        dispatcher.drainQueues(guard);
    }

    /** Takes in an answer to a question. */
    public void receiveResolve(GuardSession guard, long correlationId, ResolveResult result) {
        GuardMessenger.Question question = messenger.takeQuestion(guard, correlationId, result.getRequestId());
        if (question == null) {
            log.emit(EntryEvent.LATE_RESULT_DROPPED, "guard", guard.view().guardId(), "request", result.getRequestId());
            return;
        }
        if (question.query() != null) {
            question.query().accept(RequestState.of(result));
            return;
        }
        PendingCall call = question.call();
        if (call.phase() == PendingCall.Phase.DONE || call.resolveId() != correlationId) {
            return;
        }
        switch (result.getState()) {
            case REFUSED -> finishRefused(call, result);
            case DONE -> concludeDone(call, result);
            case RUNNING -> {
                if (call.phase() != PendingCall.Phase.SENT) {
                    dispatcher.send(call);
                }
            }
            default -> receiveAbsent(call, result);
        }
    }

    /** A guard said hello; its pending calls are asked for again. */
    public void connectGuard(GuardSession guard) {
        dispatcher.refreshTargets(guard.view().service());
        for (PendingCall call : pending.all()) {
            if (call.phase() != PendingCall.Phase.DISCONNECTED || !isAt(call, guard)) {
                continue;
            }
            if (isBoundTo(call, guard)) {
                call.bind(guard, call.id());
                reconnect(call);
            } else {
                end(call, CallProblems.restarted(guard));
            }
        }
    }

    /** The connection of a guard ended; its calls stay pending until it is back. */
    public void disconnectGuard(GuardSession guard) {
        long nowMs = clock.nowMs();
        messenger.forget(guard);
        dispatcher.drainBound(guard);
        for (PendingCall call : pending.all()) {
            // A call that waits for any target keeps the guard of its last attempt only to avoid it.
            boolean waitsForAny =
                    call.phase() == PendingCall.Phase.QUEUED && !call.request().isBound();
            if (call.guard() == guard && !waitsForAny) {
                call.markDisconnected(Math.min(call.request().deadlineMs(), nowMs + GUARD_RETURN_MS));
            }
        }
    }

    /** A guard reported its state; waiting calls may be sent now, or are refused when the target leaves. */
    public void updateGuard(GuardSession guard) {
        if (!dispatcher.isTarget(guard)) {
            dispatcher.refreshTargets(guard.view().service());
        }
        if (guard.isReady()) {
            dispatcher.drainQueues(guard);
            return;
        }
        dispatcher.drainBound(guard).forEach(call -> dispatcher.refuseAtGuard(call, CallProblems.leaving(guard)));
    }

    /** A guard was forgotten. */
    public void removeGuard(GuardSession guard) {
        dispatcher.refreshTargets(guard.view().service());
    }

    /** Gives up what cannot be answered in time; to be called every few milliseconds. */
    public void tick() {
        long nowMs = clock.nowMs();
        dispatcher.expireQueues(nowMs);
        for (PendingCall call : pending.all()) {
            checkTime(call, nowMs);
        }
        messenger.expireQueries(nowMs);
    }

    /** Returns the number of calls without a final answer. */
    public int countPending() {
        return pending.size();
    }

    /** Returns the number of calls that wait in queues. */
    public int countQueued() {
        return dispatcher.countQueued();
    }

    /** Tells whether a target is ejected. */
    public boolean isEjected(GuardSession guard) {
        return dispatcher.isEjected(guard);
    }

    /*
     * Helpers: answers
     */

    private void conclude(PendingCall call, CallResult result, boolean isRepetition) {
        if (result.getOutcome() == Outcome.RUN) {
            pending.finish(call, new CallAnswer.Answered(call.id(), result, isRepetition));
            return;
        }
        boolean isNotRun = result.getOutcome() == Outcome.NOT_RUN;
        if (!isNotRun) {
            call.noteMaybeRan();
        }
        boolean isFull = isNotRun && CallResults.toCode(result) == ErrorCode.NO_CAPACITY;
        if (dispatcher.tryMove(call) || isFull && dispatcher.tryWaitAgain(call)) {
            return;
        }
        Problem problem = CallResults.toProblem(result);
        if (isNotRun) {
            pending.finishNotRun(call, problem);
        } else {
            pending.finishUnknown(call, problem);
        }
    }

    private void finishRefused(PendingCall call, ResolveResult result) {
        if (call.mayMove() && dispatcher.tryMove(call)) {
            return;
        }
        pending.finishNotRun(call, CallProblems.refused(call, result));
    }

    private void concludeDone(PendingCall call, ResolveResult result) {
        if (result.getResult() == null) {
            Problem dropped = Problem.of(ErrorCode.TARGET_FAILED, "the call ran, and its answer is no longer kept");
            pending.finishUnknown(call, dropped);
            return;
        }
        // Once this entry has sent the call, the stored answer may be of that very execution.
        conclude(call, result.getResult(), call.attempts() == 0);
    }

    /** The guard does not know the id. It keeps all ids that it could still run, so that sending again is safe. */
    private void receiveAbsent(PendingCall call, ResolveResult result) {
        if (call.phase() == PendingCall.Phase.RESOLVING) {
            dispatcher.send(call);
        } else if (call.phase() == PendingCall.Phase.REFUSING) {
            Problem problem = result.getResult() == null
                    ? Problem.of(ErrorCode.REQUEST_ID_EXPIRED, "the guard no longer knows the id")
                    : CallResults.toProblem(result.getResult());
            pending.finishUnknown(call, problem);
        }
    }

    private void reconnect(PendingCall call) {
        if (call.refusal() != null) {
            dispatcher.refuseAtGuard(call, call.refusal());
        } else {
            call.markResolving(messenger.sendResolve(call.guard(), call, false));
        }
    }

    private void end(PendingCall call, Problem problem) {
        if (call.attempts() > 0) {
            call.noteMaybeRan();
        }
        if (dispatcher.tryMove(call)) {
            return;
        }
        pending.finishUnknown(call, problem);
    }

    private void checkTime(PendingCall call, long nowMs) {
        long leftMs = call.request().deadlineMs() - nowMs;
        switch (call.phase()) {
            case SENT -> {
                if (leftMs <= 0) {
                    endAtDeadline(call);
                } else if (call.request().isBound()
                        && !call.askedBeforeDeadline()
                        && leftMs <= ASK_BEFORE_DEADLINE_MS) {
                    call.markAsked(messenger.sendResolve(call.guard(), call, true));
                }
            }
            case DISCONNECTED -> {
                if (nowMs >= call.givenUpAtMs()) {
                    end(call, CallProblems.unreachable());
                }
            }
            case RESOLVING -> {
                if (leftMs <= 0) {
                    endAtDeadline(call);
                }
            }
            case REFUSING -> {
                if (leftMs <= -REFUSE_BOUND_MS) {
                    endAtDeadline(call);
                }
            }
            default -> {
                // The queue has its own bound, and an answered call is no longer pending.
            }
        }
    }

    private void endAtDeadline(PendingCall call) {
        if (call.phase() == PendingCall.Phase.SENT && !call.request().isBound()) {
            messenger.sendCancel(call.guard(), call.id());
        }
        Problem problem =
                Problem.of(ErrorCode.DEADLINE_EXCEEDED, "no answer arrived by the deadline, and the call may have run");
        pending.finishUnknown(call, problem);
    }

    /*
     * Helpers: look-ups
     */

    private static boolean isAt(PendingCall call, GuardSession guard) {
        return call.guard().view().guardId().equals(guard.view().guardId());
    }

    private static boolean isBoundTo(PendingCall call, GuardSession guard) {
        return RequestId.parse(call.id()) instanceof Result.Ok<RequestId> ok
                && ok.value().incarnation() == guard.view().incarnation();
    }
}
