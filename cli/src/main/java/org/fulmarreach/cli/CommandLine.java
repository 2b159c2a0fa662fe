package org.fulmarreach.cli;

import java.net.URI;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.fulmarreach.core.rules.RulesParser;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentAction;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.FeatureControl;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Options and commands of {@code fulmarctl}. Not modified after construction. */
final class CommandLine {
    private static final int WIDTH = 100;
    private static final String DEFAULT_ENTRY = "http://127.0.0.1:7402";
    private static final long NO_BASE = -1;
    private static final String DEFAULT_TIMEOUT = "12s";

    private static final String EPILOG = """

            exit status:
              0  done
              1  refused by the entry, or not in force in time
              2  bad usage
              3  the rules file has faults; nothing was published
              4  conflict: another operator published first; nothing was published
              5  no entry answered

            examples:
              fulmarctl check association.rules
              fulmarctl diff association.rules --entry http://10.0.0.5:7402
              fulmarctl publish association.rules --wait --timeout 12s
              fulmarctl why farbplan
              fulmarctl drain vm-17 --token "$TOKEN"
              FULMARREACH_ENTRY=http://10.0.0.5:7402,http://10.0.1.5:7402 fulmarctl targets --json
            """;

    private final Map<String, String> environment;
    private final ArgumentParser parser;

    /** Constructs the command line; options that are not given default to variables of {@code environment}. */
    CommandLine(Map<String, String> environment) {
        this.environment = environment;
        parser = ArgumentParsers.newFor("fulmarctl")
                .addHelp(false)
                .terminalWidthDetection(false)
                .defaultFormatWidth(WIDTH)
                .build()
                .description("Checks and publishes rules, and shows the state of fulmarreach at an entry.");
        addCommonOptions(parser, false);
        Subparsers commands = parser.addSubparsers().dest("command").metavar("COMMAND");
        addCommand(commands, "check", "check a rules file without an entry", "FILE");
        addCommand(commands, "diff", "show what publishing a rules file would change", "FILE");
        Subparser publish = addCommand(commands, "publish", "put a rules file in force", "FILE");
        publish.addArgument("--wait")
                .action(Arguments.storeTrue())
                .help("wait until the rules are in force at all sites");
        publish.addArgument("--base")
                .metavar("REVISION")
                .type(Long.class)
                .setDefault(NO_BASE)
                .help("revision that the file is based on; it is a conflict if another one is in force");
        publish.addArgument("--operator")
                .help("name of the publishing operator (default: FULMARREACH_OPERATOR, then USER)");
        addCommand(commands, "rules", "print the rules in force", null);
        addCommand(commands, "targets", "list the targets", null);
        addCommand(commands, "work", "list batch and standing work", null);
        addCommand(commands, "why", "explain the state of one work item", "NAME");
        addCommand(commands, "budget", "show the shared budget", null);
        addCommand(commands, "leases", "list the leaders of the shards", null);
        addCommand(commands, "sites", "list the rules revision of each site", null);
        addCommand(commands, "drain", "send no new calls or work to a VM; running calls finish", "VM");
        addCommand(commands, "cancel", "cancel batch or standing work", "NAME");
    }

    /** Returns the help page of the whole tool. */
    String formatHelp() {
        return parser.formatHelp() + EPILOG;
    }

    /**
     * Parses the arguments.
     *
     * @throws HelpScreenException if help was requested
     * @throws ArgumentParserException if the arguments are invalid
     */
    Options parse(String[] args) throws ArgumentParserException {
        Namespace values = parser.parseArgs(args);
        OptionalLong timeoutMs = RulesParser.parseDurationMs(values.getString("timeout"));
        if (timeoutMs.isEmpty() || timeoutMs.getAsLong() == 0) {
            throw new ArgumentParserException("--timeout must be a positive duration such as 12s or 500ms", parser);
        }
        String user = environment.getOrDefault("USER", "unknown");
        String operator = values.getString("operator");
        return new Options(
                values.getString("command"),
                values.getString("operand"),
                parseEntries(values.getList("entry")),
                selectText(values.getString("token"), environment.get("FULMARREACH_TOKEN")),
                values.getBoolean("json"),
                timeoutMs.getAsLong(),
                Boolean.TRUE.equals(values.getBoolean("wait")),
                values.get("base") == null ? NO_BASE : values.getLong("base"),
                selectText(operator, environment.getOrDefault("FULMARREACH_OPERATOR", user)));
    }

    /** Returns the parser's message for an error, with its usage line. */
    static String formatError(ArgumentParserException e) {
        return e.getParser().formatUsage() + "fulmarctl: " + e.getMessage() + System.lineSeparator()
                + "Remedy: see fulmarctl --help." + System.lineSeparator();
    }

    private static Subparser addCommand(Subparsers commands, String name, String help, String operand) {
        Subparser command = commands.addParser(name, false).help(help).description(help);
        if (operand != null) {
            command.addArgument("operand").metavar(operand);
        }
        addCommonOptions(command, true);
        return command;
    }

    /** Adds the options allowed both before and after the command; only those before it have defaults. */
    private static void addCommonOptions(ArgumentParser target, boolean afterCommand) {
        Argument entry = target.addArgument("--entry")
                .action(Arguments.append())
                .metavar("URL")
                .help("address of an entry, repeatable; they are tried in order (default: FULMARREACH_ENTRY, comma "
                        + "separated, else " + DEFAULT_ENTRY + ")");
        Argument token = target.addArgument("--token").help("operator token (default: FULMARREACH_TOKEN)");
        Argument json =
                target.addArgument("--json").action(Arguments.storeTrue()).help("print JSON instead of tables");
        Argument timeout = target.addArgument("--timeout")
                .metavar("DURATION")
                .setDefault(DEFAULT_TIMEOUT)
                .help("time for the whole command (default: " + DEFAULT_TIMEOUT + ")");
        target.addArgument("-h", "--help")
                .action(new HelpAction())
                .setDefault(FeatureControl.SUPPRESS)
                .help("show this help and exit");
        if (afterCommand) {
            for (Argument argument : List.of(entry, token, json, timeout)) {
                argument.setDefault(FeatureControl.SUPPRESS);
            }
        }
    }

    private List<URI> parseEntries(List<String> given) throws ArgumentParserException {
        List<String> texts = given;
        if (texts == null || texts.isEmpty()) {
            texts = Arrays.asList(
                    environment.getOrDefault("FULMARREACH_ENTRY", DEFAULT_ENTRY).split(","));
        }
        List<URI> entries = new ArrayList<>();
        for (String text : texts) {
            String trimmed = text.strip().replaceAll("/+$", "");
            if (!trimmed.matches("https?://[^/?#\\s]+")) {
                throw new ArgumentParserException("not an entry address such as http://host:port: " + text, parser);
            }
            try {
                entries.add(URI.create(trimmed));
            } catch (IllegalArgumentException e) {
                throw new ArgumentParserException("not a valid URI of an entry: " + text, e, parser);
            }
        }
        return entries;
    }

    private static String selectText(String first, String second) {
        String found = first != null ? first : second;
        return found == null || found.isBlank() ? null : found;
    }

    /** Throws without printing; the library's help action would print to the standard output of the process. */
    private static final class HelpAction implements ArgumentAction {
        @Override
        public void run(
                ArgumentParser parser, Argument argument, Map<String, Object> attributes, String flag, Object value)
                throws ArgumentParserException {
            throw new HelpScreenException(parser);
        }

        @Override
        public boolean consumeArgument() {
            return false;
        }

        @Override
        public void onAttach(Argument argument) {
            // No setup is needed.
        }
    }
}
