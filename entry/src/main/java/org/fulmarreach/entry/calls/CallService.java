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
 * Takes a call from its rule through budget, routing and forwarding to its final answer. Thread-safe; keeps no state of
 * calls.
 */
public final class CallService implements ForwardedCalls {
    private static final long RETRY_AFTER_MS = 1_000;
    private static final long MAX_WAIT_FOR_BUDGET_MS = 500;

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

    /** Takes over newer rules. */
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

    /** Returns why no call is taken at all now; null if calls are taken. */
    public Problem findRefusal() {
        if (draining) {
            return Problem.of(ErrorCode.SHUTTING_DOWN, "this entry is shutting down")
                    .withRetryAfterMs(RETRY_AFTER_MS);
        }
        if (rules == null) {
            return Problem.of(ErrorCode.RULES_NOT_LOADED, "this entry has read neither the log service nor a peer")
                    .withRetryAfterMs(RETRY_AFTER_MS);
        }
        return null;
    }

    /** Returns the number of calls without a final answer. */
    public int countRunning() {
        return running.get();
    }

    /** Returns the rules in force; null before the first. */
    public RulesInForce rules() {
        return rules;
    }

    /** Answers a call of a caller. */
    public CompletionStage<CallAnswer> call(CallInput input) {
        CompletableFuture<CallAnswer> answer = new CompletableFuture<>();
        Problem refusal = findRefusal();
        if (refusal != null) {
            boolean isProof = input.requestId().isEmpty();
            answer.complete(isProof ? new CallAnswer.NotRun("", refusal) : new CallAnswer.Rejected(refusal));
            return answer;
        }
        UrgentRule rule =
                rules.rules().findUrgent(input.service(), input.rulePath()).orElse(null);
        if (rule == null) {
            answer.complete(new CallAnswer.Rejected(Problem.of(
                    ErrorCode.NO_SUCH_SERVICE, "no urgent rule matches " + input.service() + "/" + input.rulePath())));
            return answer;
        }
        if (!rule.idempotent() && input.requestId().isEmpty()) {
            answer.complete(new CallAnswer.Rejected(Problem.of(
                    ErrorCode.REQUEST_ID_REQUIRED, "a call of " + input.service() + " here is not idempotent")));
            return answer;
        }
        running.incrementAndGet();
        long startNs = System.nanoTime();
        // Callers who have their answer find it counted, so it is handed on after that.
        CompletableFuture<CallAnswer> counted = answer.thenApply(done -> {
            running.decrementAndGet();
            meters.record(rule.member().name(), rule.service(), done, System.nanoTime() - startNs);
            return done;
        });
        charge(toRequest(input, rule), rule.cost(), answer::complete);
        return counted;
    }

    /** Makes an id bound to a guard of this region, or of another one if no target is ready here. */
    public void mintId(String service, Consumer<Result<String>> reply) {
        mintLocalId(service, result -> {
            if (result instanceof Result.Err<String> && forwarder.hasRoomElsewhere(service)) {
                forwarder.mintElsewhere(service, reply);
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
        boolean mayLeave = input.requestId().isEmpty() && forwarder.hasRoomElsewhere(input.service());
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
                mayLeave,
                null);
    }

    private void charge(CallRequest request, long cost, Consumer<CallAnswer> reply) {
        if (cost == 0) {
            route(request, reply);
            return;
        }
        long nowMs = clock.nowMs();
        long untilMs = nowMs + Math.min(MAX_WAIT_FOR_BUDGET_MS, (request.deadlineMs() - nowMs) / 2);
        budget.tell(new BudgetCommand.Spend(cost, untilMs, result -> {
            switch (result) {
                case Result.Ok<Purse.Spend> ok ->
                    route(request, answer -> {
                        refund(ok.value(), answer);
                        reply.accept(answer);
                    });
                // Another entry may have sent the id, so that only its guard can say that it did not run.
                case Result.Err<Purse.Spend> err -> route(request.withRefusal(err.problem()), reply);
            }
        }));
    }

    private void refund(Purse.Spend spend, CallAnswer answer) {
        boolean isUnused = answer instanceof CallAnswer.NotRun
                || answer instanceof CallAnswer.Answered answered && answered.isRepetition();
        if (isUnused) {
            budget.tell(new BudgetCommand.Refund(spend));
        }
    }

    private void route(CallRequest request, Consumer<CallAnswer> reply) {
        directory.tell(new DirectoryCommand.SubmitCall(request, answer -> {
            if (answer instanceof CallAnswer.Elsewhere elsewhere) {
                forwarder.forward(request, forwarded -> takeForwarded(request, elsewhere.problem(), forwarded, reply));
            } else {
                reply.accept(answer);
            }
        }));
    }

    private void takeForwarded(CallRequest request, Problem local, CallAnswer forwarded, Consumer<CallAnswer> reply) {
        boolean isTaken = !(forwarded instanceof CallAnswer.Elsewhere);
        if (request.isBound()) {
            reply.accept(isTaken ? forwarded : new CallAnswer.Unknown(request.requestId(), local));
        } else if (isTaken && !(forwarded instanceof CallAnswer.NotRun)) {
            reply.accept(forwarded);
        } else {
            directory.tell(new DirectoryCommand.SubmitCall(request.withoutLeavingRegion(), reply));
        }
    }
}
