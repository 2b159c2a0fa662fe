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

/** Command line of the benchmarks: policy scenarios under virtual time, and measured slopes for docs/CAPACITY.md. */
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
        Namespace parsedArgs;
        try {
            parsedArgs = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
            return;
        }
        Path folder = Path.of(parsedArgs.getString("out"));
        if ("slopes".equals(parsedArgs.getString("command"))) {
            new SlopeBench(System.out, folder).run();
            return;
        }
        List<String> names = parsedArgs.getList("scenario") == null ? List.of() : parsedArgs.getList("scenario");
        List<String> policies = parsedArgs.getList("policy") == null ? List.of() : parsedArgs.getList("policy");
        new PolicyBench(System.out, folder, parsedArgs.getLong("seed")).run(names, policies);
    }

    private static ArgumentParser constructParser() {
        ArgumentParser parser = ArgumentParsers.newFor("bench")
                .build()
                .description("Compares policies and measures resource use of fulmarreach.");
        Subparsers commands = parser.addSubparsers().dest("command");
        commands.metavar("COMMAND");
        Subparser policy = commands.addParser("policy").help("scenarios under virtual time, compared with baselines");
        policy.addArgument("--scenario")
                .nargs("*")
                .choices(PolicyBench.listScenarios())
                .help("scenarios to run (default: all)");
        policy.addArgument("--policy")
                .nargs("*")
                .help("policies to run (default: FULMARREACH and the baselines of each scenario)");
        policy.addArgument("--seed").type(Long.class).setDefault(DEFAULT_SEED).help("seed of all random numbers");
        policy.addArgument("--out").setDefault("bench/out").help("output folder for CSV and plots");
        Subparser slopes = commands.addParser("slopes").help("message bytes, CPU time and heap as functions of size");
        slopes.addArgument("--out").setDefault("bench/out").help("output folder for CSV");
        return parser;
    }
}
