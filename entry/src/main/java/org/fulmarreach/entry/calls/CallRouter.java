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
 * Routes the calls of this entry: sends each to a guard, matches answers with requests and gives exactly one final
 * answer per call.
 *
 * <p>An answer is accepted only if its correlation id, guard and request id match a message that is still unanswered;
 * all others are dropped. A call is answered as not run only if that is certain: its guard refused it, or no message
 * with its id was ever sent and no other process can have the id. Owned by {@code DirectoryActor}.
 */
public final class CallRouter {
    /** Maximum number of pending calls; bounds the memory that they occupy. */
    public static final int MAX_PENDING = 16_384;

    /** Time in milliseconds that calls stay pending for a guard to reconnect. */
    public static final long GUARD_RECONNECT_TIMEOUT_MS = 3_000;

    /** Maximum wait for a guard's refusal beyond the deadline. */
    private static final long REFUSAL_TIMEOUT_MS = 200;

    /**
     * Time before the deadline at which the guard of a bound call is asked to refuse it, so that the refusal arrives
     * before the deadline. The slowest hop within a region takes a few milliseconds.
     */
    private static final long REFUSAL_LEAD_MS = 100;

    private final GuardDirectory directory;
    private final MonotonicClock clock;
    private final EventLog log;
    private final GuardMessenger messenger;
    private final PendingCalls pending;
    private final CallDispatcher dispatcher;

    /** Constructs a router that sends calls to the guards of {@code directory}. */
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
     * Submits a call.
     *
     * @param request the call
     * @param reply receives the final answer once, at the latest at the deadline
     */
    public void submit(CallRequest request, Consumer<CallAnswer> reply) {
        PendingCall call = new PendingCall(request, reply);
        pending.add(call);
        if (pending.size() > MAX_PENDING) {
            Problem full = Problem.of(ErrorCode.NO_CAPACITY, "this entry already has " + MAX_PENDING + " pending calls")
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
            dispatcher.submitUnbound(call);
        }
    }

    /** Mints a request id that is bound to one guard of the service. */
    public Result<String> mintId(String service) {
        return dispatcher.mintId(service);
    }

    /** Asks the guard that an id is bound to for the state of the request; {@code reply} receives it once. */
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

    /** Handles a guard's answer to a call. */
    public void receiveResult(GuardSession guard, long correlationId, CallResult result) {
        PendingCall call = messenger.removeCall(guard, correlationId, result.getRequestId());
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
            applyResult(call, result, call.attempts() == 1 && result.isRepeated());
        }
        dispatcher.drainQueues(guard);
    }

    /** Handles a guard's answer to a {@code Resolve} message. */
    public void receiveResolve(GuardSession guard, long correlationId, ResolveResult result) {
        GuardMessenger.PendingResolve resolve = messenger.removeResolve(guard, correlationId, result.getRequestId());
        if (resolve == null) {
            log.emit(EntryEvent.LATE_RESULT_DROPPED, "guard", guard.view().guardId(), "request", result.getRequestId());
            return;
        }
        if (resolve.queryReply() != null) {
            resolve.queryReply().accept(RequestState.of(result));
            return;
        }
        PendingCall call = resolve.call();
        if (call.phase() == PendingCall.Phase.DONE || call.resolveId() != correlationId) {
            return;
        }
        switch (result.getState()) {
            case REFUSED -> finishRefused(call, result);
            case DONE -> applyStoredResult(call, result);
            case RUNNING -> {
                if (call.phase() != PendingCall.Phase.SENT) {
                    dispatcher.send(call);
                }
            }
            default -> handleUnknownId(call, result);
        }
    }

    /** Handles the hello of a guard: asks it for the state of the calls that were pending when its connection ended. */
    public void connectGuard(GuardSession guard) {
        dispatcher.refreshTargets(guard.view().service());
        for (PendingCall call : pending.all()) {
            if (call.phase() != PendingCall.Phase.DISCONNECTED || !isSameGuard(call, guard)) {
                continue;
            }
            if (isSameIncarnation(call, guard)) {
                call.bind(guard, call.id());
                reconnect(call);
            } else {
                retryOrFinishUnknown(call, CallProblems.restarted(guard));
            }
        }
    }

    /** Handles the end of a guard's connection: its calls stay pending until it reconnects or their time is over. */
    public void disconnectGuard(GuardSession guard) {
        long nowMs = clock.nowMs();
        messenger.discardForGuard(guard);
        dispatcher.drainBound(guard);
        for (PendingCall call : pending.all()) {
            // An unbound queued call keeps the guard of its last attempt only to exclude it from the next one.
            boolean isQueuedUnbound =
                    call.phase() == PendingCall.Phase.QUEUED && !call.request().isBound();
            if (call.guard() == guard && !isQueuedUnbound) {
                call.markDisconnected(Math.min(call.request().deadlineMs(), nowMs + GUARD_RECONNECT_TIMEOUT_MS));
            }
        }
    }

    /** Handles a guard's heartbeat: sends queued calls if it is ready, and refuses those bound to it if it is not. */
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

    /** Handles the removal of a guard from the directory. */
    public void removeGuard(GuardSession guard) {
        dispatcher.refreshTargets(guard.view().service());
    }

    /** Ends calls and queries whose time is over; to be called every few milliseconds. */
    public void tick() {
        long nowMs = clock.nowMs();
        dispatcher.expireQueues(nowMs);
        for (PendingCall call : pending.all()) {
            checkDeadline(call, nowMs);
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

    /** Returns whether the target of a guard is ejected because of failures. */
    public boolean isEjected(GuardSession guard) {
        return dispatcher.isEjected(guard);
    }

    /*
     * Helpers: answers
     */

    private void applyResult(PendingCall call, CallResult result, boolean isRepetition) {
        if (result.getOutcome() == Outcome.RUN) {
            pending.finish(call, new CallAnswer.Answered(call.id(), result, isRepetition));
            return;
        }
        boolean wasNotRun = result.getOutcome() == Outcome.NOT_RUN;
        if (!wasNotRun) {
            call.markMaybeRan();
        }
        boolean isFull = wasNotRun && CallResults.toCode(result) == ErrorCode.NO_CAPACITY;
        if (dispatcher.tryOtherTarget(call) || isFull && dispatcher.tryRequeue(call)) {
            return;
        }
        Problem problem = CallResults.toProblem(result);
        if (wasNotRun) {
            pending.finishNotRun(call, problem);
        } else {
            pending.finishUnknown(call, problem);
        }
    }

    private void finishRefused(PendingCall call, ResolveResult result) {
        if (call.isRetryable() && dispatcher.tryOtherTarget(call)) {
            return;
        }
        pending.finishNotRun(call, CallProblems.refused(call, result));
    }

    private void applyStoredResult(PendingCall call, ResolveResult result) {
        if (result.getResult() == null) {
            Problem discarded =
                    Problem.of(ErrorCode.TARGET_FAILED, "the call ran, but its stored answer has been discarded");
            pending.finishUnknown(call, discarded);
            return;
        }
        // If this entry has sent the call, the stored answer may come from that execution and is then no repetition.
        applyResult(call, result.getResult(), call.attempts() == 0);
    }

    /**
     * Handles the answer that the guard has no record of the id. A guard keeps every id that it could still run, so it
     * is safe to send the call again.
     */
    private void handleUnknownId(PendingCall call, ResolveResult result) {
        if (call.phase() == PendingCall.Phase.RESOLVING) {
            dispatcher.send(call);
        } else if (call.phase() == PendingCall.Phase.REFUSING) {
            Problem problem = result.getResult() == null
                    ? Problem.of(ErrorCode.REQUEST_ID_EXPIRED, "the guard no longer has a record of the id")
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

    private void retryOrFinishUnknown(PendingCall call, Problem problem) {
        if (call.attempts() > 0) {
            call.markMaybeRan();
        }
        if (dispatcher.tryOtherTarget(call)) {
            return;
        }
        pending.finishUnknown(call, problem);
    }

    private void checkDeadline(PendingCall call, long nowMs) {
        long remainingMs = call.request().deadlineMs() - nowMs;
        switch (call.phase()) {
            case SENT -> {
                if (remainingMs <= 0) {
                    finishAtDeadline(call);
                } else if (call.request().isBound()
                        && !call.isDeadlineRefusalRequested()
                        && remainingMs <= REFUSAL_LEAD_MS) {
                    call.markDeadlineRefusalRequested(messenger.sendResolve(call.guard(), call, true));
                }
            }
            case DISCONNECTED -> {
                if (nowMs >= call.reconnectDeadlineMs()) {
                    retryOrFinishUnknown(call, CallProblems.unreachable());
                }
            }
            case RESOLVING -> {
                if (remainingMs <= 0) {
                    finishAtDeadline(call);
                }
            }
            case REFUSING -> {
                if (remainingMs <= -REFUSAL_TIMEOUT_MS) {
                    finishAtDeadline(call);
                }
            }
            default -> {
                // Queued calls are expired by their queue, and answered calls are no longer pending.
            }
        }
    }

    private void finishAtDeadline(PendingCall call) {
        if (call.phase() == PendingCall.Phase.SENT && !call.request().isBound()) {
            messenger.sendCancel(call.guard(), call.id());
        }
        Problem problem =
                Problem.of(ErrorCode.DEADLINE_EXCEEDED, "no answer arrived by the deadline; the call may have run");
        pending.finishUnknown(call, problem);
    }

    /*
     * Helpers: identity of guards
     */

    private static boolean isSameGuard(PendingCall call, GuardSession guard) {
        return call.guard().view().guardId().equals(guard.view().guardId());
    }

    private static boolean isSameIncarnation(PendingCall call, GuardSession guard) {
        return RequestId.parse(call.id()) instanceof Result.Ok<RequestId> ok
                && ok.value().incarnation() == guard.view().incarnation();
    }
}
