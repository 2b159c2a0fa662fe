package org.fulmarreach.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import org.fulmarreach.core.rules.RuleFault;
import org.fulmarreach.core.rules.Rules;
import org.fulmarreach.core.rules.RulesDiff;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/** The operators' tool {@code fulmarctl}: runs one command and exits with an {@link ExitCode}. */
public final class FulmarctlMain {
    private final Map<String, String> environment;
    private final Console console;
    private final Ticker ticker;

    /** Constructs the tool with environment variables, output streams and a clock. */
    FulmarctlMain(Map<String, String> environment, PrintStream out, PrintStream err, Ticker ticker) {
        this.environment = environment;
        this.console = new Console(out, err);
        this.ticker = ticker;
    }

    /** Runs one command; the process exits with its status. */
    public static void main(String[] args) {
        PrintStream out = new PrintStream(new FileOutputStream(FileDescriptor.out), true, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(new FileOutputStream(FileDescriptor.err), true, StandardCharsets.UTF_8);
        ExitCode code = new FulmarctlMain(System.getenv(), out, err, Ticker.SYSTEM).run(args);
        out.flush();
        System.exit(code.status());
    }

    /** Runs one command and returns its exit status. */
    ExitCode run(String... args) {
        CommandLine commandLine = new CommandLine(environment);
        try {
            return run(commandLine.parse(args));
        } catch (HelpScreenException e) {
            boolean isMainHelp = args.length > 0 && args[0].startsWith("-");
            console.print(isMainHelp ? commandLine.formatHelp() : e.getParser().formatHelp());
            return ExitCode.OK;
        } catch (ArgumentParserException e) {
            console.report(CommandLine.formatError(e));
            return ExitCode.USAGE;
        }
    }

    private ExitCode run(Options options) {
        EntryClient client =
                new EntryClient(options.entries(), options.token(), ticker, ticker.nowMs() + options.timeoutMs());
        return switch (options.command()) {
            case "check", "diff", "publish" -> runOnFile(options, client);
            case "rules" -> show(options, client.get("/v1/rules"));
            case "sites" -> show(options, client.get("/v1/rules/sites"));
            case "why" -> show(options, client.get("/v1/work/" + encode(options.operand())));
            case "drain" ->
                reportAction(options, client.post("/v1/targets/" + encode(options.operand()) + "/drain", null));
            case "cancel" ->
                reportAction(options, client.post("/v1/work/" + encode(options.operand()) + "/cancel", null));
            default -> show(options, client.get("/v1/" + options.command()));
        };
    }

    private ExitCode runOnFile(Options options, EntryClient client) {
        return switch (RulesFile.read(options.operand())) {
            case RulesFile.Unreadable unreadable -> {
                console.report("Cannot read " + options.operand() + ": " + unreadable.cause() + ".");
                console.report("Remedy: name an existing rules file, saved as UTF-8.");
                yield ExitCode.USAGE;
            }
            case RulesFile.Faulty faulty -> reportFaults(options, faulty.faults());
            case RulesFile.Valid valid ->
                switch (options.command()) {
                    case "check" -> reportValid(options, valid.rules());
                    case "diff" -> showDiff(options, client.get("/v1/rules"), valid.rules());
                    default ->
                        new Publisher(
                                        client,
                                        console,
                                        ticker,
                                        options,
                                        UUID.randomUUID().toString())
                                .publish(valid.rules());
                };
        };
    }

    private ExitCode reportValid(Options options, Rules rules) {
        if (options.json()) {
            console.print(JsonNodeFactory.instance
                    .objectNode()
                    .put("rules", rules.all().size())
                    .set("faults", JsonNodeFactory.instance.arrayNode()));
        } else {
            console.print(options.operand() + ": " + rules.all().size() + " rules, no fault");
        }
        return ExitCode.OK;
    }

    private ExitCode reportFaults(Options options, List<RuleFault> faults) {
        if (options.json()) {
            ArrayNode list = JsonNodeFactory.instance.arrayNode();
            for (RuleFault fault : faults) {
                list.addObject()
                        .put("line", fault.line())
                        .put("column", fault.column())
                        .put("expected", fault.expected())
                        .put("found", fault.found())
                        .put("remedy", fault.remedy());
            }
            console.print(JsonNodeFactory.instance.objectNode().set("faults", list));
        }
        for (RuleFault fault : faults) {
            console.report(options.operand() + ": " + fault.toText());
        }
        console.report(faults.size() + (faults.size() == 1 ? " fault" : " faults") + "; nothing was published.");
        return ExitCode.BAD_RULES;
    }

    private ExitCode showDiff(Options options, Answer answer, Rules rules) {
        if (!(answer instanceof Answer.Reply reply) || !reply.isSuccess()) {
            return reportFailure(answer);
        }
        RulesDiff diff = RulesDiff.between(Publisher.readLines(reply.body()), rules.lines());
        long revision = reply.body().path("revision").asLong();
        if (options.json()) {
            var result = JsonNodeFactory.instance.objectNode().put("revision", revision);
            diff.removed().forEach(result.putArray("removed")::add);
            diff.added().forEach(result.putArray("added")::add);
            console.print(result);
        } else if (diff.isEmpty()) {
            console.print("No difference from revision " + revision + ".");
        } else {
            diff.removed().forEach(line -> console.print("- " + line));
            diff.added().forEach(line -> console.print("+ " + line));
        }
        return ExitCode.OK;
    }

    private ExitCode show(Options options, Answer answer) {
        if (!(answer instanceof Answer.Reply reply) || !reply.isSuccess()) {
            return reportFailure(answer);
        }
        JsonNode body = reply.body();
        if (options.json()) {
            console.print(body);
            return ExitCode.OK;
        }
        switch (options.command()) {
            case "rules" -> {
                console.print("# revision " + body.path("revision").asLong());
                Publisher.readLines(body).forEach(console::print);
            }
            case "why" -> Tables.formatWhy(body).forEach(console::print);
            default -> Tables.format(options.command(), body).forEach(console::print);
        }
        return ExitCode.OK;
    }

    private ExitCode reportAction(Options options, Answer answer) {
        if (!(answer instanceof Answer.Reply reply) || !reply.isSuccess()) {
            return reportFailure(answer);
        }
        if (options.json()) {
            console.print(reply.body());
        } else {
            console.print(options.command() + " " + options.operand() + ": accepted");
        }
        return ExitCode.OK;
    }

    private ExitCode reportFailure(Answer answer) {
        return switch (answer) {
            case Answer.NoAnswer none -> console.reportUnreachable(none);
            case Answer.Reply reply -> console.reportRefusal(reply);
        };
    }

    private static String encode(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
