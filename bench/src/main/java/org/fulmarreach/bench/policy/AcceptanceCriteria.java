package org.fulmarreach.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.function.DoublePredicate;

/** Evaluates the acceptance criteria of section 1.6 of docs/design.md that a simulation can measure. */
final class AcceptanceCriteria {
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

    private final List<ScenarioResult> results;
    private final List<String> rows = new ArrayList<>();

    AcceptanceCriteria(List<ScenarioResult> results) {
        this.results = results;
    }

    /** Returns the rows of a table: criterion, scenario, measured value, verdict. */
    List<String> evaluate() {
        for (String name : NOISY) {
            addRatioRow(
                    "p99 with noisy batch work / p99 without batch <= 1.5",
                    find(name, Policy.FULMARREACH),
                    find(name, Policy.NO_BATCH),
                    AcceptanceCriteria::p99,
                    value -> value <= 1.5);
            addRatioRow(
                    "batch throughput / batch throughput without throttling >= 0.85",
                    find(name, Policy.FULMARREACH),
                    find(name, Policy.UNTHROTTLED),
                    result -> result.measures().batchCoreMs,
                    value -> value >= 0.85);
            addRatioRow(
                    "evictions / evictions of evict-at-first-contention <= 0.25",
                    find(name, Policy.FULMARREACH),
                    find(name, Policy.EVICT_FIRST),
                    result -> result.measures().evictions,
                    value -> value <= 0.25);
        }
        ScenarioResult failing = find("failing-worker", Policy.FULMARREACH);
        if (failing != null) {
            long on = failing.measures().startsOnFailing;
            long all = failing.measures().startsWhileFailing;
            addRow(
                    "starts on a failing worker, from 30 s after its failure <= 1%",
                    failing, on / (double) Math.max(1, all), v -> v <= 0.01);
        }
        ScenarioResult alwaysFailing = find("never-runs", Policy.FULMARREACH);
        if (alwaysFailing != null) {
            addRow(
                    "starts of a job that can never run <= 3",
                    alwaysFailing,
                    alwaysFailing.maxFailingRunStarts(),
                    v -> v <= 3);
            addRow(
                    "  such a job was started twice on one VM (1 = yes) = 0",
                    alwaysFailing,
                    alwaysFailing.failingRunRepeatedOnVm() ? 1 : 0,
                    v -> v == 0);
        }
        for (String name : PLACEABLE) {
            ScenarioResult result = find(name, Policy.FULMARREACH);
            if (result != null) {
                addRow("deadlines met = 100%", result, result.deadlines().metFraction(), v -> v >= 1);
            }
        }
        ScenarioResult overloaded = find("twice-capacity", Policy.FULMARREACH);
        if (overloaded != null) {
            addRow(
                    "slot time of calls answered by their deadline / total slot time >= 95%",
                    overloaded, overloaded.computeUsefulSlotFraction(), v -> v >= 0.95);
        }
        results.stream()
                .filter(result -> result.policy() == Policy.FULMARREACH)
                .max((a, b) -> Double.compare(a.computeInternalLinkUtilization(), b.computeInternalLinkUtilization()))
                .ifPresent(result -> addRow(
                        "internal traffic / bandwidth of the region link <= 5%",
                        result, result.computeInternalLinkUtilization(), v -> v <= 0.05));
        return rows;
    }

    private static double p99(ScenarioResult result) {
        return result.measures().p99Ms();
    }

    private ScenarioResult find(String scenario, Policy policy) {
        return results.stream()
                .filter(result -> result.scenario().name().equals(scenario) && result.policy() == policy)
                .findFirst()
                .orElse(null);
    }

    private interface Metric {
        double of(ScenarioResult result);
    }

    private void addRatioRow(
            String criterion, ScenarioResult result, ScenarioResult reference, Metric metric, DoublePredicate met) {
        if (result != null && reference != null) {
            double base = metric.of(reference);
            double value = metric.of(result) == 0 && base == 0 ? 0 : metric.of(result) / base;
            addRow(criterion, result, value, met);
        }
    }

    private void addRow(String criterion, ScenarioResult result, double value, DoublePredicate met) {
        Objects.requireNonNull(result);
        rows.add(String.format(
                Locale.ROOT,
                "| %s | %s | %.4f | %s |",
                criterion,
                result.scenario().name(),
                value,
                met.test(value) ? "met" : "NOT MET"));
    }
}
