package org.fulmarreach.entry.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.rules.RulesInForce;
import org.fulmarreach.core.rules.RulesRecord;
import org.fulmarreach.entry.calls.CallService;
import org.fulmarreach.entry.guards.DirectoryCommand;
import org.fulmarreach.entry.guards.TargetView;
import org.fulmarreach.entry.peers.PeersCommand;
import org.fulmarreach.entry.peers.SiteView;
import org.fulmarreach.entry.rules.PublishAnswer;
import org.fulmarreach.entry.rules.RulesCommand;

import com.fasterxml.jackson.databind.JsonNode;

/** HTTP endpoints for rules and health. Thread-safe. */
final class RulesEndpoint {
    private static final int MAX_OPERATOR_CHARACTERS = 128;
    private static final String ID_PATTERN = "[A-Za-z0-9._-]{1,64}";

    private final EntryActors actors;
    private final CallService calls;

    RulesEndpoint(EntryActors actors, CallService calls) {
        this.actors = actors;
        this.calls = calls;
    }

    CompletionStage<HttpResponse> health() {
        Problem refusal = calls.findRefusal();
        return refusal == null
                ? OperatorEndpoint.done(JsonBodies.toResponse(200, Map.of("status", "ok")))
                : OperatorEndpoint.error(refusal);
    }

    CompletionStage<HttpResponse> list() {
        RulesInForce rules = calls.rules();
        if (rules == null) {
            return OperatorEndpoint.error(calls.findRefusal());
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("revision", rules.revision());
        body.put("lines", rules.rules().lines());
        return OperatorEndpoint.done(JsonBodies.toResponse(200, body));
    }

    CompletionStage<HttpResponse> publish(byte[] body) {
        RulesRecord.Publish publish;
        try {
            publish = parse(JsonBodies.parse(body));
        } catch (IOException e) {
            return OperatorEndpoint.error(Problem.of(ErrorCode.BAD_REQUEST, e.getMessage()));
        }
        CompletableFuture<PublishAnswer> answer = new CompletableFuture<>();
        actors.rules().tell(new RulesCommand.Publish(publish, answer));
        return answer.thenApply(RulesEndpoint::toResponse);
    }

    CompletionStage<HttpResponse> listSites() {
        CompletableFuture<List<TargetView>> targets = new CompletableFuture<>();
        CompletableFuture<List<SiteView>> entries = new CompletableFuture<>();
        actors.directory().tell(new DirectoryCommand.ListTargets(targets::complete));
        actors.peers().tell(new PeersCommand.ListSites(entries::complete));
        return targets.thenCombine(entries, (guards, peers) -> {
            List<SiteView> sites = new ArrayList<>(peers);
            for (TargetView guard : guards) {
                boolean isReachable = !guard.state().equals("SILENT");
                sites.add(new SiteView(
                        guard.vm(), "guard", guard.zone(), guard.region(), guard.rulesRevision(), isReachable));
            }
            return JsonBodies.toResponse(200, Map.of("sites", sites));
        });
    }

    private static RulesRecord.Publish parse(JsonNode node) throws IOException {
        String publishId = node.path("publishId").asText("");
        String operator = node.path("operator").asText("");
        if (!publishId.matches(ID_PATTERN)) {
            throw new IOException("publishId must match " + ID_PATTERN);
        }
        if (!node.path("baseRevision").isIntegralNumber()) {
            throw new IOException("baseRevision must be a whole number");
        }
        if (operator.isBlank() || operator.length() > MAX_OPERATOR_CHARACTERS) {
            throw new IOException("operator must have 1 to " + MAX_OPERATOR_CHARACTERS + " characters");
        }
        return new RulesRecord.Publish(
                publishId,
                node.path("baseRevision").asLong(),
                toLines(node, "removed"),
                toLines(node, "added"),
                operator);
    }

    private static List<String> toLines(JsonNode node, String field) throws IOException {
        JsonNode array = node.path(field);
        if (array.isMissingNode()) {
            return List.of();
        }
        List<String> lines = new ArrayList<>();
        for (JsonNode line : array) {
            if (!line.isTextual()) {
                throw new IOException(field + " must be an array of strings, one per line");
            }
            lines.add(line.asText());
        }
        if (!array.isArray()) {
            throw new IOException(field + " must be an array of strings, one per line");
        }
        return lines;
    }

    private static HttpResponse toResponse(PublishAnswer answer) {
        return switch (answer) {
            case PublishAnswer.Accepted accepted -> {
                Map<String, Object> body = new LinkedHashMap<>();
                body.put("status", "accepted");
                body.put("revision", accepted.revision());
                yield JsonBodies.toResponse(200, body);
            }
            case PublishAnswer.Conflict conflict -> {
                Map<String, Object> extraFields = new LinkedHashMap<>();
                extraFields.put("status", "conflict");
                extraFields.put("revision", conflict.revision());
                extraFields.put("lines", conflict.lines());
                yield OperatorEndpoint.toError(
                        Problem.of(ErrorCode.CONFLICT, "another operator published revision " + conflict.revision()),
                        extraFields);
            }
            case PublishAnswer.Rejected rejected ->
                OperatorEndpoint.toError(rejected.problem(), Map.of("faults", rejected.faults()));
            case PublishAnswer.Unavailable unavailable -> OperatorEndpoint.toError(unavailable.problem());
        };
    }
}
