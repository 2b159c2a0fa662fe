package org.fulmarreach.bench.policy;

import java.util.Locale;
import java.util.Set;

import org.fulmarreach.core.work.RunKey;

/**
 * Result of one scenario under one policy.
 *
 * @param scenario scenario that was run
 * @param policy policy that was applied
 * @param measures counters and latency
 * @param deadlines due batch runs, and those that met their deadline
 * @param maxFailingRunStarts largest number of starts of one run that always fails
 * @param failingRunRepeatedOnVm whether a run that always fails was started twice on one VM
 */
record ScenarioResult(
        Scenario scenario,
        Policy policy,
        Measures measures,
        Deadlines deadlines,
        int maxFailingRunStarts,
        boolean failingRunRepeatedOnVm) {
    static final String CSV_HEADER =
            "scenario,policy,offered,in_time,late,refused,refused_at_guard,failed,p50_ms,p99_ms,p999_ms,"
                    + "slots_useful,batch_core_s,runs_due,runs_met,starts,evictions,memory_kills,refused_starts,"
                    + "starts_on_failing,starts_while_failing,max_hopeless_starts,overcommitted_vm_s,standing_down_s,"
                    + "appends_per_s,own_link_bytes_per_s,call_link_bytes_per_s";

    static ScenarioResult simulate(Scenario scenario, Policy policy, long seed) {
        Simulation simulation = new Simulation(scenario, policy, seed);
        Measures measures = simulation.run();
        int maxStarts = 0;
        boolean repeats = false;
        for (var entry : measures.startsByRun.entrySet()) {
            RunKey key = entry.getKey();
            if (simulation.findWork(key.work()).alwaysFails()) {
                Set<String> vms = measures.vmsByRun.get(key);
                maxStarts = Math.max(maxStarts, entry.getValue());
                repeats |= vms.size() < entry.getValue();
            }
        }
        return new ScenarioResult(scenario, policy, measures, Deadlines.count(simulation), maxStarts, repeats);
    }

    /** Returns the fraction of total slot time that was spent on calls answered by their deadline. */
    double computeUsefulSlotFraction() {
        double measuredMs = scenario.durationMs() - Scenario.WARM_UP_MS - 2_000;
        return measures.usefulSlotMs / (Site.VMS * Site.SLOTS * measuredMs);
    }

    double computeAppendsPerS() {
        return measures.appends * 1_000.0 / measures.durationMs;
    }

    double computeInternalLinkUtilization() {
        return measures.internalLinkBytes / (double) measures.durationMs / RegionLink.BYTES_PER_MS;
    }

    String toCsv() {
        Measures m = measures;
        double seconds = m.durationMs / 1_000.0;
        return String.format(
                Locale.ROOT,
                "%s,%s,%d,%d,%d,%d,%d,%d,%.0f,%.0f,%.0f,%.4f,%.0f,%d,%d,%d,%d,%d,%d,%d,%d,%d,%.0f,%.0f,%.2f,%.0f,%.0f",
                scenario.name(),
                policy.name(),
                m.offered,
                m.inTime,
                m.late,
                m.refused,
                m.refusedAtGuard,
                m.failed,
                m.p50Ms(),
                m.p99Ms(),
                m.p999Ms(),
                computeUsefulSlotFraction(),
                m.batchCoreMs / 1_000,
                deadlines.due(),
                deadlines.met(),
                m.starts,
                m.evictions,
                m.memoryKills,
                m.refusedStarts,
                m.startsOnFailing,
                m.startsWhileFailing,
                maxFailingRunStarts,
                m.overcommittedVmMs / 1_000,
                m.standingDownMs / 1_000.0,
                computeAppendsPerS(),
                m.internalLinkBytes / seconds,
                m.callLinkBytes / seconds);
    }

    /** Returns the row of the printed table for this result. */
    String toRow() {
        Measures m = measures;
        return String.format(
                Locale.ROOT,
                "| %s | %s | %.2f%% | %.0f | %.0f | %.0f | %.1f%% | %.0f | %d/%d | %d | %d | %d | %d | %.0f | %.0f |",
                scenario.name(),
                policy.title(),
                100 * m.inTimeFraction(),
                m.p50Ms(),
                m.p99Ms(),
                m.p999Ms(),
                100 * computeUsefulSlotFraction(),
                m.batchCoreMs / 1_000,
                deadlines.met(),
                deadlines.due(),
                m.starts,
                m.evictions,
                m.memoryKills,
                m.refusedStarts,
                m.overcommittedVmMs / 1_000,
                m.standingDownMs / 1_000.0);
    }

    static String tableHeader() {
        return """
                | scenario | policy | calls in time | p50 ms | p99 ms | p99.9 ms | useful slots | batch core s | \
                deadlines met | starts | evictions | memory kills | refused starts | CPU over VM s | standing down s |
                |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|""";
    }
}
