package org.fulmarreach.bench.policy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Writes plots of the results as PNG files. Stateless. */
final class PolicyPlots {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;

    private PolicyPlots() {}

    static void write(List<ScenarioResult> results, Path folder) throws IOException {
        writeBars(
                results,
                folder,
                "p99",
                "p99 latency of calls in ms",
                result -> result.measures().p99Ms());
        writeBars(
                results,
                folder,
                "in-time",
                "calls answered by their deadline in %",
                result -> 100 * result.measures().inTimeFraction());
        for (String name : List.of("noisy", "noisy-association")) {
            writeSeries(results, folder, name);
        }
    }

    private static void writeBars(
            List<ScenarioResult> results,
            Path folder,
            String file,
            String title,
            ToDoubleFunction<ScenarioResult> metric)
            throws IOException {
        List<String> scenarios = results.stream()
                .map(result -> result.scenario().name())
                .distinct()
                .toList();
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH + 500)
                .height(HEIGHT)
                .title(title)
                .build();
        chart.getStyler().setXAxisLabelRotation(30);
        for (Policy policy : Policy.values()) {
            List<String> names = new ArrayList<>();
            List<Double> values = new ArrayList<>();
            for (ScenarioResult result : results) {
                if (result.policy() == policy) {
                    names.add(result.scenario().name());
                    values.add(metric.applyAsDouble(result));
                }
            }
            if (names.size() == scenarios.size() && !names.isEmpty()) {
                chart.addSeries(policy.title(), names, values);
            }
        }
        if (!chart.getSeriesMap().isEmpty()) {
            BitmapEncoder.saveBitmap(chart, folder.resolve(file).toString(), BitmapEncoder.BitmapFormat.PNG);
        }
    }

    private static void writeSeries(List<ScenarioResult> results, Path folder, String scenario) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("p99 latency per 10 s, scenario " + scenario)
                .xAxisTitle("s")
                .yAxisTitle("ms")
                .build();
        for (ScenarioResult result : results) {
            boolean shown = result.policy() == Policy.FULMARREACH
                    || result.policy() == Policy.UNTHROTTLED
                    || result.policy() == Policy.NO_BATCH;
            if (result.scenario().name().equals(scenario) && shown) {
                List<Double> seconds = new ArrayList<>();
                for (int i = 0; i < result.measures().p99Series.size(); i++) {
                    seconds.add(i * 10.0);
                }
                chart.addSeries(result.policy().title(), seconds, result.measures().p99Series)
                        .setMarker(SeriesMarkers.NONE);
            }
        }
        if (!chart.getSeriesMap().isEmpty()) {
            BitmapEncoder.saveBitmap(chart, folder.resolve(scenario).toString(), BitmapEncoder.BitmapFormat.PNG);
        }
    }
}
