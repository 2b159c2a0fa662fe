package org.fulmarreach.bench.policy;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs the policy scenarios and writes tables, CSV and plots. */
public final class PolicyBench {
    private final PrintStream out;
    private final Path folder;
    private final long seed;

    /**
     * Constructs a benchmark.
     *
     * @param out receives the tables
     * @param folder receives CSV and plots; created if missing
     * @param seed seed of all random numbers
     */
    public PolicyBench(PrintStream out, Path folder, long seed) {
        this.out = out;
        this.folder = folder;
        this.seed = seed;
    }

    /** Returns the names of the scenarios. */
    public static List<String> listScenarios() {
        return Scenarios.ALL.stream().map(Scenario::name).toList();
    }

    /**
     * Runs scenarios under the given policies.
     *
     * @param names scenarios; empty for all
     * @param policies names of the policies; empty for the production policy and the baselines of each scenario
     * @throws IOException if the results cannot be written
     */
    public void run(List<String> names, List<String> policies) throws IOException {
        List<ScenarioResult> results = new ArrayList<>();
        out.println(ScenarioResult.tableHeader());
        for (Scenario scenario : Scenarios.ALL) {
            if (!names.isEmpty() && !names.contains(scenario.name())) {
                continue;
            }
            for (Policy policy : Policy.values()) {
                boolean isDefault =
                        policy == Policy.FULMARREACH || scenario.baselines().contains(policy);
                if (policies.isEmpty() ? isDefault : policies.contains(policy.name())) {
                    ScenarioResult result = ScenarioResult.simulate(scenario, policy, seed);
                    results.add(result);
                    out.println(result.toRow());
                }
            }
        }
        out.println();
        out.println("| criterion (section 1.6) | scenario | measured | verdict |");
        out.println("|---|---|---|---|");
        List<String> criteria = new AcceptanceCriteria(results).evaluate();
        criteria.forEach(out::println);
        Files.createDirectories(folder);
        List<String> lines = new ArrayList<>(List.of(ScenarioResult.CSV_HEADER));
        results.forEach(result -> lines.add(result.toCsv()));
        Files.write(folder.resolve("policy.csv"), lines);
        PolicyPlots.write(results, folder);
    }
}
