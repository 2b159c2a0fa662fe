package org.fulmarreach.entry.calls;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.routing.CallQueue;
import org.fulmarreach.core.routing.OutlierEjection;
import org.fulmarreach.core.routing.RetryBudget;
import org.fulmarreach.core.routing.ServiceTime;
import org.fulmarreach.entry.EntryEvent;
import org.fulmarreach.entry.guards.GuardDirectory;
import org.fulmarreach.entry.guards.GuardSession;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.protocol.thrift.Outcome;
import org.fulmarreach.runtime.log.EventLog;

/** State of one service: its targets, their health, its queues and service time. Owned by {@link CallRouter}. */
final class ServiceState {
    private static final double INITIAL_SERVICE_MS = 20;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final int maxQueued;
    private final CallQueue<PendingCall> unbound;
    private final Map<String, CallQueue<PendingCall>> boundByGuard = new HashMap<>();
    private final OutlierEjection ejection = new OutlierEjection();
    private final RetryBudget retries = new RetryBudget();
    private final ServiceTime serviceTime = new ServiceTime(INITIAL_SERVICE_MS);
    private Set<String> targets = Set.of();

    ServiceState(int maxQueued) {
        this.maxQueued = maxQueued;
        this.unbound = new CallQueue<>(maxQueued);
    }

    RetryBudget retries() {
        return retries;
    }

    Set<String> targets() {
        return targets;
    }

    boolean isTarget(String guardId) {
        return targets.contains(guardId);
    }

    void updateTargets(GuardDirectory directory, String service) {
        Set<String> current = new LinkedHashSet<>();
        for (GuardSession guard : directory.all()) {
            if (guard.view().service().equals(service)) {
                current.add(guard.view().guardId());
            }
        }
        targets = current;
        ejection.setTargets(current);
        boundByGuard.entrySet().removeIf(each -> each.getValue().size() == 0 && !current.contains(each.getKey()));
    }

    int sumUsableSlots(GuardDirectory directory) {
        return targets.stream()
                .map(directory::find)
                .flatMap(Optional::stream)
                .filter(GuardSession::isReady)
                .mapToInt(GuardSession::usableSlots)
                .sum();
    }

    boolean isAvailable(String guardId, long nowMs) {
        return ejection.isAvailable(guardId, nowMs);
    }

    void recordSend(String guardId, long nowMs) {
        ejection.recordSend(guardId, nowMs);
    }

    void recordResult(String guardId, CallResult result, long nowMs, EventLog log) {
        boolean ran = result.getOutcome() == Outcome.RUN;
        if (ran && !result.isRepeated()) {
            serviceTime.record(result.getServiceMs());
        }
        // A refusal because no slot is free or the target is draining does not indicate a fault of the target.
        ErrorCode code = ran ? null : CallResults.toCode(result);
        boolean isRefusal = result.getOutcome() == Outcome.NOT_RUN
                && code != ErrorCode.TARGET_FAILED
                && code != ErrorCode.NO_TARGET;
        boolean success = ran && result.getStatus() < MIN_SERVER_ERROR_STATUS;
        if (!isRefusal && ejection.record(guardId, success, nowMs)) {
            log.emit(EntryEvent.TARGET_EJECTED, "guard", guardId);
        }
    }

    boolean offerUnbound(PendingCall call, int slots, long nowMs) {
        return unbound.offer(call, call.request().deadlineMs(), slots, countBound(), serviceTime.estimateMs(), nowMs);
    }

    boolean offerBound(GuardSession guard, PendingCall call, long nowMs) {
        CallQueue<PendingCall> queue =
                boundByGuard.computeIfAbsent(guard.view().guardId(), key -> new CallQueue<>(maxQueued));
        // Unbound calls are spread over all targets, so this guard serves its share of those in the queue.
        int ahead = unbound.size() / Math.max(1, targets.size());
        return queue.offer(
                call, call.request().deadlineMs(), guard.usableSlots(), ahead, serviceTime.estimateMs(), nowMs);
    }

    private int countBound() {
        return boundByGuard.values().stream().mapToInt(CallQueue::size).sum();
    }

    /** Removes and returns the longest-waiting call that the guard may serve. */
    Optional<PendingCall> poll(String guardId) {
        CallQueue<PendingCall> bound = boundByGuard.get(guardId);
        boolean isBoundFirst = bound != null && bound.oldestQueuedAtMs() <= unbound.oldestQueuedAtMs();
        return isBoundFirst && bound.size() > 0 ? bound.poll() : unbound.poll();
    }

    List<PendingCall> drainBound(String guardId) {
        CallQueue<PendingCall> queue = boundByGuard.get(guardId);
        return queue == null ? List.of() : queue.drain();
    }

    List<PendingCall> expire(long nowMs) {
        List<PendingCall> expired = new ArrayList<>(unbound.expire(serviceTime.estimateMs(), nowMs));
        for (CallQueue<PendingCall> queue : boundByGuard.values()) {
            expired.addAll(queue.expire(serviceTime.estimateMs(), nowMs));
        }
        return expired;
    }

    Problem noCapacity(String guardId, int slots) {
        CallQueue<PendingCall> queue = boundByGuard.getOrDefault(guardId, unbound);
        return Problem.of(
                        ErrorCode.NO_CAPACITY,
                        queue.size() + " calls are queued for " + slots + " slots; another one would miss its deadline")
                .withRetryAfterMs(queue.estimateRetryDelayMs(slots, serviceTime.estimateMs()));
    }
}
