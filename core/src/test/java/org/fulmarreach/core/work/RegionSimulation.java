package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.rules.ParseResult;
import org.fulmarreach.core.rules.Rules;
import org.fulmarreach.core.rules.RulesParser;

/**
 * A simulated region in virtual time: one log, three entries, six VMs and a network with faults. Time advances in steps
 * of 50 ms, and after each step no run may execute twice at the same time.
 */
final class RegionSimulation {
    static final long STEP_MS = 50;
    static final String RULES = """
            standing packer-sync region=sued cores=1 memory=1G # kreidekiste: Jonas
            standing watch region=sued cores=1 memory=1G # kreidekiste: Jonas
            batch farbplan region=sued every=10m at=0s within=9m runtime=20s cores=1 memory=1G # kreidekiste: Jonas
            """;

    private record Timed(long atMs, long order, Runnable event) {}

    final Random random;
    final FakeLog log = new FakeLog();
    final Map<String, FakeEntry> entries = new TreeMap<>();
    final Map<String, FakeGuard> guards = new TreeMap<>();
    final Set<String> guardsWithoutInbound = new HashSet<>();
    final Set<String> guardsWithoutOutbound = new HashSet<>();
    final List<String> starts = new ArrayList<>();
    final WorkTimes times;
    final Rules rules;
    long nowMs;
    int failedStarts;
    double loss;
    double lateMessages;
    double lostAnswers;
    double slowAppends;
    private final PriorityQueue<Timed> events =
            new PriorityQueue<>(Comparator.comparingLong(Timed::atMs).thenComparingLong(Timed::order));
    private long order;

    RegionSimulation(long seed, WorkTimes times) {
        this.random = new Random(seed);
        this.times = times;
        this.rules = ((ParseResult.Parsed) RulesParser.parse(RULES.lines().toList())).rules();
        String[] zones = {"sued-a", "sued-b", "sued-a"};
        for (int i = 0; i < 3; i++) {
            String id = "entry-" + i;
            entries.put(id, new FakeEntry(this, id, zones[i], random.nextInt(1_000_000)));
        }
        for (int i = 0; i < 6; i++) {
            String id = "vm-" + i;
            guards.put(id, new FakeGuard(this, id, "rack-" + i / 2, zones[i % 2], random.nextInt(1_000_000)));
        }
    }

    String shardName() {
        return Shards.constructName("sued", 0);
    }

    /** Returns the simulated wall clock, which starts one minute after a run of the batch rule has become due. */
    long wallMs() {
        return 1_800_000_000_000L + 60_000 + nowMs;
    }

    void after(long delayMs, Runnable event) {
        events.add(new Timed(nowMs + delayMs, order++, event));
    }

    long delay() {
        return random.nextDouble() < lateMessages ? random.nextInt(7_000) : 1 + random.nextInt(20);
    }

    void run(long durationMs) {
        long untilMs = nowMs + durationMs;
        while (nowMs < untilMs) {
            step();
        }
    }

    FakeEntry findLeader() {
        return entries.values().stream()
                .filter(entry -> entry.isRunning() && entry.leader.isLeading())
                .max(Comparator.comparingLong(entry -> entry.leader.state().term()))
                .orElse(null);
    }

    /** Returns the VM on which a run of the work executes now, or null if there is none. */
    String findVm(String work) {
        for (FakeGuard guard : guards.values()) {
            if (guard.worker.keySet().stream().anyMatch(task -> task.work().equals(work))) {
                return guard.vm.id();
            }
        }
        return null;
    }

    void sendToGuard(FakeEntry from, String vm, GuardMessage message) {
        FakeGuard guard = guards.get(vm);
        if (isLost() || guardsWithoutInbound.contains(vm) || from.partitionedGuards.contains(vm)) {
            return;
        }
        after(delay(), () -> runWhenRunning(guard, () -> guard.receive(message)));
    }

    void sendToPeer(FakeEntry from, String to, PeerMessage message) {
        FakeEntry peer = entries.get(to);
        if (isLost() || peer.blockedPeers.contains(from.id)) {
            return;
        }
        after(delay(), () -> peer.post(() -> peer.leader.onPeerMessage(from.id, message, peer.clock())));
    }

    void onStarted(TaskId task, String vm, String checkpoint) {
        starts.add(task.toAgentId() + "@" + vm + " from " + checkpoint);
    }

    private void step() {
        nowMs += STEP_MS;
        while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
            events.poll().event().run();
        }
        for (FakeGuard guard : guards.values()) {
            guard.runWorker(STEP_MS);
            if (guard.isRunning() && nowMs % 250 == 0) {
                guard.updateTasks();
            }
            if (guard.isRunning() && nowMs % 500 == 0) {
                sendHeartbeats(guard);
            }
        }
        checkSingleExecution();
        if (nowMs % 500 == 0) {
            exchangePeerStates();
        }
        entries.values().forEach(FakeEntry::step);
    }

    private void sendHeartbeats(FakeGuard guard) {
        GuardReport report = guard.report();
        for (FakeEntry entry : entries.values()) {
            String vm = guard.vm.id();
            if (!isLost() && !guardsWithoutOutbound.contains(vm) && !entry.partitionedGuards.contains(vm)) {
                after(delay(), () -> entry.post(() -> entry.leader.onHeartbeat(report, entry.clock())));
            }
        }
    }

    private void exchangePeerStates() {
        for (FakeEntry to : entries.values()) {
            for (FakeEntry from : entries.values()) {
                boolean seen = from != to && from.isRunning() && !to.blockedPeers.contains(from.id);
                to.post(() -> {
                    if (seen) {
                        to.leader.onPeer(from.id, from.zone, false);
                    } else {
                        to.leader.onPeerLost(from.id);
                    }
                });
            }
        }
    }

    private void runWhenRunning(FakeGuard guard, Runnable input) {
        long incarnation = guard.incarnation;
        if (guard.crashed) {
            return;
        }
        if (guard.isRunning()) {
            input.run();
        } else {
            after(guard.pausedUntilMs - nowMs + STEP_MS, () -> {
                if (guard.incarnation == incarnation) {
                    runWhenRunning(guard, input);
                }
            });
        }
    }

    private boolean isLost() {
        return random.nextDouble() < loss;
    }

    private void checkSingleExecution() {
        Map<RunKey, String> running = new HashMap<>();
        for (FakeGuard guard : guards.values()) {
            for (TaskId task : guard.worker.keySet()) {
                String place = task.toAgentId() + "@" + guard.vm.id();
                String other = running.put(RunKey.of(task), place);
                if (other != null) {
                    throw new AssertionError("both " + other + " and " + place + " run at " + nowMs + " ms");
                }
            }
        }
    }
}
