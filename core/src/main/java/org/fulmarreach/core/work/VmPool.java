package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleBiFunction;
import java.util.random.RandomGenerator;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.Vm;

/**
 * The VMs that work can be placed on in one planning step, with what is free on each. Not thread-safe; lives for one
 * step.
 */
final class VmPool {
    /** The best of this many VMs is nearly as good as the best of thousands, at a fraction of the cost. */
    private static final int SAMPLED_VMS = 64;

    /** Bounds the time of one step; each reservation looks at all VMs. */
    private static final int MAX_RESERVATIONS = 32;

    private static final double RISK_WEIGHT = 4;
    private static final double HARM_WEIGHT = 2;

    /** Small enough to decide only between equals; leaders of other shards then choose other VMs. */
    private static final double NOISE = 0.05;

    private static final class Room {
        private final GuardReport report;
        private final boolean ejected;
        private Resources free;

        Room(GuardReport report, boolean ejected) {
            this.report = report;
            this.ejected = ejected;
            this.free = report.free();
        }
    }

    private final Map<String, Room> rooms = new HashMap<>();
    private final List<Room> roomList = new ArrayList<>();
    private final Map<String, Integer> tasksByRack = new HashMap<>();
    private final Map<String, Integer> tasksByZone = new HashMap<>();
    private final List<Vm> known = new ArrayList<>();
    private final List<Resources> sizesWithoutRoom = new ArrayList<>();
    private final StartHealth health;
    private final ToDoubleBiFunction<String, String> harm;
    private final RandomGenerator random;
    private int tasks;
    private int reservations;
    private Resources totalFree = Resources.NONE;

    VmPool(
            Collection<GuardSlot> guards,
            StartHealth health,
            ToDoubleBiFunction<String, String> harm,
            RandomGenerator random,
            long nowMs) {
        this.health = health;
        this.harm = harm;
        this.random = random;
        int ejected = 0;
        for (GuardSlot slot : guards) {
            GuardReport report = slot.report();
            if (!slot.isReachable(nowMs)) {
                continue;
            }
            known.add(report.vm());
            report.tasks().forEach(task -> {
                if (!task.phase().isFinal()) {
                    count(report.vm());
                }
            });
            if (!report.ready()) {
                continue;
            }
            boolean usable = health.isUsable(report.vm().id(), nowMs);
            // With most VMs ejected the cause is hardly the VMs, so at most half of them are left out.
            if (!usable && ++ejected * 2 <= guards.size()) {
                continue;
            }
            Room room = new Room(report, !usable);
            roomList.add(room);
            rooms.put(report.vm().id(), room);
            totalFree = totalFree.plus(report.free());
        }
    }

    /** Takes room that the last heartbeat does not show as taken. */
    void take(String vm, Resources size) {
        Room room = rooms.get(vm);
        if (room != null) {
            room.free = room.free.minus(size);
            totalFree = totalFree.minus(size);
            count(room.report.vm());
        }
    }

    Resources totalFree() {
        return totalFree;
    }

    /** Tells whether no VM is reachable. */
    boolean isEmpty() {
        return known.isEmpty();
    }

    /** Tells whether any VM that is reachable could hold the size when empty. */
    boolean hasCapacityFor(Resources size, List<String> excluded) {
        return known.stream().anyMatch(vm -> !excluded.contains(vm.id()) && size.fitsInto(vm.capacity()));
    }

    /** Returns the VM to place a run on; null when there is none with room. */
    GuardReport choose(String work, Resources size, List<String> excluded, long nowMs) {
        // Thousands of runs may wait; a size that is no smaller than one without room needs no search.
        if (sizesWithoutRoom.stream().anyMatch(failed -> failed.fitsInto(size))) {
            return null;
        }
        Room best = null;
        if (roomList.size() > SAMPLED_VMS) {
            best = findBest(drawSample(), work, size, excluded, nowMs);
        }
        if (best == null) {
            best = findBest(roomList, work, size, excluded, nowMs);
        }
        if (best == null && excluded.isEmpty()) {
            sizesWithoutRoom.removeIf(size::fitsInto);
            sizesWithoutRoom.add(size);
        }
        return best == null ? null : best.report;
    }

    /**
     * Keeps the VM with the most room for a run that fits nowhere now. Without it, smaller runs take each room that
     * becomes free, and a large one waits until its deadline has passed.
     */
    void reserve(Resources size, List<String> excluded, long nowMs) {
        if (reservations++ >= MAX_RESERVATIONS) {
            return;
        }
        Room widest = null;
        for (Room room : roomList) {
            Vm vm = room.report.vm();
            boolean possible = size.fitsInto(vm.capacity()) && !excluded.contains(vm.id());
            boolean wider = widest == null || room.free.milliCores() > widest.free.milliCores();
            if (possible && wider && (room.ejected || health.isUsable(vm.id(), nowMs))) {
                widest = room;
            }
        }
        if (widest != null) {
            widest.free = widest.free.minus(size);
            totalFree = totalFree.minus(size);
        }
    }

    // Helpers

    private List<Room> drawSample() {
        List<Room> sample = new ArrayList<>(SAMPLED_VMS);
        for (int i = 0; i < SAMPLED_VMS; i++) {
            sample.add(roomList.get(random.nextInt(roomList.size())));
        }
        return sample;
    }

    private Room findBest(List<Room> searched, String work, Resources size, List<String> excluded, long nowMs) {
        Room best = null;
        double bestScore = Double.MAX_VALUE;
        for (Room room : searched) {
            String id = room.report.vm().id();
            boolean usable = room.ejected || health.isUsable(id, nowMs);
            if (!size.fitsInto(room.free) || excluded.contains(id) || !usable) {
                continue;
            }
            double score = score(room, work, size);
            if (score < bestScore) {
                best = room;
                bestScore = score;
            }
        }
        return best;
    }

    private double score(Room room, String work, Resources size) {
        Vm vm = room.report.vm();
        double rackShare = tasksByRack.getOrDefault(vm.rack(), 0) / (double) Math.max(1, tasks);
        double zoneShare = tasksByZone.getOrDefault(vm.zone().name(), 0) / (double) Math.max(1, tasks);
        Resources left = room.free.minus(size);
        double used = 1 - left.milliCores() / (double) Math.max(1, vm.capacity().milliCores());
        return RISK_WEIGHT * health.findRisk(vm.id())
                + HARM_WEIGHT * harm.applyAsDouble(room.report.service(), work)
                + rackShare
                + zoneShare
                + used
                + NOISE * random.nextDouble();
    }

    private void count(Vm vm) {
        tasksByRack.merge(vm.rack(), 1, Integer::sum);
        tasksByZone.merge(vm.zone().name(), 1, Integer::sum);
        tasks++;
    }
}
