package org.fulmarreach.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fulmarreach.core.rules.Rules;
import org.fulmarreach.core.rules.RulesDiff;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Publishes valid rules and waits until they are in force. Used for one command; not thread-safe. */
final class Publisher {
    private static final long POLL_INTERVAL_MS = 250;
    private static final long RETRY_DELAY_MS = 200;
    private static final int CONFLICT = 409;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;

    private final EntryClient client;
    private final Console console;
    private final Ticker ticker;
    private final Options options;
    private final String publishId;
    private final Map<String, Long> reportedRevisions = new HashMap<>();

    /** Constructs a publisher; {@code publishId} is a new unique id that makes the publish idempotent. */
    Publisher(EntryClient client, Console console, Ticker ticker, Options options, String publishId) {
        this.client = client;
        this.console = console;
        this.ticker = ticker;
        this.options = options;
        this.publishId = publishId;
    }

    /** Publishes {@code rules} unless they are already in force. */
    ExitCode publish(Rules rules) {
        return switch (client.get("/v1/rules")) {
            case Answer.NoAnswer none -> console.reportUnreachable(none);
            case Answer.Reply reply -> reply.isSuccess() ? publish(rules, reply.body()) : console.reportRefusal(reply);
        };
    }

    /** Returns the rule lines of a response. */
    static List<String> readLines(JsonNode body) {
        List<String> lines = new ArrayList<>();
        body.path("lines").forEach(line -> lines.add(line.asText()));
        return lines;
    }

    private ExitCode publish(Rules rules, JsonNode current) {
        List<String> base = readLines(current);
        long baseRevision = current.path("revision").asLong();
        RulesDiff diff = RulesDiff.between(base, rules.lines());
        if (diff.isEmpty()) {
            console.report("Nothing to publish: the rules in force are the same as in the file.");
            return finish(baseRevision, "unchanged");
        }
        if (options.baseRevision() >= 0 && options.baseRevision() != baseRevision) {
            return reportBaseConflict(baseRevision, diff);
        }
        Answer answer = send(createBody(diff, baseRevision));
        return switch (answer) {
            case Answer.NoAnswer none -> {
                console.reportUnreachable(none);
                console.report("Whether the publish took effect is not known. It is safe to run the command again.");
                yield ExitCode.UNREACHABLE;
            }
            case Answer.Reply reply
            when reply.isSuccess() -> finish(reply.body().path("revision").asLong(), "accepted");
            case Answer.Reply reply when reply.status() == CONFLICT -> reportConflict(reply.body(), base, rules);
            case Answer.Reply reply when reply.status() == BAD_REQUEST -> reportFaults(reply, diff);
            case Answer.Reply reply -> console.reportRefusal(reply);
        };
    }

    /** Sends the publish; repeats it with the same id while no entry answers or the log service is unavailable. */
    private Answer send(ObjectNode body) {
        while (true) {
            Answer answer = client.post("/v1/rules", body);
            boolean isRetryable = !(answer instanceof Answer.Reply reply) || reply.status() == UNAVAILABLE;
            if (!isRetryable) {
                return answer;
            }
            ticker.sleepMs(RETRY_DELAY_MS);
            if (client.isPastDeadline()) {
                return answer;
            }
        }
    }

    private ObjectNode createBody(RulesDiff diff, long baseRevision) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("publishId", publishId);
        body.put("baseRevision", baseRevision);
        ArrayNode removed = body.putArray("removed");
        diff.removed().forEach(removed::add);
        ArrayNode added = body.putArray("added");
        diff.added().forEach(added::add);
        body.put("operator", options.operator());
        return body;
    }

    private ExitCode reportConflict(JsonNode body, List<String> base, Rules rules) {
        List<String> current = readLines(body);
        if (RulesDiff.between(current, rules.lines()).isEmpty()) {
            console.report("The rules in force are already the same as in the file.");
            return finish(body.path("revision").asLong(), "unchanged");
        }
        console.report("CONFLICT: another operator published revision "
                + body.path("revision").asLong() + " first; nothing was published. Changed meanwhile:");
        RulesDiff changesSinceBase = RulesDiff.between(base, current);
        changesSinceBase.removed().forEach(line -> console.report("- " + line));
        changesSinceBase.added().forEach(line -> console.report("+ " + line));
        console.report("Remedy: merge these changes into your file, check it with fulmarctl diff, and publish again.");
        return ExitCode.CONFLICT;
    }

    private ExitCode reportBaseConflict(long revision, RulesDiff diff) {
        console.report("CONFLICT: revision " + revision + " is in force, not " + options.baseRevision()
                + "; nothing was published. Publishing the file would change:");
        diff.removed().forEach(line -> console.report("- " + line));
        diff.added().forEach(line -> console.report("+ " + line));
        console.report(
                "Remedy: merge the changes of others into your file, and publish again with --base " + revision + ".");
        return ExitCode.CONFLICT;
    }

    private ExitCode reportFaults(Answer.Reply reply, RulesDiff diff) {
        console.reportRefusal(reply);
        JsonNode faults = reply.body().path("faults");
        for (JsonNode fault : faults) {
            int index = fault.path("line").asInt() - 1;
            boolean known = index >= 0 && index < diff.added().size();
            console.report("  " + (known ? diff.added().get(index) : "line " + (index + 1)));
            console.report("    expected " + fault.path("expected").asText() + ", found "
                    + fault.path("found").asText() + ". Remedy: "
                    + fault.path("remedy").asText());
        }
        return faults.isEmpty() ? ExitCode.REFUSED : ExitCode.BAD_RULES;
    }

    private ExitCode finish(long revision, String status) {
        ExitCode code = options.waitForSites() ? waitForSites(revision) : ExitCode.OK;
        if (options.json()) {
            ObjectNode result = JsonNodeFactory.instance.objectNode();
            result.put("status", status);
            result.put("revision", revision);
            if (options.waitForSites()) {
                result.put("inForce", code == ExitCode.OK);
            }
            console.print(result);
        } else {
            console.print("Revision " + revision + " " + status + ".");
        }
        return code;
    }

    private ExitCode waitForSites(long revision) {
        List<String> outdatedSites = List.of("no entry reported the state of the sites");
        while (!client.isPastDeadline()) {
            if (client.get("/v1/rules/sites") instanceof Answer.Reply reply && reply.isSuccess()) {
                JsonNode sites = reply.body().path("sites");
                outdatedSites =
                        sites.isEmpty() ? List.of("the entry reports no sites") : findOutdatedSites(sites, revision);
                if (outdatedSites.isEmpty()) {
                    console.report("In force at all " + sites.size() + " sites.");
                    return ExitCode.OK;
                }
            }
            ticker.sleepMs(POLL_INTERVAL_MS);
        }
        return reportNotInForce(revision, outdatedSites);
    }

    private ExitCode reportNotInForce(long revision, List<String> outdatedSites) {
        console.report("Revision " + revision + " is accepted but not in force in time:");
        outdatedSites.forEach(site -> console.report("  " + site));
        console.report("Remedy: check fulmarctl sites; a site loads the rules when it is reachable again.");
        return ExitCode.REFUSED;
    }

    // Unreachable guards are ignored: entries send them nothing, and they receive the current rules when they connect.
    // Unreachable entries are not ignored, because they may still serve callers with older rules.
    private List<String> findOutdatedSites(JsonNode sites, long revision) {
        List<String> outdatedSites = new ArrayList<>();
        for (JsonNode site : sites) {
            String name =
                    site.path("kind").asText("site") + " " + site.path("site").asText();
            long siteRevision = site.path("revision").asLong();
            boolean reachable = site.path("reachable").asBoolean(true);
            if (siteRevision >= revision) {
                if (reportedRevisions.put(name, siteRevision) == null) {
                    console.report(name + ": revision " + siteRevision + " in force");
                }
            } else if (reachable || !"guard".equals(site.path("kind").asText())) {
                outdatedSites.add(name + ": revision " + siteRevision + (reachable ? "" : ", not reachable"));
            } else if (reportedRevisions.put(name, siteRevision) == null) {
                console.report(name + ": not reachable, receives no work until it has the rules");
            }
        }
        return outdatedSites;
    }
}
