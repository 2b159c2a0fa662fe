package org.fulmarreach.bench.policy;

import java.util.List;
import java.util.function.Consumer;

/** The scenarios by name. They are fixed: a bar that is not met is a finding about the decisions. */
final class Scenarios {
    private static final long DURATION_MS = 900_000;
    private static final long FAULT_MS = 300_000;
    private static final double HOME_PART = 8.0 / 11;
    private static final double HALF = 0.5;
    private static final int MIN_LAG_MS = 5_000;
    private static final int MAX_LAG_MS = 30_000;
    private static final WorkMix NOISY = new WorkMix(0.9, 0.2, 1, 0, 150_000);
    private static final WorkMix WRONG = new WorkMix(0.3, 0, 5, 0, 50_000);
    private static final WorkMix HOPELESS = new WorkMix(0.45, 0, 1, 0.02, 150_000);
    private static final Consumer<World> NO_FAULT = world -> {};

    static final List<Scenario> ALL = List.of(
            construct("steady", WorkMix.STEADY, NO_FAULT),
            construct("load-shift", Scenarios::shift, WorkMix.STEADY, NO_FAULT),
            construct("noisy", NOISY, NO_FAULT),
            new Scenario(
                    "noisy-association",
                    Site.ASSOCIATION,
                    DURATION_MS,
                    constant(HALF),
                    NOISY,
                    MIN_LAG_MS,
                    MAX_LAG_MS,
                    NO_FAULT),
            construct("wrong-sizes", WRONG, NO_FAULT),
            construct("never-runs", HOPELESS, NO_FAULT),
            construct(
                    "failing-worker",
                    WorkMix.STEADY,
                    world -> world.timeline.at(FAULT_MS, () -> world.failWorker("vm-4"))),
            construct("cancel-wave", WorkMix.STEADY, Scenarios::cancel),
            construct(
                    "lost-worker",
                    WorkMix.STEADY,
                    world -> world.timeline.at(FAULT_MS, () -> world.loseVm(world.findVm("vm-1")))),
            construct("lost-rack", WorkMix.STEADY, Scenarios::loseRack),
            construct(
                    "lost-zone",
                    WorkMix.STEADY,
                    world -> world.timeline.at(
                            FAULT_MS, () -> world.loseZone(world.scenario.site().secondZone()))),
            construct("link-full", Scenarios::shift, WorkMix.STEADY, World::fillLink),
            new Scenario(
                    "store-down",
                    Site.KREIDEKISTE,
                    1_500_000,
                    constant(HALF),
                    WorkMix.STEADY,
                    MIN_LAG_MS,
                    MAX_LAG_MS,
                    Scenarios::stopStore),
            constructOverload("twice-capacity", 2),
            constructOverload("thrice-capacity", 3));

    private Scenarios() {}

    private static Scenario construct(String name, WorkMix mix, Consumer<World> faults) {
        return construct(name, constant(HALF), mix, faults);
    }

    private static Scenario construct(String name, Scenario.Load load, WorkMix mix, Consumer<World> faults) {
        return new Scenario(name, Site.KREIDEKISTE, DURATION_MS, load, mix, MIN_LAG_MS, MAX_LAG_MS, faults);
    }

    private static Scenario constructOverload(String name, double factor) {
        return new Scenario(
                name, Site.KREIDEKISTE, 420_000, constant(factor), WorkMix.STEADY, MIN_LAG_MS, MAX_LAG_MS, NO_FAULT);
    }

    private static Scenario.Load constant(double total) {
        return (nowMs, home) -> total * (home ? HOME_PART : 1 - HOME_PART);
    }

    /** The far region's part of the calls rises to 70% within three minutes, more than its own slots serve. */
    private static double shift(long nowMs, boolean home) {
        double progress = Math.clamp((nowMs - FAULT_MS) / 180_000.0, 0, 1);
        double homePart = HOME_PART + progress * (0.3 - HOME_PART);
        return HALF * (home ? homePart : 1 - homePart);
    }

    private static void loseRack(World world) {
        world.timeline.at(
                FAULT_MS,
                () -> world.vms.values().stream()
                        .filter(vm -> vm.vm.rack().equals("rack-0"))
                        .forEach(world::loseVm));
    }

    private static void cancel(World world) {
        world.timeline.at(FAULT_MS, () -> {
            for (Work work : world.works.values()) {
                if (!work.standing() && world.faultRandom.nextDouble() < 0.3) {
                    world.cancelled.add(work.name());
                    world.workFronts.forEach(front -> front.cancel(work.name()));
                }
            }
        });
    }

    private static void stopStore(World world) {
        world.timeline.at(FAULT_MS, () -> world.log.down = true);
        world.timeline.at(FAULT_MS + 600_000, () -> world.log.down = false);
    }
}
