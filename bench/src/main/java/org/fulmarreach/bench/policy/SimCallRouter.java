package org.fulmarreach.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.fulmarreach.core.routing.CallQueue;
import org.fulmarreach.core.routing.Candidate;
import org.fulmarreach.core.routing.OutlierEjection;
import org.fulmarreach.core.routing.RetryBudget;
import org.fulmarreach.core.routing.ServiceTime;
import org.fulmarreach.core.routing.TargetChooser;

/**
 * Simulates the call routing of one entry. It applies the decision classes of {@code core.routing} in the same order as
 * the entry's router. Baseline policies replace the choice of the target and admission.
 */
final class SimCallRouter {
    private static final int MAX_QUEUED = 256;
    private static final int MAX_ATTEMPTS = 3;
    private static final double INITIAL_SERVICE_MS = 20;
    private static final long HOP_MS = 1;
    private static final long SILENCE_TIMEOUT_MS = 2_000;
    static final int REQUEST_BYTES = 2_300;
    static final int ANSWER_BYTES = 4_300;

    final String zone;
    final boolean home;
    boolean crashed;
    private final Simulation simulation;
    private final Random random;
    private final TargetChooser chooser;
    private final CallQueue<Call> unboundQueue = new CallQueue<>(MAX_QUEUED);
    private final Map<SimVm, CallQueue<Call>> queuesByGuard = new HashMap<>();
    private final OutlierEjection ejection = new OutlierEjection();
    private final RetryBudget retryBudget = new RetryBudget();
    private final ServiceTime serviceTime = new ServiceTime(INITIAL_SERVICE_MS);
    private final Map<String, GuardView> views = new LinkedHashMap<>();
    private final Map<SimCallRouter, Integer> remoteFreeSlots = new LinkedHashMap<>();

    /** State of one guard as seen by the entry. */
    private static final class GuardView {
        private final SimVm guard;
        private int outstanding;
        private int otherSlotsInUse;
        private long lastHeartbeatMs;

        GuardView(SimVm guard) {
            this.guard = guard;
        }

        int load() {
            return outstanding + otherSlotsInUse;
        }
    }

    SimCallRouter(Simulation simulation, String zone, boolean home, long seed) {
        this.simulation = simulation;
        this.zone = zone;
        this.home = home;
        this.random = new Random(seed);
        this.chooser = new TargetChooser(zone);
    }

    // Heartbeats of guards and summaries of peers

    void receiveHeartbeat(SimVm guard, int slotsInUse) {
        String id = guard.vm.id();
        GuardView view = views.get(id);
        if (view == null) {
            view = new GuardView(guard);
            views.put(id, view);
            updateEjectionTargets();
        }
        view.lastHeartbeatMs = simulation.timeline.nowMs();
        view.otherSlotsInUse = Math.max(0, slotsInUse - view.outstanding);
        sendQueuedCalls(view);
    }

    /** Stores the number of free slots that an entry of the other region reports. */
    void receiveSummary(SimCallRouter peer, int freeSlots) {
        remoteFreeSlots.put(peer, freeSlots);
    }

    int findFreeSlots() {
        return views.values().stream()
                .mapToInt(view -> Math.max(0, Site.SLOTS - view.load()))
                .sum();
    }

    /** Refuses queued calls that can no longer meet their deadline and removes guards without recent heartbeats. */
    void tick() {
        long nowMs = simulation.timeline.nowMs();
        unboundQueue.expire(serviceTime.estimateMs(), nowMs).forEach(this::refuse);
        for (CallQueue<Call> queue : queuesByGuard.values()) {
            queue.expire(serviceTime.estimateMs(), nowMs).forEach(this::refuse);
        }
        if (views.values().removeIf(view -> nowMs - view.lastHeartbeatMs > SILENCE_TIMEOUT_MS)) {
            updateEjectionTargets();
        }
    }

    private void updateEjectionTargets() {
        Set<String> ids = new HashSet<>(views.keySet());
        ejection.setTargets(ids);
    }

    // Calls

    /** Accepts a call from a caller. */
    void submit(Call call) {
        call.origin = this;
        call.handler = this;
        if (!simulation.policy.admitsCalls()) {
            chooseWithoutAdmission().ifPresentOrElse(view -> send(call, view), () -> refuse(call));
        } else if (call.idempotent) {
            retryBudget.recordFirstAttempt();
            submitUnbound(call, true, null);
        } else {
            submitBound(call);
        }
    }

    private Optional<GuardView> chooseWithoutAdmission() {
        List<GuardView> all = new ArrayList<>(views.values());
        if (all.isEmpty()) {
            return Optional.empty();
        }
        GuardView best = all.get(random.nextInt(all.size()));
        if (simulation.policy == Policy.FEWEST) {
            for (GuardView view : all) {
                best = view.outstanding < best.outstanding ? view : best;
            }
        }
        return Optional.of(best);
    }

    private void submitUnbound(Call call, boolean mayForward, SimVm excluded) {
        List<Candidate> candidates = findCandidates(excluded);
        Optional<Candidate> chosen = chooser.choose(candidates, random);
        if (chosen.isPresent()) {
            send(call, views.get(chosen.get().id()));
            return;
        }
        if (mayForward && call.attempts == 0 && forward(call)) {
            return;
        }
        int slots = candidates.stream().mapToInt(Candidate::slots).sum();
        boolean queued = slots > 0
                && unboundQueue.offer(
                        call, call.deadlineMs, slots, serviceTime.estimateMs(), simulation.timeline.nowMs());
        if (!queued) {
            refuse(call);
        }
    }

    /** A non-idempotent call is bound to the guard that issued its request id; the id is requested just before. */
    private void submitBound(Call call) {
        List<Candidate> candidates = findCandidates(null);
        if (candidates.isEmpty()) {
            refuse(call);
            return;
        }
        Candidate chosen =
                chooser.choose(candidates, random).orElseGet(() -> candidates.get(random.nextInt(candidates.size())));
        GuardView view = views.get(chosen.id());
        if (view.load() < Site.SLOTS) {
            send(call, view);
            return;
        }
        CallQueue<Call> queue = queuesByGuard.computeIfAbsent(view.guard, guard -> new CallQueue<>(MAX_QUEUED));
        if (!queue.offer(call, call.deadlineMs, Site.SLOTS, serviceTime.estimateMs(), simulation.timeline.nowMs())) {
            refuse(call);
        }
    }

    private List<Candidate> findCandidates(SimVm excluded) {
        long nowMs = simulation.timeline.nowMs();
        List<Candidate> candidates = new ArrayList<>();
        for (GuardView view : views.values()) {
            String id = view.guard.vm.id();
            if (view.guard != excluded && ejection.isAvailable(id, nowMs)) {
                candidates.add(new Candidate(id, view.guard.vm.zone().name(), Site.SLOTS, view.load()));
            }
        }
        return candidates;
    }

    private boolean forward(Call call) {
        for (Map.Entry<SimCallRouter, Integer> peer : remoteFreeSlots.entrySet()) {
            SimCallRouter other = peer.getKey();
            if (peer.getValue() > 0 && !other.crashed) {
                peer.setValue(peer.getValue() - 1);
                call.handler = other;
                simulation.link(home).sendCall(REQUEST_BYTES, () -> other.submitUnbound(call, false, null));
                return true;
            }
        }
        return false;
    }

    private void send(Call call, GuardView view) {
        call.attempts++;
        call.guard = view.guard;
        view.outstanding++;
        ejection.recordSend(view.guard.vm.id(), simulation.timeline.nowMs());
        simulation.timeline.after(HOP_MS, () -> view.guard.receive(call));
    }

    void receiveRefusal(SimVm guard, Call call) {
        GuardView view = views.get(guard.vm.id());
        if (view != null) {
            view.outstanding = Math.max(0, view.outstanding - 1);
        }
        boolean inTime = simulation.timeline.nowMs() < call.deadlineMs;
        boolean mayRetry = call.idempotent && call.attempts < MAX_ATTEMPTS && inTime;
        if (mayRetry && !findCandidates(guard).isEmpty() && retryBudget.tryAcquireRetry()) {
            submitUnbound(call, false, guard);
        } else {
            simulation.measures.refusedAtGuard++;
            refuse(call);
        }
    }

    void receiveResult(SimVm guard, Call call, long serviceMs, boolean success) {
        GuardView view = views.get(guard.vm.id());
        serviceTime.record(serviceMs);
        ejection.record(guard.vm.id(), success, simulation.timeline.nowMs());
        if (view != null) {
            view.outstanding = Math.max(0, view.outstanding - 1);
        }
        respond(call, () -> simulation.endCall(call, success, serviceMs));
        if (view != null) {
            sendQueuedCalls(view);
        }
    }

    private void sendQueuedCalls(GuardView view) {
        CallQueue<Call> own = queuesByGuard.get(view.guard);
        String id = view.guard.vm.id();
        while (view.load() < Site.SLOTS) {
            Optional<Call> next = own == null ? Optional.empty() : own.poll();
            if (next.isEmpty() && ejection.isAvailable(id, simulation.timeline.nowMs())) {
                next = unboundQueue.poll();
            }
            if (next.isEmpty()) {
                return;
            }
            send(next.get(), view);
        }
    }

    private void refuse(Call call) {
        respond(call, () -> simulation.refuseCall(call));
    }

    private void respond(Call call, Runnable end) {
        if (call.origin == this || crashed) {
            end.run();
        } else {
            simulation.link(home).sendCall(ANSWER_BYTES, end);
        }
    }
}
