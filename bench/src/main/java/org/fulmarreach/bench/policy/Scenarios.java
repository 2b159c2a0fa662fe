package org.fulmarreach.bench.policy;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** The scenarios. They are not tuned to pass: an unmet criterion is a finding about the decision classes. */
final class Scenarios {
    private static final long DURATION_MS = 720_000;
    private static final long FAULT_MS = 300_000;
    private static final double HOME_FRACTION = 8.0 / 11;
    private static final double HALF_CAPACITY = 0.5;
    private static final int MIN_LAG_MS = 5_000;
    private static final int MAX_LAG_MS = 30_000;
    private static final WorkMix NOISY = new WorkMix(0.9, 0.2, 1, 0, 150_000);
    private static final WorkMix WRONG_DECLARATIONS = new WorkMix(0.3, 0, 5, 0, 50_000);
    private static final WorkMix ALWAYS_FAILING = new WorkMix(0.45, 0, 1, 0.02, 150_000);
    private static final Consumer<Simulation> NO_FAULT = simulation -> {};

    private static final Set<Policy> TARGET_CHOICE_BASELINES = EnumSet.of(Policy.RANDOM, Policy.FEWEST);
    private static final Set<Policy> ALL_POLICIES = EnumSet.allOf(Policy.class);

    static final List<Scenario> ALL = List.of(
            construct("steady", WorkMix.STEADY, NO_FAULT).withBaselines(ALL_POLICIES),
            construct("load-shift", Scenarios::shiftLoad, WorkMix.STEADY, NO_FAULT)
                    .withBaselines(TARGET_CHOICE_BASELINES),
            construct("noisy", NOISY, NO_FAULT).withBaselines(ALL_POLICIES),
            constructNoisyAssociation().withBaselines(ALL_POLICIES),
            construct("wrong-sizes", WRONG_DECLARATIONS, NO_FAULT).withBaselines(Policy.DECLARED),
            construct("never-runs", ALWAYS_FAILING, NO_FAULT),
            construct("failing-worker", WorkMix.STEADY, at(simulation -> simulation.failWorker("vm-4")))
                    .withBaselines(TARGET_CHOICE_BASELINES),
            construct("cancel-wave", WorkMix.STEADY, at(Scenarios::cancelBatchWorks)),
            construct("lost-worker", WorkMix.STEADY, at(simulation -> simulation.loseVm(simulation.findVm("vm-1"))))
                    .withBaselines(TARGET_CHOICE_BASELINES),
            construct("lost-rack", WorkMix.STEADY, at(Scenarios::loseRack)).withBaselines(TARGET_CHOICE_BASELINES),
            construct("lost-zone", WorkMix.STEADY, at(Scenarios::loseZone)).withBaselines(TARGET_CHOICE_BASELINES),
            construct("link-full", Scenarios::shiftLoad, WorkMix.STEADY, Simulation::saturateLink)
                    .withBaselines(TARGET_CHOICE_BASELINES),
            constructStoreDown(),
            constructOverload("twice-capacity", 2).withBaselines(TARGET_CHOICE_BASELINES),
            constructOverload("thrice-capacity", 3).withBaselines(TARGET_CHOICE_BASELINES));

    private Scenarios() {}

    private static Scenario construct(String name, WorkMix mix, Consumer<Simulation> faults) {
        return construct(name, constant(HALF_CAPACITY), mix, faults);
    }

    private static Scenario construct(String name, Scenario.Load load, WorkMix mix, Consumer<Simulation> faults) {
        return construct(name, Site.KREIDEKISTE, DURATION_MS, load, mix, faults);
    }

    private static Scenario construct(
            String name, Site site, long durationMs, Scenario.Load load, WorkMix mix, Consumer<Simulation> faults) {
        return new Scenario(name, site, durationMs, load, mix, MIN_LAG_MS, MAX_LAG_MS, faults, Set.of());
    }

    private static Scenario constructNoisyAssociation() {
        return construct("noisy-association", Site.ASSOCIATION, DURATION_MS, constant(HALF_CAPACITY), NOISY, NO_FAULT);
    }

    private static Scenario constructStoreDown() {
        return construct(
                "store-down",
                Site.KREIDEKISTE,
                1_500_000,
                constant(HALF_CAPACITY),
                WorkMix.STEADY,
                Scenarios::stopStore);
    }

    private static Scenario constructOverload(String name, double factor) {
        return construct(name, Site.KREIDEKISTE, 360_000, constant(factor), WorkMix.STEADY, NO_FAULT);
    }

    private static Consumer<Simulation> at(Consumer<Simulation> fault) {
        return simulation -> simulation.timeline.at(FAULT_MS, () -> fault.accept(simulation));
    }

    private static Scenario.Load constant(double total) {
        return (nowMs, home) -> total * (home ? HOME_FRACTION : 1 - HOME_FRACTION);
    }

    /** The far region's fraction of the calls rises to 70% within three minutes, more than its slots can serve. */
    private static double shiftLoad(long nowMs, boolean home) {
        double progress = Math.clamp((nowMs - FAULT_MS) / 180_000.0, 0, 1);
        double homeFraction = HOME_FRACTION + progress * (0.3 - HOME_FRACTION);
        return HALF_CAPACITY * (home ? homeFraction : 1 - homeFraction);
    }

    private static void loseRack(Simulation simulation) {
        simulation.vms.values().stream()
                .filter(vm -> vm.vm.rack().equals("rack-0"))
                .forEach(simulation::loseVm);
    }

    private static void loseZone(Simulation simulation) {
        simulation.loseZone(simulation.scenario.site().secondZone());
    }

    private static void cancelBatchWorks(Simulation simulation) {
        for (Work work : simulation.works.values()) {
            if (!work.standing() && simulation.faultRandom.nextDouble() < 0.3) {
                simulation.cancelled.add(work.name());
                simulation.workNodes.forEach(node -> node.cancel(work.name()));
            }
        }
    }

    private static void stopStore(Simulation simulation) {
        simulation.timeline.at(FAULT_MS, () -> simulation.log.down = true);
        simulation.timeline.at(FAULT_MS + 600_000, () -> simulation.log.down = false);
    }
}
