package org.fulmarreach.entry.calls;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.budget.Purse;
import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.rules.RulesInForce;
import org.fulmarreach.core.rules.UrgentRule;
import org.fulmarreach.entry.budget.BudgetCommand;
import org.fulmarreach.entry.guards.DirectoryCommand;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Processes calls from end to end: finds the rule, charges the budget, routes or forwards the call and returns its
 * final answer. Thread-safe; holds no state of single calls.
 */
public final class CallService implements ForwardedCalls {
    private static final long RETRY_AFTER_MS = 1_000;
    private static final long MAX_BUDGET_WAIT_MS = 500;

    private final ActorRef<DirectoryCommand> directory;
    private final ActorRef<BudgetCommand> budget;
    private final CallForwarder forwarder;
    private final MonotonicClock clock;
    private final CallMeters meters;
    private volatile RulesInForce rules;
    private final AtomicInteger running = new AtomicInteger();
    private volatile boolean draining;

    /** Constructs the service of one entry. */
    public CallService(
            ActorRef<DirectoryCommand> directory,
            ActorRef<BudgetCommand> budget,
            CallForwarder forwarder,
            MonotonicClock clock,
            CallMeters meters) {
        this.directory = directory;
        this.budget = budget;
        this.forwarder = forwarder;
        this.clock = clock;
        this.meters = meters;
    }

    /*
     * Life cycle
     */

    /** Replaces the rules in force. */
    public void setRules(RulesInForce newRules) {
        rules = newRules;
    }

    /** Refuses new calls from now on. */
    public void drain() {
        draining = true;
    }

    /*
     * Public API
     */

    /** Returns why this entry currently accepts no calls; null if it accepts them. */
    public Problem findRefusal() {
        if (draining) {
            return Problem.of(ErrorCode.SHUTTING_DOWN, "this entry is shutting down")
                    .withRetryAfterMs(RETRY_AFTER_MS);
        }
        if (rules == null) {
            return Problem.of(
                            ErrorCode.RULES_NOT_LOADED,
                            "this entry has not loaded rules from the log service or a peer yet")
                    .withRetryAfterMs(RETRY_AFTER_MS);
        }
        return null;
    }

    /** Returns the number of calls without a final answer. */
    public int countRunning() {
        return running.get();
    }

    /** Returns the rules in force; null until rules are loaded. */
    public RulesInForce rules() {
        return rules;
    }

    /** Processes a call; the stage completes with the final answer. */
    public CompletionStage<CallAnswer> call(CallInput input) {
        CompletableFuture<CallAnswer> answer = new CompletableFuture<>();
        Problem refusal = findRefusal();
        if (refusal != null) {
            boolean isUnbound = input.requestId().isEmpty();
            answer.complete(isUnbound ? new CallAnswer.NotRun("", refusal) : new CallAnswer.Rejected(refusal));
            return answer;
        }
        UrgentRule rule =
                rules.rules().findUrgent(input.service(), input.rulePath()).orElse(null);
        if (rule == null) {
            answer.complete(new CallAnswer.Rejected(Problem.of(
                    ErrorCode.NO_SUCH_SERVICE,
                    "no urgent rule matches the path " + input.service() + "/" + input.rulePath())));
            return answer;
        }
        if (!rule.idempotent() && input.requestId().isEmpty()) {
            answer.complete(new CallAnswer.Rejected(Problem.of(
                    ErrorCode.REQUEST_ID_REQUIRED,
                    "calls of " + input.service() + " at this path are not idempotent and need a request id")));
            return answer;
        }
        running.incrementAndGet();
        long startNs = System.nanoTime();
        // The call is recorded before its answer is passed on, so that a caller with an answer finds it in the metrics.
        CompletableFuture<CallAnswer> counted = answer.thenApply(done -> {
            running.decrementAndGet();
            meters.record(rule.member().name(), rule.service(), done, System.nanoTime() - startNs);
            return done;
        });
        charge(toRequest(input, rule), rule.cost(), answer::complete);
        return counted;
    }

    /** Mints an id bound to a guard of this region, or of another region if no target is ready in this one. */
    public void mintId(String service, Consumer<Result<String>> reply) {
        mintLocalId(service, result -> {
            if (result instanceof Result.Err<String> && forwarder.hasFreeSlotsInOtherRegion(service)) {
                forwarder.mintInOtherRegion(service, reply);
            } else {
                reply.accept(result);
            }
        });
    }

    @Override
    public void mintLocalId(String service, Consumer<Result<String>> reply) {
        directory.tell(new DirectoryCommand.MintId(service, reply));
    }

    @Override
    public void submitForwarded(CallRequest request, Consumer<CallAnswer> reply) {
        directory.tell(new DirectoryCommand.SubmitCall(request, reply));
    }

    /*
     * Helpers
     */

    private CallRequest toRequest(CallInput input, UrgentRule rule) {
        long allowedMs = input.deadlineMs() > 0 ? input.deadlineMs() : rule.deadlineMs();
        boolean mayForward = input.requestId().isEmpty() && forwarder.hasFreeSlotsInOtherRegion(input.service());
        return new CallRequest(
                input.requestId(),
                input.service(),
                input.method(),
                input.targetPath(),
                input.headers(),
                input.body(),
                rule.member().name(),
                rule.idempotent(),
                clock.nowMs() + allowedMs,
                mayForward,
                null);
    }

    private void charge(CallRequest request, long cost, Consumer<CallAnswer> reply) {
        if (cost == 0) {
            route(request, reply);
            return;
        }
        long nowMs = clock.nowMs();
        long untilMs = nowMs + Math.min(MAX_BUDGET_WAIT_MS, (request.deadlineMs() - nowMs) / 2);
        budget.tell(new BudgetCommand.Spend(cost, untilMs, result -> {
            switch (result) {
                case Result.Ok<Purse.Spend> ok ->
                    route(request, answer -> {
                        refund(ok.value(), answer);
                        reply.accept(answer);
                    });
                // Another entry may have sent the same id, so only its guard can confirm that the call did not run.
                case Result.Err<Purse.Spend> err -> route(request.withRefusal(err.problem()), reply);
            }
        }));
    }

    private void refund(Purse.Spend spend, CallAnswer answer) {
        boolean isSpendUnused = answer instanceof CallAnswer.NotRun
                || answer instanceof CallAnswer.Answered answered && answered.isRepetition();
        if (isSpendUnused) {
            budget.tell(new BudgetCommand.Refund(spend));
        }
    }

    private void route(CallRequest request, Consumer<CallAnswer> reply) {
        directory.tell(new DirectoryCommand.SubmitCall(request, answer -> {
            if (answer instanceof CallAnswer.NotRoutable notRoutable) {
                forwarder.forward(
                        request, forwarded -> handleForwarded(request, notRoutable.problem(), forwarded, reply));
            } else {
                reply.accept(answer);
            }
        }));
    }

    private void handleForwarded(CallRequest request, Problem local, CallAnswer forwarded, Consumer<CallAnswer> reply) {
        boolean isAccepted = !(forwarded instanceof CallAnswer.NotRoutable);
        if (request.isBound()) {
            reply.accept(isAccepted ? forwarded : new CallAnswer.Unknown(request.requestId(), local));
        } else if (isAccepted && !(forwarded instanceof CallAnswer.NotRun)) {
            reply.accept(forwarded);
        } else {
            directory.tell(new DirectoryCommand.SubmitCall(request.withoutForwarding(), reply));
        }
    }
}
