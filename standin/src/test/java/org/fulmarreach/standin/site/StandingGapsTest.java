package org.fulmarreach.standin.site;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.standin.site.StandingGaps.Disruption;
import org.fulmarreach.standin.site.StandingGaps.Gap;
import org.fulmarreach.standin.site.StandingGaps.Run;
import org.fulmarreach.standin.site.StandingGaps.Service;
import org.fulmarreach.standin.site.StandingGaps.Span;
import org.fulmarreach.standin.site.StandingGaps.Task;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a soak that overlooks standing tasks without a run, or reports what the platform's rules allow. */
class StandingGapsTest {
    private static final int MILLI_CORES = 500;
    private static final Span OWED = new Span(1_000, 100_000);

    private final List<Disruption> disruptions = new ArrayList<>();
    private final List<Service> services =
            new ArrayList<>(List.of(new Service("i-0", 2 * MILLI_CORES, new Span(0, Long.MAX_VALUE))));
    private final List<Run> runs = new ArrayList<>();

    /** Guards against a bound that is longer or shorter than 6 s and the window of 3 s. */
    @Test
    void gapIsFoundFromNineSecondsOn() {
        assertEquals(List.of(), find(new Span(1_000, 20_000), new Span(29_000, Long.MAX_VALUE)));
        List<Gap> gaps = find(new Span(1_000, 20_000), new Span(29_001, Long.MAX_VALUE));
        assertEquals(List.of(new Gap("a.0.0.0", new Span(20_000, 29_001), 26_000, List.of())), gaps);
        assertTrue(gaps.get(0).describe(1_000).startsWith("GAP a.0.0.0 was without a run for 9001 ms, from 19000 to"));
    }

    /** Guards against a task that is forgotten: never started, or never started again. */
    @Test
    void taskWithoutAnyOrAnotherRunIsFound() {
        assertEquals(7_000, find().get(0).windowMs());
        assertEquals(56_000, find(new Span(500, 50_000)).get(0).windowMs());
        assertEquals(List.of(), find(new Span(2_000, 91_000)));
    }

    /** Guards against a gap that a later one hides, and against time that two runs at once cover. */
    @Test
    void eachGapIsFound() {
        List<Gap> gaps = find(
                new Span(1_000, 30_000), new Span(2_000, 10_000), new Span(40_000, 50_000), new Span(70_000, 100_000));
        assertEquals(
                List.of(new Span(30_000, 40_000), new Span(50_000, 70_000)),
                gaps.stream().map(Gap::span).toList());
    }

    /** Guards against a report although a fault was active less than 4 s before the window, or in it. */
    @Test
    void windowIsCalmAndFourSecondsBeforeItAreToo() {
        Span[] away = {new Span(1_000, 20_000), new Span(30_000, Long.MAX_VALUE)};
        disruptions.add(new Disruption("KILL_ENTRY", false, new Span(21_000, 22_999)));
        assertEquals(26_999, find(away).get(0).windowMs());
        disruptions.set(0, new Disruption("KILL_ENTRY", false, new Span(21_000, 23_000)));
        assertEquals(List.of(), find(away));
        disruptions.set(0, new Disruption("KILL_ENTRY", false, new Span(29_000, 29_100)));
        assertEquals(List.of(), find(away));
        disruptions.set(0, new Disruption("KILL_ENTRY", false, new Span(29_001, 29_100)));
        assertEquals(26_000, find(away).get(0).windowMs());
    }

    /** Guards against an absence that is calm only later, and is then not looked at. */
    @Test
    void windowAfterAFaultIsFound() {
        disruptions.add(new Disruption("STORE_SILENT", false, new Span(19_000, 40_000)));
        disruptions.add(new Disruption("PAUSE_ENTRY", false, new Span(60_000, Long.MAX_VALUE)));
        assertEquals(44_000, find(new Span(1_000, 20_000)).get(0).windowMs());
    }

    /** Guards against planned work as an excuse; the gap names it. */
    @Test
    void plannedWorkIsCalm() {
        disruptions.add(new Disruption("DRAIN_WORKER", true, new Span(19_000, 40_000)));
        Gap gap = find(new Span(1_000, 20_000)).get(0);
        assertEquals(26_000, gap.windowMs());
        assertEquals(List.of("DRAIN_WORKER"), gap.plannedWork());
    }

    /** Guards against a report while the workers have no room for the task twice over, at any time of the window. */
    @Test
    void roomTwiceOverIsNeededDuringTheWindow() {
        Span before = new Span(1_000, 20_000);
        runs.add(new Run("i-0", MILLI_CORES, new Span(20_000, 50_000)));
        assertEquals(50_000, find(before).get(0).windowMs());
        runs.add(new Run("i-0", MILLI_CORES, new Span(52_000, 60_000)));
        assertEquals(60_000, find(before).get(0).windowMs());
        services.add(new Service("i-1", MILLI_CORES, new Span(30_000, 32_000)));
        assertEquals(60_000, find(before).get(0).windowMs());
        services.add(new Service("i-2", MILLI_CORES, new Span(34_000, 37_001)));
        assertEquals(34_000, find(before).get(0).windowMs());
    }

    /** Guards against room that is counted although no worker has enough of it for one task. */
    @Test
    void roomIsCountedForEachWorker() {
        services.set(0, new Service("i-0", MILLI_CORES - 1, new Span(0, Long.MAX_VALUE)));
        services.add(new Service("i-1", 2 * MILLI_CORES - 1, new Span(0, Long.MAX_VALUE)));
        assertEquals(List.of(), find(new Span(1_000, 20_000)));
    }

    /** Guards against a job that ends by itself and is owed a run in a full pool, or none in one that is half free. */
    @Test
    void jobIsOwedARunWhileLessThanHalfIsInUse() {
        services.set(0, new Service("i-0", 8 * MILLI_CORES, new Span(0, Long.MAX_VALUE)));
        Span[] away = {new Span(1_000, 20_000), new Span(40_000, 100_000)};
        runs.add(new Run("i-0", 4 * MILLI_CORES, new Span(0, Long.MAX_VALUE)));
        assertEquals(List.of(), findOfJob(away));
        runs.set(0, new Run("i-0", 4 * MILLI_CORES, new Span(0, 30_000)));
        assertEquals(30_000, findOfJob(away).get(0).windowMs());
        runs.set(0, new Run("i-0", 3 * MILLI_CORES, new Span(0, Long.MAX_VALUE)));
        assertEquals(26_000, findOfJob(away).get(0).windowMs());
    }

    private List<Gap> findOfJob(Span... spans) {
        return new StandingGaps(disruptions, services, runs)
                .findOfJob(new Task("a", MILLI_CORES, OWED, List.of(spans)));
    }

    private List<Gap> find(Span... spans) {
        return new StandingGaps(disruptions, services, runs)
                .find(new Task("a.0.0.0", MILLI_CORES, OWED, List.of(spans)));
    }
}
