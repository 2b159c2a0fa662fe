package org.fulmarreach.standin;

import java.util.LinkedHashMap;
import java.util.Map;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Entry point of the stand-ins; each subcommand is one process. */
public final class StandInMain {
    private StandInMain() {}

    /** Runs the subcommand in {@code args}; exits with status 2 on wrong arguments. */
    public static void main(String[] args) throws Exception {
        ArgumentParser parser = ArgumentParsers.newFor("standin").build();
        Subparsers commands = parser.addSubparsers().dest("command");
        Map<String, Command> byName = new LinkedHashMap<>();
        PlatformCommands.register(commands, byName);
        ProxyStandIn.register(commands, byName);
        LoadTool.register(commands, byName);
        Namespace arguments;
        try {
            arguments = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
            return;
        }
        try (StandInRuntime runtime = StandInRuntime.start()) {
            byName.get(arguments.getString("command")).run(arguments, runtime);
        }
        System.exit(0);
    }

    /** Prints the ready line, which states that all ports are listening. */
    static void printReady(Map<String, Object> addresses) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("ready", true);
        line.putAll(addresses);
        System.out.println(Journal.line(line));
    }

    /** Blocks until a signal terminates the process. */
    static void awaitSignal() throws InterruptedException {
        Thread.currentThread().join();
    }

    /** Body of a subcommand; the process exits when it returns. */
    interface Command {
        void run(Namespace arguments, StandInRuntime runtime) throws Exception;
    }
}
