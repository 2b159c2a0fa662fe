package org.fulmarreach.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import org.fulmarreach.bench.policy.PolicyBench;
import org.fulmarreach.bench.slopes.SlopeBench;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Command line of the bench: policy scenarios under virtual time, and measured slopes for docs/CAPACITY.md. */
public final class BenchMain {
    private static final long DEFAULT_SEED = 1;

    private BenchMain() {}

    /**
     * Runs one command.
     *
     * @param args command and flags
     * @throws IOException if the results cannot be written
     */
    public static void main(String[] args) throws IOException {
        ArgumentParser parser = constructParser();
        Namespace chosen;
        try {
            chosen = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
            return;
        }
        Path folder = Path.of(chosen.getString("out"));
        if ("slopes".equals(chosen.getString("command"))) {
            new SlopeBench(System.out, folder).run();
            return;
        }
        List<String> names = chosen.getList("scenario") == null ? List.of() : chosen.getList("scenario");
        List<String> policies = chosen.getList("policy") == null ? List.of() : chosen.getList("policy");
        new PolicyBench(System.out, folder, chosen.getLong("seed")).run(names, policies);
    }

    private static ArgumentParser constructParser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("bench").build().description("Measures policy and capacity of fulmarreach.");
        Subparsers commands = parser.addSubparsers().dest("command");
        commands.metavar("COMMAND");
        Subparser policy = commands.addParser("policy").help("scenarios under virtual time, with baselines");
        policy.addArgument("--scenario")
                .nargs("*")
                .choices(PolicyBench.listScenarios())
                .help("scenarios to run (default: all)");
        policy.addArgument("--policy").nargs("*").help("policies to run (default: all)");
        policy.addArgument("--seed").type(Long.class).setDefault(DEFAULT_SEED).help("seed of all random numbers");
        policy.addArgument("--out").setDefault("bench/out").help("folder for CSV and plots");
        Subparser slopes = commands.addParser("slopes").help("bytes, processor time and heap by size");
        slopes.addArgument("--out").setDefault("bench/out").help("folder for CSV");
        return parser;
    }
}
