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
 * The call side of an entry: the decision classes of {@code core.routing} in the order in which the entry's router
 * applies them. A baseline replaces the choice and the admission.
 */
final class CallFront {
    private static final int MAX_QUEUED = 256;
    private static final int MAX_ATTEMPTS = 3;
    private static final double INITIAL_SERVICE_MS = 20;
    private static final long HOP_MS = 1;
    private static final long SILENCE_MS = 2_000;
    static final int REQUEST_BYTES = 2_300;
    static final int ANSWER_BYTES = 4_300;

    final String zone;
    final boolean home;
    boolean dead;
    private final World world;
    private final Random random;
    private final TargetChooser chooser;
    private final CallQueue<Call> free = new CallQueue<>(MAX_QUEUED);
    private final Map<SimVm, CallQueue<Call>> bound = new HashMap<>();
    private final OutlierEjection ejection = new OutlierEjection();
    private final RetryBudget retries = new RetryBudget();
    private final ServiceTime serviceTime = new ServiceTime(INITIAL_SERVICE_MS);
    private final Map<String, View> views = new LinkedHashMap<>();
    private final Map<CallFront, Integer> farFree = new LinkedHashMap<>();

    /** What the entry knows of one guard. */
    private static final class View {
        private final SimVm guard;
        private int outstanding;
        private int foreign;
        private long seenMs;

        View(SimVm guard) {
            this.guard = guard;
        }

        int load() {
            return outstanding + foreign;
        }
    }

    CallFront(World world, String zone, boolean home, long seed) {
        this.world = world;
        this.zone = zone;
        this.home = home;
        this.random = new Random(seed);
        this.chooser = new TargetChooser(zone);
    }

    // Guards and peers

    void receiveHeartbeat(SimVm guard, int slotsInUse) {
        String id = guard.vm.id();
        View view = views.get(id);
        if (view == null) {
            view = new View(guard);
            views.put(id, view);
            retainTargets();
        }
        view.seenMs = world.timeline.nowMs();
        view.foreign = Math.max(0, slotsInUse - view.outstanding);
        drain(view);
    }

    /** Takes the free slots that an entry of the other region reports. */
    void receiveSummary(CallFront peer, int freeSlots) {
        farFree.put(peer, freeSlots);
    }

    int findFreeSlots() {
        return views.values().stream()
                .mapToInt(view -> Math.max(0, Site.SLOTS - view.load()))
                .sum();
    }

    /** Gives up late calls and drops silent guards; runs every few milliseconds. */
    void tick() {
        long nowMs = world.timeline.nowMs();
        free.expire(serviceTime.estimateMs(), nowMs).forEach(this::refuse);
        for (CallQueue<Call> queue : bound.values()) {
            queue.expire(serviceTime.estimateMs(), nowMs).forEach(this::refuse);
        }
        if (views.values().removeIf(view -> nowMs - view.seenMs > SILENCE_MS)) {
            retainTargets();
        }
    }

    private void retainTargets() {
        Set<String> ids = new HashSet<>(views.keySet());
        ejection.setTargets(ids);
    }

    // Calls

    /** Takes in a call of a caller. */
    void submit(Call call) {
        call.origin = this;
        call.handler = this;
        if (!world.policy.admitsCalls()) {
            chooseUnadmitted().ifPresentOrElse(view -> send(call, view), () -> refuse(call));
        } else if (call.idempotent) {
            retries.recordFirstAttempt();
            submitFree(call, true, null);
        } else {
            submitBound(call);
        }
    }

    private Optional<View> chooseUnadmitted() {
        List<View> all = new ArrayList<>(views.values());
        if (all.isEmpty()) {
            return Optional.empty();
        }
        View best = all.get(random.nextInt(all.size()));
        if (world.policy == Policy.FEWEST) {
            for (View view : all) {
                best = view.outstanding < best.outstanding ? view : best;
            }
        }
        return Optional.of(best);
    }

    private void submitFree(Call call, boolean mayLeave, SimVm excluded) {
        List<Candidate> candidates = findCandidates(excluded);
        Optional<Candidate> chosen = chooser.choose(candidates, random);
        if (chosen.isPresent()) {
            send(call, views.get(chosen.get().id()));
            return;
        }
        if (mayLeave && call.attempts == 0 && forward(call)) {
            return;
        }
        int slots = candidates.stream().mapToInt(Candidate::slots).sum();
        boolean queued =
                slots > 0 && free.offer(call, call.deadlineMs, slots, serviceTime.estimateMs(), world.timeline.nowMs());
        if (!queued) {
            refuse(call);
        }
    }

    /** A call that must not run twice has an id of one guard, made by the same choice a moment earlier. */
    private void submitBound(Call call) {
        List<Candidate> candidates = findCandidates(null);
        if (candidates.isEmpty()) {
            refuse(call);
            return;
        }
        Candidate chosen =
                chooser.choose(candidates, random).orElseGet(() -> candidates.get(random.nextInt(candidates.size())));
        View view = views.get(chosen.id());
        if (view.load() < Site.SLOTS) {
            send(call, view);
            return;
        }
        CallQueue<Call> queue = bound.computeIfAbsent(view.guard, guard -> new CallQueue<>(MAX_QUEUED));
        if (!queue.offer(call, call.deadlineMs, Site.SLOTS, serviceTime.estimateMs(), world.timeline.nowMs())) {
            refuse(call);
        }
    }

    private List<Candidate> findCandidates(SimVm excluded) {
        long nowMs = world.timeline.nowMs();
        List<Candidate> candidates = new ArrayList<>();
        for (View view : views.values()) {
            String id = view.guard.vm.id();
            if (view.guard != excluded && ejection.isAvailable(id, nowMs)) {
                candidates.add(new Candidate(id, view.guard.vm.zone().name(), Site.SLOTS, view.load()));
            }
        }
        return candidates;
    }

    private boolean forward(Call call) {
        for (Map.Entry<CallFront, Integer> peer : farFree.entrySet()) {
            CallFront other = peer.getKey();
            if (peer.getValue() > 0 && !other.dead) {
                peer.setValue(peer.getValue() - 1);
                call.handler = other;
                world.link(home).sendCall(REQUEST_BYTES, () -> other.submitFree(call, false, null));
                return true;
            }
        }
        return false;
    }

    private void send(Call call, View view) {
        call.attempts++;
        call.guard = view.guard;
        view.outstanding++;
        ejection.recordSend(view.guard.vm.id(), world.timeline.nowMs());
        world.timeline.after(HOP_MS, () -> view.guard.receive(call));
    }

    void receiveRefusal(SimVm guard, Call call) {
        View view = views.get(guard.vm.id());
        if (view != null) {
            view.outstanding = Math.max(0, view.outstanding - 1);
        }
        boolean inTime = world.timeline.nowMs() < call.deadlineMs;
        boolean mayMove = call.idempotent && call.attempts < MAX_ATTEMPTS && inTime;
        if (mayMove && !findCandidates(guard).isEmpty() && retries.tryAcquireRetry()) {
            submitFree(call, false, guard);
        } else {
            world.measures.refusedAtGuard++;
            refuse(call);
        }
    }

    void receiveResult(SimVm guard, Call call, long serviceMs, boolean success) {
        View view = views.get(guard.vm.id());
        serviceTime.record(serviceMs);
        ejection.record(guard.vm.id(), success, world.timeline.nowMs());
        if (view != null) {
            view.outstanding = Math.max(0, view.outstanding - 1);
        }
        answer(call, () -> world.endCall(call, success, serviceMs));
        if (view != null) {
            drain(view);
        }
    }

    private void drain(View view) {
        CallQueue<Call> own = bound.get(view.guard);
        String id = view.guard.vm.id();
        while (view.load() < Site.SLOTS) {
            Optional<Call> next = own == null ? Optional.empty() : own.poll();
            if (next.isEmpty() && ejection.isAvailable(id, world.timeline.nowMs())) {
                next = free.poll();
            }
            if (next.isEmpty()) {
                return;
            }
            send(next.get(), view);
        }
    }

    private void refuse(Call call) {
        answer(call, () -> world.refuseCall(call));
    }

    private void answer(Call call, Runnable end) {
        if (call.origin == this || dead) {
            end.run();
        } else {
            world.link(home).sendCall(ANSWER_BYTES, end);
        }
    }
}
