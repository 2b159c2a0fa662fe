package org.fulmarreach.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.fulmarreach.core.model.Resources;

/**
 * How much work of which kind a scenario has. Immutable.
 *
 * @param demand mean processors of batch work over those of the region's VMs
 * @param noisyPart part of the batch works whose load comes in waves and harms the service
 * @param wrongBy factor by which declared sizes and run times are wrong, up or down; 1 for right ones
 * @param hopelessPart part of the batch works that can never run
 * @param maxRuntimeMs longest true run time
 */
record WorkMix(double demand, double noisyPart, double wrongBy, double hopelessPart, long maxRuntimeMs) {
    static final WorkMix STEADY = new WorkMix(0.45, 0, 1, 0, 150_000);

    private static final long EVERY_MS = 300_000;
    private static final long WITHIN_MS = 270_000;
    private static final long MIN_RUNTIME_MS = 30_000;
    private static final double QUIET_HARM = 0.02;
    private static final int STANDING_PER_REGION = 3;

    /** Constructs the works of a site from a seed. */
    List<Work> construct(Site site, long seed) {
        Random random = new Random(seed);
        List<Work> works = new ArrayList<>();
        for (String region : List.of(site.homeRegion(), site.farRegion())) {
            long vms = site.constructVms().stream()
                    .filter(vm -> vm.zone().region().name().equals(region))
                    .count();
            double wanted = demand * vms * site.vmCapacity().milliCores();
            double sum = 0;
            while (sum < wanted) {
                Work work = constructBatch(region, works.size(), site, random);
                works.add(work);
                sum += work.size().milliCores() * (double) work.runtimeMs() / EVERY_MS;
            }
            for (int i = 0; i < STANDING_PER_REGION; i++) {
                works.add(constructStanding(region, i));
            }
        }
        return works;
    }

    private Work constructBatch(String region, int number, Site site, Random random) {
        // The sizes grow with the VM: an eighth at most, so that several tasks share one.
        int unit = site.vmCapacity().milliCores() / 32;
        int cores = Math.max(1, (1 + random.nextInt(4)) * unit / 1_000);
        long memoryMb = cores * 1_024L * (1 + random.nextInt(3));
        long runtimeMs = MIN_RUNTIME_MS + random.nextInt((int) (maxRuntimeMs - MIN_RUNTIME_MS) / 1_000) * 1_000L;
        boolean noisy = random.nextDouble() < noisyPart;
        boolean hopeless = random.nextDouble() < hopelessPart;
        double harm = noisy ? 0.5 + random.nextDouble() : QUIET_HARM;
        // Noisy work arrives in two waves in each interval, the other work at any time.
        long atMs = noisy ? random.nextInt(2) * EVERY_MS / 2 : random.nextInt((int) EVERY_MS / 1_000) * 1_000L;
        double sizeFactor = random.nextBoolean() ? wrongBy : 1 / wrongBy;
        double timeFactor = random.nextBoolean() ? wrongBy : 1 / wrongBy;
        long declaredMs = Math.min(WITHIN_MS, Math.round(runtimeMs * timeFactor / 1_000) * 1_000);
        String name = (noisy ? "laut-" : "plan-") + region + "-" + number;
        String line = String.format(
                "batch %s region=%s every=%ds at=%ds within=%ds runtime=%ds cores=%d memory=%dM # %s: bench",
                name,
                region,
                EVERY_MS / 1_000,
                atMs / 1_000,
                WITHIN_MS / 1_000,
                Math.max(1, declaredMs / 1_000),
                Math.max(1, Math.round(cores * sizeFactor)),
                Math.max(1, Math.round(memoryMb * sizeFactor)),
                site.name());
        Resources size = new Resources(cores * 1_000, memoryMb, 0);
        return new Work(name, region, size, runtimeMs, harm, noisy, hopeless, random.nextInt(60_000), line);
    }

    private static Work constructStanding(String region, int number) {
        String name = "packer-sync-" + region + "-" + number;
        String line = "standing " + name + " region=" + region + " cores=1 memory=2G # kreidekiste: bench";
        return new Work(name, region, new Resources(1_000, 2_048, 0), 0, 0, false, false, 0, line);
    }
}
