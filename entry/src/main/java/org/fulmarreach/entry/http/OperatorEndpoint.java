package org.fulmarreach.entry.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.AskPattern;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.entry.budget.BudgetCommand;
import org.fulmarreach.entry.guards.DirectoryCommand;
import org.fulmarreach.entry.guards.TargetView;
import org.fulmarreach.entry.work.LeaseView;
import org.fulmarreach.entry.work.WorkCommand;
import org.fulmarreach.entry.work.WorkExplanation;
import org.fulmarreach.entry.work.WorkView;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/** HTTP endpoints for operators, health and metrics. Thread-safe. */
final class OperatorEndpoint {
    private static final Duration ASK_TIMEOUT = Duration.ofSeconds(5);
    private static final String WORK = "/v1/work/";
    private static final String TARGETS = "/v1/targets/";

    private final ActorSystem<?> system;
    private final EntryActors actors;
    private final RulesEndpoint rules;
    private final BodyReader bodies;
    private final PrometheusMeterRegistry meters;
    private final byte[] authorization;

    OperatorEndpoint(
            ActorSystem<?> system,
            EntryActors actors,
            RulesEndpoint rules,
            BodyReader bodies,
            PrometheusMeterRegistry meters,
            String token) {
        this.system = system;
        this.actors = actors;
        this.rules = rules;
        this.bodies = bodies;
        this.meters = meters;
        this.authorization = token.isEmpty() ? null : ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
    }

    CompletionStage<HttpResponse> handle(HttpRequest request) {
        String path = request.getUri().path();
        if (!path.equals("/health") && !isAuthorized(request)) {
            return bodies.read(
                    request,
                    body -> error(Problem.of(
                            ErrorCode.UNAUTHORIZED, "this endpoint requires the header Authorization: Bearer TOKEN")));
        }
        String key = request.method().value() + " " + path;
        return bodies.read(request, body -> dispatch(key, path, body));
    }

    private CompletionStage<HttpResponse> dispatch(String key, String path, byte[] body) {
        return switch (key) {
            case "GET /health" -> rules.health();
            case "GET /metrics" ->
                done(HttpResponse.create()
                        .withEntity(
                                ContentTypes.TEXT_PLAIN_UTF8, meters.scrape().getBytes(StandardCharsets.UTF_8)));
            case "GET /v1/rules" -> rules.list();
            case "POST /v1/rules" -> rules.publish(body);
            case "GET /v1/rules/sites" -> rules.listSites();
            case "GET /v1/targets" -> listTargets();
            case "GET /v1/work" -> ask(WorkCommand.ListWork::new, (List<WorkView> work) -> Map.of("work", work));
            case "GET /v1/leases" ->
                ask(WorkCommand.ListLeases::new, (List<LeaseView> leases) -> Map.of("leases", leases));
            case "GET /v1/budget" -> reportBudget();
            default -> dispatchWithName(key, path);
        };
    }

    private CompletionStage<HttpResponse> dispatchWithName(String key, String path) {
        String method = key.substring(0, key.indexOf(' '));
        if (method.equals("POST") && path.startsWith(TARGETS) && path.endsWith("/drain")) {
            return drain(path.substring(TARGETS.length(), path.length() - "/drain".length()));
        }
        if (method.equals("POST") && path.startsWith(WORK) && path.endsWith("/cancel")) {
            return cancel(path.substring(WORK.length(), path.length() - "/cancel".length()));
        }
        if (method.equals("GET") && path.startsWith(WORK)) {
            return explain(path.substring(WORK.length()));
        }
        return error(Problem.of(ErrorCode.NOT_FOUND, "there is no endpoint at " + path));
    }

    /*
     * Helpers: endpoints
     */

    private CompletionStage<HttpResponse> listTargets() {
        return askWithCallback(
                (Consumer<List<TargetView>> reply) -> actors.directory().tell(new DirectoryCommand.ListTargets(reply)),
                targets -> JsonBodies.toResponse(200, Map.of("targets", targets)));
    }

    private CompletionStage<HttpResponse> drain(String vm) {
        return askWithCallback(
                (Consumer<Boolean> reply) -> actors.directory().tell(new DirectoryCommand.DrainTarget(vm, reply)),
                sent -> sent
                        ? JsonBodies.toResponse(200, Map.of("vm", vm, "status", "draining"))
                        : toError(Problem.of(
                                ErrorCode.NOT_FOUND, "the guard of VM " + vm + " is not connected to this entry")));
    }

    private CompletionStage<HttpResponse> reportBudget() {
        return askWithCallback(
                (Consumer<org.fulmarreach.entry.budget.BudgetView> reply) ->
                        actors.budget().tell(new BudgetCommand.Report(reply)),
                view -> JsonBodies.toResponse(200, view));
    }

    private CompletionStage<HttpResponse> explain(String name) {
        return AskPattern.<WorkCommand, Result<WorkExplanation>>ask(
                        actors.work(),
                        reply -> new WorkCommand.ExplainWork(name, reply),
                        ASK_TIMEOUT,
                        system.scheduler())
                .thenApply(result -> switch (result) {
                    case Result.Ok<WorkExplanation> ok -> JsonBodies.toResponse(200, ok.value());
                    case Result.Err<WorkExplanation> err -> toError(err.problem());
                });
    }

    private CompletionStage<HttpResponse> cancel(String name) {
        return AskPattern.<WorkCommand, Result<Done>>ask(
                        actors.work(),
                        reply -> new WorkCommand.CancelWork(name, reply),
                        ASK_TIMEOUT,
                        system.scheduler())
                .thenApply(result -> switch (result) {
                    case Result.Ok<Done> ok -> JsonBodies.toResponse(200, Map.of("name", name, "status", "cancelled"));
                    case Result.Err<Done> err -> toError(err.problem());
                })
                .exceptionally(failure -> toError(Problem.of(
                        ErrorCode.STORE_UNAVAILABLE,
                        "the cancellation was not confirmed; check the work and repeat it")));
    }

    /*
     * Helpers
     */

    private <T> CompletionStage<HttpResponse> ask(
            org.apache.pekko.japi.function.Function<org.apache.pekko.actor.typed.ActorRef<T>, WorkCommand> message,
            java.util.function.Function<T, Map<String, T>> toBody) {
        return AskPattern.<WorkCommand, T>ask(actors.work(), message, ASK_TIMEOUT, system.scheduler())
                .thenApply(answer -> JsonBodies.toResponse(200, toBody.apply(answer)));
    }

    private static <T> CompletionStage<HttpResponse> askWithCallback(
            Consumer<Consumer<T>> send, java.util.function.Function<T, HttpResponse> toResponse) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        send.accept(answer::complete);
        return answer.thenApply(toResponse);
    }

    private boolean isAuthorized(HttpRequest request) {
        if (authorization == null) {
            return true;
        }
        String given = request.getHeader("Authorization").map(HttpHeader::value).orElse("");
        return MessageDigest.isEqual(authorization, given.getBytes(StandardCharsets.UTF_8));
    }

    static HttpResponse toError(Problem problem) {
        return toError(problem, Map.of());
    }

    static HttpResponse toError(Problem problem, Map<String, ?> extraFields) {
        return JsonBodies.toError(JsonBodies.toStatus(problem.code()), null, problem, new LinkedHashMap<>(extraFields));
    }

    static CompletionStage<HttpResponse> error(Problem problem) {
        return done(toError(problem));
    }

    static CompletionStage<HttpResponse> done(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
