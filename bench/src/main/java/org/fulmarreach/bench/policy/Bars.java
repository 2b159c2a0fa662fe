package org.fulmarreach.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.function.DoublePredicate;

/** The acceptance criteria of section 1.6 of docs/design.md that virtual time can measure. */
final class Bars {
    private static final List<String> NOISY = List.of("noisy", "noisy-association");
    private static final List<String> PLACEABLE = List.of(
            "steady",
            "load-shift",
            "wrong-sizes",
            "never-runs",
            "failing-worker",
            "cancel-wave",
            "lost-worker",
            "lost-rack",
            "lost-zone",
            "link-full");

    private final List<Run> runs;
    private final List<String> rows = new ArrayList<>();

    Bars(List<Run> runs) {
        this.runs = runs;
    }

    /** Returns the rows of a table: bar, scenario, measured figure, verdict. */
    List<String> evaluate() {
        for (String name : NOISY) {
            ratio(
                    "p99 under noisy waves over that without batch <= 1.5",
                    find(name, Policy.FULMARREACH),
                    find(name, Policy.NO_BATCH),
                    Bars::p99,
                    value -> value <= 1.5);
            ratio(
                    "batch throughput over that with no protection >= 0.85",
                    find(name, Policy.FULMARREACH),
                    find(name, Policy.UNTHROTTLED),
                    run -> run.measures().batchCoreMs,
                    value -> value >= 0.85);
            ratio(
                    "evictions over evict-at-first-contention <= 0.25",
                    find(name, Policy.FULMARREACH),
                    find(name, Policy.EVICT_FIRST),
                    run -> run.measures().evictions,
                    value -> value <= 0.25);
        }
        Run failing = find("failing-worker", Policy.FULMARREACH);
        if (failing != null) {
            long on = failing.measures().startsOnFailing;
            long all = failing.measures().startsWhileFailing;
            row("starts on a failing worker from 30 s <= 1%", failing, on / (double) Math.max(1, all), v -> v <= 0.01);
        }
        Run never = find("never-runs", Policy.FULMARREACH);
        if (never != null) {
            row("starts of a job that can never run <= 3", never, never.maxHopelessStarts(), v -> v <= 3);
            row("  of these, a second one on a VM (1 = yes)", never, never.hopelessRepeats() ? 1 : 0, v -> v == 0);
        }
        for (String name : PLACEABLE) {
            Run run = find(name, Policy.FULMARREACH);
            if (run != null) {
                row("deadlines met = 100%", run, run.deadlines().part(), v -> v >= 1);
            }
        }
        Run twice = find("twice-capacity", Policy.FULMARREACH);
        if (twice != null) {
            row("calls in time over what capacity allows >= 95%", twice, twice.findUsefulSlots(), v -> v >= 0.95);
        }
        runs.stream()
                .filter(run -> run.policy() == Policy.FULMARREACH)
                .max((a, b) -> Double.compare(a.findOwnLinkPart(), b.findOwnLinkPart()))
                .ifPresent(run ->
                        row("own traffic over the region link <= 5%", run, run.findOwnLinkPart(), v -> v <= 0.05));
        return rows;
    }

    private static double p99(Run run) {
        return run.measures().p99Ms();
    }

    private Run find(String scenario, Policy policy) {
        return runs.stream()
                .filter(run -> run.scenario().name().equals(scenario) && run.policy() == policy)
                .findFirst()
                .orElse(null);
    }

    private interface Figure {
        double of(Run run);
    }

    private void ratio(String bar, Run run, Run reference, Figure figure, DoublePredicate met) {
        if (run != null && reference != null) {
            double base = figure.of(reference);
            double value = figure.of(run) == 0 && base == 0 ? 0 : figure.of(run) / base;
            row(bar, run, value, met);
        }
    }

    private void row(String bar, Run run, double value, DoublePredicate met) {
        Objects.requireNonNull(run);
        rows.add(String.format(
                Locale.ROOT,
                "| %s | %s | %.4f | %s |",
                bar,
                run.scenario().name(),
                value,
                met.test(value) ? "met" : "NOT MET"));
    }
}
