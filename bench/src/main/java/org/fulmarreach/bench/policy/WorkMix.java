package org.fulmarreach.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.fulmarreach.core.model.Resources;

/**
 * Amount and kinds of work in a scenario. Immutable.
 *
 * @param demand ratio of the mean CPU demand of batch work to the CPU capacity of the region's VMs
 * @param noisyFraction fraction of the batch works whose load alternates and slows the service down
 * @param declarationErrorFactor factor by which declared sizes and run times are too high or too low; 1 if exact
 * @param failingFraction fraction of the batch works that fail on every VM
 * @param maxRuntimeMs longest actual run time
 */
record WorkMix(
        double demand, double noisyFraction, double declarationErrorFactor, double failingFraction, long maxRuntimeMs) {
    static final WorkMix STEADY = new WorkMix(0.45, 0, 1, 0, 150_000);

    private static final long INTERVAL_MS = 300_000;
    private static final long RELATIVE_DEADLINE_MS = 270_000;
    private static final long MIN_RUNTIME_MS = 30_000;
    private static final double QUIET_INTERFERENCE = 0.02;
    private static final int STANDING_PER_REGION = 3;

    /** Constructs the works of a site; the same seed gives the same works. */
    List<Work> construct(Site site, long seed) {
        Random random = new Random(seed);
        List<Work> works = new ArrayList<>();
        for (String region : List.of(site.homeRegion(), site.farRegion())) {
            long vms = site.constructVms().stream()
                    .filter(vm -> vm.zone().region().name().equals(region))
                    .count();
            double demandMilliCores = demand * vms * site.vmCapacity().milliCores();
            double plannedMilliCores = 0;
            while (plannedMilliCores < demandMilliCores) {
                Work work = constructBatch(region, works.size(), site, random);
                works.add(work);
                plannedMilliCores += work.size().milliCores() * (double) work.runtimeMs() / INTERVAL_MS;
            }
            for (int i = 0; i < STANDING_PER_REGION; i++) {
                works.add(constructStanding(region, i));
            }
        }
        return works;
    }

    private Work constructBatch(String region, int number, Site site, Random random) {
        // Sizes scale with the VM and are at most an eighth of it, so that several tasks share a VM.
        int unit = site.vmCapacity().milliCores() / 32;
        int cores = Math.max(1, (1 + random.nextInt(4)) * unit / 1_000);
        long memoryMb = cores * 1_024L * (1 + random.nextInt(3));
        long runtimeMs = MIN_RUNTIME_MS + random.nextInt((int) (maxRuntimeMs - MIN_RUNTIME_MS) / 1_000) * 1_000L;
        boolean noisy = random.nextDouble() < noisyFraction;
        boolean alwaysFails = random.nextDouble() < failingFraction;
        double interference = noisy ? 0.5 + random.nextDouble() : QUIET_INTERFERENCE;
        // Noisy work starts at two instants of each interval, other work at any second of it.
        long atMs = noisy ? random.nextInt(2) * INTERVAL_MS / 2 : random.nextInt((int) INTERVAL_MS / 1_000) * 1_000L;
        double sizeFactor = random.nextBoolean() ? declarationErrorFactor : 1 / declarationErrorFactor;
        double timeFactor = random.nextBoolean() ? declarationErrorFactor : 1 / declarationErrorFactor;
        long declaredMs = Math.min(RELATIVE_DEADLINE_MS, Math.round(runtimeMs * timeFactor / 1_000) * 1_000);
        String name = (noisy ? "laut-" : "plan-") + region + "-" + number;
        String line = String.format(
                "batch %s region=%s every=%ds at=%ds within=%ds runtime=%ds cores=%d memory=%dM # %s: bench",
                name,
                region,
                INTERVAL_MS / 1_000,
                atMs / 1_000,
                RELATIVE_DEADLINE_MS / 1_000,
                Math.max(1, declaredMs / 1_000),
                Math.max(1, Math.round(cores * sizeFactor)),
                Math.max(1, Math.round(memoryMb * sizeFactor)),
                site.name());
        Resources size = new Resources(cores * 1_000, memoryMb, 0);
        return new Work(name, region, size, runtimeMs, interference, noisy, alwaysFails, random.nextInt(60_000), line);
    }

    private static Work constructStanding(String region, int number) {
        String name = "packer-sync-" + region + "-" + number;
        String line = "standing " + name + " region=" + region + " cores=1 memory=2G # kreidekiste: bench";
        return new Work(name, region, new Resources(1_000, 2_048, 0), 0, 0, false, false, 0, line);
    }
}
