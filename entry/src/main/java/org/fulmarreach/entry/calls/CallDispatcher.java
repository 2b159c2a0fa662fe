package org.fulmarreach.entry.calls;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.request.RequestId;
import org.fulmarreach.core.routing.Candidate;
import org.fulmarreach.core.routing.TargetChooser;
import org.fulmarreach.entry.guards.GuardDirectory;
import org.fulmarreach.entry.guards.GuardSession;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Selects a guard for each call and sends the call to it, at once or from a queue when a slot becomes free. Holds the
 * queues and the target health of each service. Not thread-safe; owned by {@link CallRouter}.
 */
final class CallDispatcher {
    private static final int MAX_ATTEMPTS = 3;

    private final GuardDirectory directory;
    private final TargetChooser chooser;
    private final int maxQueuedPerService;
    private final RandomGenerator random;
    private final MonotonicClock clock;
    private final GuardMessenger messenger;
    private final PendingCalls pending;
    private final Map<String, ServiceState> services = new HashMap<>();
    private int queued;

    CallDispatcher(
            GuardDirectory directory,
            String zone,
            int maxQueuedPerService,
            RandomGenerator random,
            MonotonicClock clock,
            GuardMessenger messenger,
            PendingCalls pending) {
        this.directory = directory;
        this.chooser = new TargetChooser(zone);
        this.maxQueuedPerService = maxQueuedPerService;
        this.random = random;
        this.clock = clock;
        this.messenger = messenger;
        this.pending = pending;
    }

    /*
     * Calls
     */

    /** Submits a call that any target of its service may run. */
    void submitUnbound(PendingCall call) {
        serviceOf(call.request().service()).retries().recordFirstAttempt();
        dispatch(call);
    }

    /** Submits a call whose request id is bound to one guard. */
    void submitBound(PendingCall call) {
        if (!(RequestId.parse(call.id()) instanceof Result.Ok<RequestId>(RequestId id))) {
            pending.finishNotRun(call, Problem.of(ErrorCode.BAD_REQUEST, "malformed request id " + call.id()));
            return;
        }
        GuardSession guard = directory.find(id.guardId()).orElse(null);
        if (guard == null) {
            pending.finish(
                    call,
                    new CallAnswer.NotRoutable(Problem.of(
                                    ErrorCode.GUARD_UNREACHABLE,
                                    "guard " + id.guardId() + " is not registered at this entry")
                            .withRetryAfterMs(CallProblems.DEFAULT_RETRY_AFTER_MS)));
            return;
        }
        call.bind(guard, call.id());
        if (guard.view().incarnation() > id.incarnation()) {
            pending.finishUnknown(call, CallProblems.restarted(id));
        } else if (!guard.isConnected() || guard.view().incarnation() < id.incarnation()) {
            call.markDisconnected(
                    Math.min(call.request().deadlineMs(), clock.nowMs() + CallRouter.GUARD_RECONNECT_TIMEOUT_MS));
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

    /** Mints a request id that is bound to one guard of the service. */
    Result<String> mintId(String service) {
        List<Candidate> candidates = findCandidates(service, null);
        if (candidates.isEmpty()) {
            return Result.err(CallProblems.noTarget(service));
        }
        // The id may be used much later, so a guard is selected even if none has a free slot now.
        Candidate selected =
                chooser.choose(candidates, random).orElseGet(() -> candidates.get(random.nextInt(candidates.size())));
        GuardSession guard = directory.find(selected.id()).orElseThrow();
        return Result.ok(RequestId.mintForCaller(
                        selected.id(), guard.view().incarnation(), guard.tickMs(), random.nextLong(), random.nextLong())
                .format());
    }

    /** Sends a call to the guard that it is bound to. */
    void send(PendingCall call) {
        GuardSession guard = call.guard();
        serviceOf(call.request().service()).recordSend(guard.view().guardId(), clock.nowMs());
        guard.addOutstanding();
        call.markSent(messenger.sendCall(guard, call));
    }

    /** Asks the guard of a call to refuse it; the call is answered with {@code problem} once the guard has done so. */
    void refuseAtGuard(PendingCall call, Problem problem) {
        call.markRefusing(messenger.sendResolve(call.guard(), call, true), problem);
    }

    /**
     * Retries a call on another target if it is retryable, its deadline has not passed, and the attempt limit and the
     * retry budget permit it.
     *
     * @return whether the call was dispatched again; it may have got its final answer in doing so
     */
    boolean tryOtherTarget(PendingCall call) {
        boolean isBeforeDeadline = clock.nowMs() < call.request().deadlineMs();
        if (!call.isRetryable() || call.attempts() >= MAX_ATTEMPTS || !isBeforeDeadline) {
            return false;
        }
        if (findCandidates(call.request().service(), call.guard()).isEmpty()
                || !serviceOf(call.request().service()).retries().tryAcquireRetry()) {
            return false;
        }
        dispatch(call);
        return true;
    }

    /**
     * Queues a call that its guard refused because all slots are in use. It is sent again only when a slot is reported
     * free, so unlike an immediate retry this does not amplify an overload.
     *
     * @return whether the call was queued
     */
    boolean tryRequeue(PendingCall call) {
        ServiceState service = serviceOf(call.request().service());
        int slots = service.sumUsableSlots(directory);
        boolean isQueued = call.isRetryable()
                && call.attempts() < MAX_ATTEMPTS
                && slots > 0
                && service.offerUnbound(call, slots, clock.nowMs());
        if (isQueued) {
            call.bind(null, "");
            call.markQueued();
            queued++;
        }
        return isQueued;
    }

    /*
     * Queues and targets
     */

    /** Sends queued calls while the guard has free slots, the longest-waiting first. */
    void drainQueues(GuardSession guard) {
        ServiceState service = serviceOf(guard.view().service());
        while (guard.isReady() && guard.load() < guard.slots()) {
            Optional<PendingCall> next = service.poll(guard.view().guardId());
            if (next.isEmpty()) {
                return;
            }
            queued--;
            PendingCall call = next.get();
            if (call.request().isBound()) {
                send(call);
                continue;
            }
            dispatch(call);
            if (call.phase() == PendingCall.Phase.QUEUED) {
                return;
            }
        }
    }

    /** Removes and returns the queued calls that are bound to a guard. */
    List<PendingCall> drainBound(GuardSession guard) {
        List<PendingCall> waiting =
                serviceOf(guard.view().service()).drainBound(guard.view().guardId());
        queued -= waiting.size();
        return waiting;
    }

    /** Rejects queued calls that can no longer meet their deadline. */
    void expireQueues(long nowMs) {
        for (ServiceState service : services.values()) {
            List<PendingCall> expired = service.expire(nowMs);
            queued -= expired.size();
            expired.forEach(call -> rejectExpired(call, service));
        }
    }

    int countQueued() {
        return queued;
    }

    void recordResult(String service, GuardSession guard, CallResult result, EventLog log) {
        serviceOf(service).recordResult(guard.view().guardId(), result, clock.nowMs(), log);
    }

    void refreshTargets(String service) {
        serviceOf(service).updateTargets(directory, service);
    }

    boolean isTarget(GuardSession guard) {
        return serviceOf(guard.view().service()).isTarget(guard.view().guardId());
    }

    boolean isEjected(GuardSession guard) {
        return !serviceOf(guard.view().service()).isAvailable(guard.view().guardId(), clock.nowMs());
    }

    /*
     * Helpers
     */

    private void queueBound(PendingCall call, GuardSession guard) {
        ServiceState service = serviceOf(guard.view().service());
        call.markQueued();
        if (service.offerBound(guard, call, clock.nowMs())) {
            queued++;
        } else {
            refuseAtGuard(call, service.noCapacity(guard.view().guardId(), guard.slots()));
        }
    }

    /**
     * Sends a call to a target of its service with a free slot. If there is none, queues the call or answers it as not
     * run.
     */
    private void dispatch(PendingCall call) {
        String name = call.request().service();
        List<Candidate> candidates = findCandidates(name, call.guard());
        Optional<Candidate> selected = chooser.choose(candidates, random);
        ServiceState service = serviceOf(name);
        if (selected.isPresent()) {
            GuardSession guard = directory.find(selected.get().id()).orElseThrow();
            call.bind(
                    guard,
                    RequestId.mintForOneCall(
                                    selected.get().id(),
                                    guard.view().incarnation(),
                                    guard.tickMs(),
                                    random.nextLong(),
                                    random.nextLong())
                            .format());
            send(call);
        } else if (call.request().mayForward() && call.attempts() == 0) {
            pending.finish(call, new CallAnswer.NotRoutable(CallProblems.noTarget(name)));
        } else if (candidates.isEmpty()) {
            pending.finishNotRun(call, CallProblems.noTarget(name));
        } else {
            int slots = Math.max(1, service.sumUsableSlots(directory));
            call.markQueued();
            if (service.offerUnbound(call, slots, clock.nowMs())) {
                queued++;
            } else {
                pending.finishNotRun(call, service.noCapacity("", slots));
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

    private void rejectExpired(PendingCall call, ServiceState service) {
        if (call.request().isBound()) {
            refuseAtGuard(
                    call,
                    service.noCapacity(
                            call.guard().view().guardId(), call.guard().slots()));
        } else {
            pending.finishNotRun(call, service.noCapacity("", service.sumUsableSlots(directory)));
        }
    }

    private ServiceState serviceOf(String name) {
        return services.computeIfAbsent(name, key -> new ServiceState(maxQueuedPerService));
    }
}
