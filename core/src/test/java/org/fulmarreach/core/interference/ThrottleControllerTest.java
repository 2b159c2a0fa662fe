package org.fulmarreach.core.interference;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.LongToDoubleFunction;

import org.fulmarreach.core.model.TaskId;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a controller that oscillates, keeps tasks throttled for no reason, or evicts before throttling. */
class ThrottleControllerTest {
    private static final int WINDOW_MS = 2_000;
    private static final String SERVICE = "bestellung";

    /** A VM under virtual time whose latency follows the shares of its tasks after a lag. */
    private static final class Machine {
        final ThrottleController controller = new ThrottleController(ThrottleSettings.DEFAULT);
        final Map<TaskId, LongToDoubleFunction> harms = new TreeMap<>(java.util.Comparator.comparing(TaskId::work));
        final Deque<Double> lagging = new ArrayDeque<>();
        final Random random = new Random(5);
        final List<Double> p99s = new ArrayList<>();
        final List<TaskId> evictions = new ArrayList<>();
        final Map<TaskId, List<Double>> shares = new java.util.HashMap<>();
        long nowMs;

        /** Runs windows with the given lag between shares and latency. */
        void run(int windows, int lagWindows) {
            for (int i = 0; i < windows; i++) {
                nowMs += WINDOW_MS;
                double slowdown = 1;
                List<RunningTask> running = new ArrayList<>();
                for (TaskId task : harms.keySet()) {
                    // Harm begins at a share of 0.3, where caches and memory bandwidth are contended.
                    slowdown += harms.get(task).applyAsDouble(nowMs) * Math.max(0, controller.share(task) - 0.3);
                    running.add(new RunningTask(task, 2_000, 20_000));
                }
                lagging.add(slowdown);
                double seen = lagging.size() > lagWindows ? lagging.poll() : lagging.peek();
                double p99Ms = 20 * seen * (0.97 + 0.06 * random.nextDouble());
                p99s.add(p99Ms);
                ThrottleDecision decision =
                        controller.onWindow(nowMs, new WindowStats(SERVICE, p99Ms, 200, 0.5), running);
                decision.evict().ifPresent(evictions::add);
                harms.keySet()
                        .forEach(task -> shares.computeIfAbsent(task, t -> new ArrayList<>())
                                .add(controller.share(task)));
            }
        }

        double goodPart(int lastWindows) {
            return p99s.subList(p99s.size() - lastWindows, p99s.size()).stream()
                            .filter(p99Ms -> p99Ms <= 1.5 * 20)
                            .count()
                    / (double) lastWindows;
        }

        double meanShare(TaskId task, int lastWindows) {
            List<Double> all = shares.get(task);
            return all.subList(all.size() - lastWindows, all.size()).stream()
                    .mapToDouble(share -> share)
                    .average()
                    .orElseThrow();
        }

        int reversals(TaskId task, int lastWindows) {
            List<Double> all = shares.get(task);
            int reversals = 0;
            int direction = 0;
            for (int i = all.size() - lastWindows + 1; i < all.size(); i++) {
                int next = Double.compare(all.get(i), all.get(i - 1));
                if (next != 0 && next != direction) {
                    reversals += direction == 0 ? 0 : 1;
                    direction = next;
                }
            }
            return reversals;
        }
    }

    private static TaskId task(String work) {
        return new TaskId(work, 0, 1);
    }

    @Example
    void laggingNoisyTaskSettlesWithoutOscillation() {
        for (int lagWindows : new int[] {0, 2, 5}) {
            Machine machine = new Machine();
            machine.run(30, lagWindows);
            machine.harms.put(task("noisy"), now -> 2);
            machine.run(300, lagWindows);
            String seen = "lag " + lagWindows + ": good " + machine.goodPart(240) + ", share "
                    + machine.meanShare(task("noisy"), 240) + ", reversals " + machine.reversals(task("noisy"), 240);
            assertTrue(machine.goodPart(240) >= 0.95, seen);
            assertTrue(machine.meanShare(task("noisy"), 240) >= 0.3, seen);
            assertTrue(machine.reversals(task("noisy"), 240) <= 12, seen);
            assertEquals(List.of(), machine.evictions, seen);
        }
    }

    @Example
    void harmlessTaskKeepsItsThroughputBesideANoisyOne() {
        Machine machine = new Machine();
        machine.run(30, 1);
        machine.harms.put(task("noisy"), now -> 2);
        machine.harms.put(task("quiet"), now -> 0);
        machine.run(300, 1);
        String seen = "quiet " + machine.meanShare(task("quiet"), 200) + ", noisy "
                + machine.meanShare(task("noisy"), 200) + ", good " + machine.goodPart(200);
        assertTrue(machine.meanShare(task("quiet"), 200) >= 0.9, seen);
        assertTrue(machine.goodPart(200) >= 0.95, seen);
    }

    @Example
    void throughputRecoversAfterTheNoise() {
        Machine machine = new Machine();
        machine.run(30, 1);
        machine.harms.put(task("wave"), now -> now < 200_000 ? 3 : 0);
        machine.run(60, 1);
        assertTrue(machine.controller.share(task("wave")) < 0.7);
        machine.run(220, 1);
        assertEquals(1, machine.controller.share(task("wave")), 1e-9);
    }

    @Example
    void evictionIsAskedForOnlyAfterThirtySecondsAtTheLowestShare() {
        Machine machine = new Machine();
        machine.run(30, 0);
        // The latency stays high at the lowest share, but throttling did lower it.
        machine.harms.put(task("heavy"), now -> 1);
        long startMs = machine.nowMs;
        ThrottleController controller = machine.controller;
        long evictMs = 0;
        long lowestMs = 0;
        for (long nowMs = startMs; nowMs < startMs + 120_000 && evictMs == 0; nowMs += WINDOW_MS) {
            double p99Ms = 20 * (1 + 8 * controller.share(task("heavy")));
            ThrottleDecision decision = controller.onWindow(
                    nowMs,
                    new WindowStats(SERVICE, p99Ms, 200, 0.5),
                    List.of(new RunningTask(task("heavy"), 8_000, 20_000)));
            lowestMs = lowestMs == 0 && controller.share(task("heavy")) <= 0.1 ? nowMs : lowestMs;
            evictMs = decision.evict().isPresent() ? nowMs : 0;
        }
        assertTrue(evictMs >= lowestMs + 30_000 && lowestMs > 0, "lowest " + lowestMs + ", evict " + evictMs);
    }

    @Example
    void higherLoadWithoutBatchIsNotBlamedOnHarmlessTasks() {
        Machine machine = new Machine();
        machine.run(30, 0);
        List<RunningTask> running = List.of(new RunningTask(task("quiet"), 2_000, 20_000));
        int evictions = 0;
        for (int i = 0; i < 150; i++) {
            machine.nowMs += WINDOW_MS;
            evictions += machine.controller
                    .onWindow(machine.nowMs, new WindowStats(SERVICE, 40, 200, 0.5), running)
                    .evict()
                    .map(task -> 1)
                    .orElse(0);
        }
        assertEquals(0, evictions);
        assertEquals(1, machine.controller.share(task("quiet")), 1e-9);
    }

    @Example
    void scatterOfAPercentileOfFewCallsIsNotBlamedOnHarmlessTasks() {
        Random random = new Random(7);
        ThrottleController controller = new ThrottleController(ThrottleSettings.DEFAULT);
        List<RunningTask> running = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            running.add(new RunningTask(task("quiet-" + i), 4_000, 20_000));
        }
        double sum = 0;
        int evictions = 0;
        int windows = 450;
        for (int i = 1; i <= windows; i++) {
            double highestMs = 0;
            for (int call = 0; call < 90; call++) {
                highestMs = Math.max(highestMs, 80 * Math.exp(0.45 * random.nextGaussian()));
            }
            WindowStats stats = new WindowStats(SERVICE, highestMs, 90, 0.5);
            ThrottleDecision decision = controller.onWindow((long) i * WINDOW_MS, stats, running);
            evictions += decision.evict().isPresent() ? 1 : 0;
            for (RunningTask task : running) {
                sum += controller.share(task.task()) / running.size() / windows;
            }
        }
        assertEquals(0, evictions);
        assertTrue(sum >= 0.95, "mean share " + sum);
    }
}
