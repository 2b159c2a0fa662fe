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
 * The VMs on which work can be placed in one planning step, with their free resources. Not thread-safe; used for one
 * planning step.
 */
final class VmPool {
    /** Sample size; the best VM of the sample is nearly as good as the best of thousands, at a fraction of the cost. */
    private static final int SAMPLED_VMS = 64;

    /** Limits the duration of one planning step, because each reservation scans all VMs. */
    private static final int MAX_RESERVATIONS = 32;

    private static final double RISK_WEIGHT = 4;
    private static final double INTERFERENCE_WEIGHT = 2;

    /** Small enough to break ties only, so that the leaders of different shards choose different VMs. */
    private static final double TIE_BREAK_NOISE = 0.05;

    private static final class PooledVm {
        private final GuardReport report;
        private final boolean ejected;
        private Resources free;

        PooledVm(GuardReport report, boolean ejected) {
            this.report = report;
            this.ejected = ejected;
            this.free = report.free();
        }
    }

    private final Map<String, PooledVm> vmsById = new HashMap<>();
    private final List<PooledVm> vms = new ArrayList<>();
    private final Map<String, Integer> tasksByRack = new HashMap<>();
    private final Map<String, Integer> tasksByZone = new HashMap<>();
    private final List<Vm> reachable = new ArrayList<>();
    private final List<Resources> unplaceableSizes = new ArrayList<>();
    private final StartFailureTracker health;
    private final ToDoubleBiFunction<String, String> interference;
    private final RandomGenerator random;
    private int tasks;
    private int reservations;
    private Resources totalFree = Resources.NONE;

    VmPool(
            Collection<TrackedGuard> guards,
            StartFailureTracker health,
            ToDoubleBiFunction<String, String> interference,
            RandomGenerator random,
            long nowMs) {
        this.health = health;
        this.interference = interference;
        this.random = random;
        int ejected = 0;
        for (TrackedGuard guard : guards) {
            GuardReport report = guard.report();
            if (!guard.isReachable(nowMs)) {
                continue;
            }
            reachable.add(report.vm());
            report.tasks().forEach(task -> {
                if (!task.phase().isFinal()) {
                    count(report.vm());
                }
            });
            if (!report.ready()) {
                continue;
            }
            boolean usable = health.isUsable(report.vm().id(), nowMs);
            // If most VMs are ejected, the VMs are probably not the cause, so at most half of them are left out.
            if (!usable && ++ejected * 2 <= guards.size()) {
                continue;
            }
            PooledVm pooledVm = new PooledVm(report, !usable);
            vms.add(pooledVm);
            vmsById.put(report.vm().id(), pooledVm);
            totalFree = totalFree.plus(report.free());
        }
    }

    /** Allocates resources that the last heartbeat does not report as used. */
    void allocate(String vm, Resources size) {
        PooledVm pooledVm = vmsById.get(vm);
        if (pooledVm != null) {
            pooledVm.free = pooledVm.free.minus(size);
            totalFree = totalFree.minus(size);
            count(pooledVm.report.vm());
        }
    }

    Resources totalFree() {
        return totalFree;
    }

    /** Returns whether no VM is reachable. */
    boolean isEmpty() {
        return reachable.isEmpty();
    }

    /** Returns whether any reachable VM could run a task of the given size if the VM were empty. */
    boolean hasCapacityFor(Resources size, List<String> excluded) {
        return reachable.stream().anyMatch(vm -> !excluded.contains(vm.id()) && size.fitsInto(vm.capacity()));
    }

    /** Returns the report of the VM on which to place a run, or null if no VM has enough free resources. */
    GuardReport chooseVm(String work, Resources size, List<String> excluded, long nowMs) {
        // Thousands of runs may be waiting; skip the search for a size at least as large as one that fitted nowhere.
        if (unplaceableSizes.stream().anyMatch(failed -> failed.fitsInto(size))) {
            return null;
        }
        PooledVm best = null;
        if (vms.size() > SAMPLED_VMS) {
            best = findBest(drawSample(), work, size, excluded, nowMs);
        }
        if (best == null) {
            best = findBest(vms, work, size, excluded, nowMs);
        }
        if (best == null && excluded.isEmpty()) {
            unplaceableSizes.removeIf(size::fitsInto);
            unplaceableSizes.add(size);
        }
        return best == null ? null : best.report;
    }

    /**
     * Reserves resources on the VM with the most free cores for a run that fits on no VM now. Without the reservation,
     * smaller runs use all resources as they become free, and a large run waits until its deadline has passed.
     */
    void reserve(Resources size, List<String> excluded, long nowMs) {
        if (reservations++ >= MAX_RESERVATIONS) {
            return;
        }
        PooledVm largest = null;
        for (PooledVm pooledVm : vms) {
            Vm vm = pooledVm.report.vm();
            boolean eligible = size.fitsInto(vm.capacity()) && !excluded.contains(vm.id());
            boolean larger = largest == null || pooledVm.free.milliCores() > largest.free.milliCores();
            if (eligible && larger && (pooledVm.ejected || health.isUsable(vm.id(), nowMs))) {
                largest = pooledVm;
            }
        }
        if (largest != null) {
            largest.free = largest.free.minus(size);
            totalFree = totalFree.minus(size);
        }
    }

    // Helpers

    private List<PooledVm> drawSample() {
        List<PooledVm> sample = new ArrayList<>(SAMPLED_VMS);
        for (int i = 0; i < SAMPLED_VMS; i++) {
            sample.add(vms.get(random.nextInt(vms.size())));
        }
        return sample;
    }

    private PooledVm findBest(List<PooledVm> searched, String work, Resources size, List<String> excluded, long nowMs) {
        PooledVm best = null;
        double bestScore = Double.MAX_VALUE;
        for (PooledVm pooledVm : searched) {
            String id = pooledVm.report.vm().id();
            boolean usable = pooledVm.ejected || health.isUsable(id, nowMs);
            if (!size.fitsInto(pooledVm.free) || excluded.contains(id) || !usable) {
                continue;
            }
            double score = score(pooledVm, work, size);
            if (score < bestScore) {
                best = pooledVm;
                bestScore = score;
            }
        }
        return best;
    }

    private double score(PooledVm pooledVm, String work, Resources size) {
        Vm vm = pooledVm.report.vm();
        double rackShare = tasksByRack.getOrDefault(vm.rack(), 0) / (double) Math.max(1, tasks);
        double zoneShare = tasksByZone.getOrDefault(vm.zone().name(), 0) / (double) Math.max(1, tasks);
        Resources left = pooledVm.free.minus(size);
        double used = 1 - left.milliCores() / (double) Math.max(1, vm.capacity().milliCores());
        return RISK_WEIGHT * health.findRisk(vm.id())
                + INTERFERENCE_WEIGHT * interference.applyAsDouble(pooledVm.report.service(), work)
                + rackShare
                + zoneShare
                + used
                + TIE_BREAK_NOISE * random.nextDouble();
    }

    private void count(Vm vm) {
        tasksByRack.merge(vm.rack(), 1, Integer::sum);
        tasksByZone.merge(vm.zone().name(), 1, Integer::sum);
        tasks++;
    }
}
