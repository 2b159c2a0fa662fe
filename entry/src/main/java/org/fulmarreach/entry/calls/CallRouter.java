package org.fulmarreach.entry.calls;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.request.RequestId;
import org.fulmarreach.core.routing.Candidate;
import org.fulmarreach.core.routing.TargetChooser;
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

    private static final int MAX_ATTEMPTS = 3;

    /** Longest wait for a guard's refusal after the deadline in milliseconds. */
    private static final long REFUSE_BOUND_MS = 200;

    /** The refusal must be back before the deadline; the slowest hop within a region takes a few milliseconds. */
    private static final long ASK_BEFORE_DEADLINE_MS = 100;

    private final GuardDirectory directory;
    private final TargetChooser chooser;
    private final RandomGenerator random;
    private final MonotonicClock clock;
    private final EventLog log;
    private final int maxQueuedPerService;
    private final Map<String, ServiceState> services = new HashMap<>();
    private final Set<PendingCall> pending = new LinkedHashSet<>();
    private final GuardMessenger messenger;
    private int queued;

    /** Constructs a router over the guards of {@code directory}. */
    public CallRouter(
            GuardDirectory directory,
            String zone,
            int maxQueuedPerService,
            RandomGenerator random,
            MonotonicClock clock,
            EventLog log) {
        this.directory = directory;
        this.chooser = new TargetChooser(zone);
        this.maxQueuedPerService = maxQueuedPerService;
        this.random = random;
        this.clock = clock;
        this.log = log;
        this.messenger = new GuardMessenger(clock);
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
            finish(call, request.isBound() ? new CallAnswer.Unknown(call.id(), full) : notRun(call, full));
        } else if (request.isBound()) {
            submitBound(call);
        } else if (request.refusal() != null) {
            finish(call, notRun(call, request.refusal()));
        } else {
            serviceOf(request.service()).retries().recordCall();
            submitFree(call);
        }
    }

    /** Makes an id that is bound to one guard of the service. */
    public Result<String> mintId(String service) {
        List<Candidate> candidates = findCandidates(service, null);
        if (candidates.isEmpty()) {
            return Result.err(CallProblems.noTarget(service));
        }
        // An id may be used much later, so that it is bound even when no slot is free now.
        Candidate chosen =
                chooser.choose(candidates, random).orElseGet(() -> candidates.get(random.nextInt(candidates.size())));
        GuardSession guard = directory.find(chosen.id()).orElseThrow();
        return Result.ok(RequestId.mintForCaller(
                        chosen.id(), guard.view().incarnation(), guard.tickMs(), random.nextLong(), random.nextLong())
                .format());
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
        ServiceState service = serviceOf(call.request().service());
        service.recordResult(guard.view().guardId(), result, clock.nowMs(), log);
        if (call.phase() == PendingCall.Phase.SENT && call.correlationId() == correlationId) {
            conclude(call, result, call.attempts() == 1 && result.isRepeated());
        }
        drainQueues(guard);
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
                    send(call);
                }
            }
            default -> receiveAbsent(call, result);
        }
    }

    /** A guard said hello; its pending calls are asked for again. */
    public void connectGuard(GuardSession guard) {
        refreshTargets(guard.view().service());
        for (PendingCall call : List.copyOf(pending)) {
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
        List<PendingCall> waiting =
                serviceOf(guard.view().service()).drainBound(guard.view().guardId());
        queued -= waiting.size();
        for (PendingCall call : List.copyOf(pending)) {
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
        ServiceState service = serviceOf(guard.view().service());
        if (!service.isTarget(guard.view().guardId())) {
            refreshTargets(guard.view().service());
        }
        if (guard.isReady()) {
            drainQueues(guard);
            return;
        }
        List<PendingCall> waiting = service.drainBound(guard.view().guardId());
        queued -= waiting.size();
        waiting.forEach(call -> refuseAtGuard(call, CallProblems.leaving(guard)));
    }

    /** A guard was forgotten. */
    public void removeGuard(GuardSession guard) {
        refreshTargets(guard.view().service());
    }

    /** Gives up what cannot be answered in time; to be called every few milliseconds. */
    public void tick() {
        long nowMs = clock.nowMs();
        for (ServiceState service : services.values()) {
            List<PendingCall> late = service.expire(nowMs);
            queued -= late.size();
            late.forEach(call -> giveUpQueued(call, service));
        }
        for (PendingCall call : List.copyOf(pending)) {
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
        return queued;
    }

    /** Tells whether a target is ejected. */
    public boolean isEjected(GuardSession guard) {
        return !serviceOf(guard.view().service()).isAvailable(guard.view().guardId(), clock.nowMs());
    }

    /*
     * Helpers: sending
     */

    private void submitBound(PendingCall call) {
        if (!(RequestId.parse(call.id()) instanceof Result.Ok<RequestId>(RequestId id))) {
            finish(call, notRun(call, Problem.of(ErrorCode.BAD_REQUEST, "malformed request id " + call.id())));
            return;
        }
        GuardSession guard = directory.find(id.guardId()).orElse(null);
        if (guard == null) {
            finish(
                    call,
                    new CallAnswer.Elsewhere(
                            Problem.of(ErrorCode.GUARD_UNREACHABLE, "guard " + id.guardId() + " is not known here")
                                    .withRetryAfterMs(CallProblems.DEFAULT_RETRY_AFTER_MS)));
            return;
        }
        call.bind(guard, call.id());
        if (guard.view().incarnation() > id.incarnation()) {
            finish(call, new CallAnswer.Unknown(call.id(), CallProblems.restarted(id)));
        } else if (!guard.isConnected() || guard.view().incarnation() < id.incarnation()) {
            call.markDisconnected(Math.min(call.request().deadlineMs(), clock.nowMs() + GUARD_RETURN_MS));
        } else if (call.refusal() != null) {
            refuseAtGuard(call, call.refusal());
        } else if (!guard.isReady()) {
            refuseAtGuard(call, CallProblems.leaving(guard));
        } else if (guard.load() < guard.slots()) {
            send(call);
        } else {
            queueBound(call, guard);
        }
    }

    private void queueBound(PendingCall call, GuardSession guard) {
        ServiceState service = serviceOf(guard.view().service());
        call.markQueued();
        if (service.offerBound(guard, call, clock.nowMs())) {
            queued++;
        } else {
            refuseAtGuard(call, service.noCapacity(guard.view().guardId(), guard.slots()));
        }
    }

    private void submitFree(PendingCall call) {
        String name = call.request().service();
        List<Candidate> candidates = findCandidates(name, call.guard());
        Optional<Candidate> chosen = chooser.choose(candidates, random);
        ServiceState service = serviceOf(name);
        if (chosen.isPresent()) {
            GuardSession guard = directory.find(chosen.get().id()).orElseThrow();
            call.bind(
                    guard,
                    RequestId.mintForOneCall(
                                    chosen.get().id(),
                                    guard.view().incarnation(),
                                    guard.tickMs(),
                                    random.nextLong(),
                                    random.nextLong())
                            .format());
            send(call);
        } else if (call.request().mayLeaveRegion() && call.attempts() == 0) {
            finish(call, new CallAnswer.Elsewhere(CallProblems.noTarget(name)));
        } else if (candidates.isEmpty()) {
            finish(call, notRun(call, CallProblems.noTarget(name)));
        } else {
            int slots = candidates.stream().mapToInt(Candidate::slots).sum();
            call.markQueued();
            if (service.offerFree(call, slots, clock.nowMs())) {
                queued++;
            } else {
                finish(call, notRun(call, service.noCapacity("", slots)));
            }
        }
    }

    private List<Candidate> findCandidates(String service, GuardSession excluded) {
        long nowMs = clock.nowMs();
        ServiceState state = serviceOf(service);
        List<Candidate> candidates = new ArrayList<>();
        for (String guardId : state.targets()) {
            GuardSession guard = directory.find(guardId).orElse(null);
            if (guard != null
                    && guard != excluded
                    && guard.view().service().equals(service)
                    && guard.isReady()
                    && state.isAvailable(guardId, nowMs)) {
                candidates.add(new Candidate(guardId, guard.view().vm().zone().name(), guard.slots(), guard.load()));
            }
        }
        return candidates;
    }

    private void send(PendingCall call) {
        GuardSession guard = call.guard();
        serviceOf(call.request().service()).recordSend(guard.view().guardId(), clock.nowMs());
        guard.addOutstanding();
        call.markSent(messenger.sendCall(guard, call));
    }

    private void drainQueues(GuardSession guard) {
        ServiceState service = serviceOf(guard.view().service());
        while (guard.isReady() && guard.load() < guard.slots()) {
            Optional<PendingCall> next = service.pollBound(guard.view().guardId());
            if (next.isPresent()) {
                queued--;
                send(next.get());
                continue;
            }
            Optional<PendingCall> free = service.pollFree();
            if (free.isEmpty()) {
                return;
            }
            queued--;
            submitFree(free.get());
            if (free.get().phase() == PendingCall.Phase.QUEUED) {
                return;
            }
        }
    }

    /*
     * Helpers: answers
     */

    private void conclude(PendingCall call, CallResult result, boolean isRepetition) {
        if (result.getOutcome() == Outcome.RUN) {
            finish(call, new CallAnswer.Answered(call.id(), result, isRepetition));
            return;
        }
        boolean isNotRun = result.getOutcome() == Outcome.NOT_RUN;
        if (!isNotRun) {
            call.noteMaybeRan();
        }
        boolean isFull = isNotRun && CallResults.toCode(result) == ErrorCode.NO_CAPACITY;
        if (tryMove(call) || isFull && tryWaitAgain(call)) {
            return;
        }
        Problem problem = CallResults.toProblem(result);
        finish(call, isNotRun ? notRun(call, problem) : new CallAnswer.Unknown(call.id(), problem));
    }

    private boolean tryMove(PendingCall call) {
        boolean inTime = clock.nowMs() < call.request().deadlineMs();
        if (!call.mayMove() || call.attempts() >= MAX_ATTEMPTS || !inTime) {
            return false;
        }
        if (findCandidates(call.request().service(), call.guard()).isEmpty()
                || !serviceOf(call.request().service()).retries().tryRetry()) {
            return false;
        }
        submitFree(call);
        return true;
    }

    /**
     * Queues a call that a full guard refused. It is sent again only when a slot is known to be free, so that this
     * cannot multiply an overload as a retry could.
     */
    private boolean tryWaitAgain(PendingCall call) {
        ServiceState service = serviceOf(call.request().service());
        int slots = service.knownSlots(directory);
        boolean waits = call.mayMove()
                && call.attempts() < MAX_ATTEMPTS
                && slots > 0
                && service.offerFree(call, slots, clock.nowMs());
        if (waits) {
            call.bind(null, "");
            call.markQueued();
            queued++;
        }
        return waits;
    }

    private void finishRefused(PendingCall call, ResolveResult result) {
        if (call.mayMove() && tryMove(call)) {
            return;
        }
        finish(call, notRun(call, CallProblems.refused(call, result)));
    }

    private void concludeDone(PendingCall call, ResolveResult result) {
        if (result.getResult() == null) {
            Problem dropped = Problem.of(ErrorCode.TARGET_FAILED, "the call ran, and its answer is no longer kept");
            finish(call, new CallAnswer.Unknown(call.id(), dropped));
            return;
        }
        // Once this entry has sent the call, the stored answer may be of that very execution.
        conclude(call, result.getResult(), call.attempts() == 0);
    }

    /** The guard does not know the id. It keeps all ids that it could still run, so that sending again is safe. */
    private void receiveAbsent(PendingCall call, ResolveResult result) {
        if (call.phase() == PendingCall.Phase.RESOLVING) {
            send(call);
        } else if (call.phase() == PendingCall.Phase.REFUSING) {
            Problem problem = result.getResult() == null
                    ? Problem.of(ErrorCode.REQUEST_ID_EXPIRED, "the guard no longer knows the id")
                    : CallResults.toProblem(result.getResult());
            finish(call, new CallAnswer.Unknown(call.id(), problem));
        }
    }

    private void refuseAtGuard(PendingCall call, Problem problem) {
        call.markRefusing(messenger.sendResolve(call.guard(), call, true), problem);
    }

    private void reconnect(PendingCall call) {
        if (call.refusal() != null) {
            refuseAtGuard(call, call.refusal());
        } else {
            call.markResolving(messenger.sendResolve(call.guard(), call, false));
        }
    }

    private void end(PendingCall call, Problem problem) {
        if (call.attempts() > 0) {
            call.noteMaybeRan();
        }
        if (tryMove(call)) {
            return;
        }
        finish(call, new CallAnswer.Unknown(call.id(), problem));
    }

    private void giveUpQueued(PendingCall call, ServiceState service) {
        if (call.request().isBound()) {
            refuseAtGuard(
                    call,
                    service.noCapacity(
                            call.guard().view().guardId(), call.guard().slots()));
        } else {
            finish(call, notRun(call, service.noCapacity("", service.knownSlots(directory))));
        }
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
        finish(call, new CallAnswer.Unknown(call.id(), problem));
    }

    private void finish(PendingCall call, CallAnswer answer) {
        if (call.phase() == PendingCall.Phase.DONE) {
            return;
        }
        pending.remove(call);
        if (messenger.forgetCall(call)) {
            call.guard().removeOutstanding();
        }
        if (answer instanceof CallAnswer.Unknown unknown) {
            log.emit(
                    EntryEvent.OUTCOME_UNKNOWN,
                    "request",
                    call.id(),
                    "code",
                    unknown.problem().code());
        }
        call.answer(answer);
    }

    /** An earlier attempt whose outcome is not known makes the whole call unknown. */
    private static CallAnswer notRun(PendingCall call, Problem problem) {
        return call.maybeRan() ? new CallAnswer.Unknown(call.id(), problem) : new CallAnswer.NotRun(call.id(), problem);
    }

    /*
     * Helpers: look-ups
     */

    private ServiceState serviceOf(String name) {
        return services.computeIfAbsent(name, key -> new ServiceState(maxQueuedPerService));
    }

    private void refreshTargets(String service) {
        serviceOf(service).retainTargets(directory, service);
    }

    private static boolean isAt(PendingCall call, GuardSession guard) {
        return call.guard().view().guardId().equals(guard.view().guardId());
    }

    private static boolean isBoundTo(PendingCall call, GuardSession guard) {
        return RequestId.parse(call.id()) instanceof Result.Ok<RequestId> ok
                && ok.value().incarnation() == guard.view().incarnation();
    }
}
