package org.fulmarreach.it;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import com.fasterxml.jackson.databind.JsonNode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a budget that is overspent when several entries send calls at its limit, an entry is killed while it
 * holds a part of the budget and is restarted, and the store fails (I10). The costs are counted at the targets.
 */
class BudgetLimitTest {
    private static final int AMOUNT = 300;
    private static final int COST = 3;
    private static final int CALLERS_PER_ENTRY = 3;
    private static final List<String> RULES = List.of(
            "urgent bestellung/checkout deadline=2s idempotent=no cost=" + COST + " # kreidekiste: Lena",
            "budget amount=" + AMOUNT + " every=1000d # federation: treasurer");

    private final AtomicInteger succeeded = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private Deployment deployment;

    @Test
    void executesNoMoreThanTheBudget() {
        try (Deployment started = Deployment.start(DeploymentPlan.small(1).withServiceMs(5))) {
            deployment = started;
            deployment.publish(RULES);
            WorkObserver.await("a call", () -> call(0).status() == 200);
            List<CompletableFuture<Void>> callers = new ArrayList<>();
            for (int i = 0; i < 2 * CALLERS_PER_ENTRY; i++) {
                int entry = i % 2;
                callers.add(CompletableFuture.runAsync(() -> callUntilStopped(entry)));
            }
            awaitSpent(AMOUNT / 10);
            restart(0);
            awaitSpent(AMOUNT / 4);
            deployment.controlStore("{\"outage\":\"refuse\"}");
            // During the outage of the store the entries spend the amounts they hold, then refuse further calls.
            awaitRefusals();
            deployment.controlStore("{\"outage\":\"none\"}");
            awaitSpent(AMOUNT / 2);
            deployment.controlStore("{\"loseAnswersShare\":0.5}");
            awaitRefusals();
            deployment.controlStore("{\"loseAnswersShare\":0}");
            restart(1);
            awaitRefusals();
            awaitRefusals();
            stopped.set(true);
            callers.forEach(CompletableFuture::join);
            int spent = countSpent();
            assertTrue(spent <= AMOUNT, "executed calls cost " + spent + " of " + AMOUNT);
            assertTrue(spent >= AMOUNT / 2, "executed calls cost only " + spent + " of " + AMOUNT);
            assertTrue(succeeded.get() > 0 && refused.get() > 0);
            assertEquals(List.of(), new WorkObserver(deployment).findInvariantEvents());
        }
    }

    private void restart(int index) {
        String name = deployment.entry(index).name();
        deployment.entry(index).process().kill();
        deployment.restartEntry(name);
        WorkObserver.await("rules at " + name, () -> {
            String operator = deployment.entries().get(name).operator();
            return deployment.http().get(operator, "/health").status() == 200;
        });
    }

    /** Waits until the executed calls cost at least {@code cost}, or until calls are refused for lack of budget. */
    private void awaitSpent(int cost) {
        int before = refused.get();
        WorkObserver.await("calls that cost " + cost, () -> countSpent() >= cost || refused.get() > before + 20);
    }

    private void awaitRefusals() {
        int before = refused.get();
        WorkObserver.await(
                "refusals with BUDGET_EXHAUSTED", () -> refused.get() >= before + 20 || countSpent() > AMOUNT);
    }

    private int countSpent() {
        int executed = 0;
        for (Deployment.VmProcess vm : deployment.vms().values()) {
            for (JsonNode entry : deployment.readJournal(vm.target())) {
                boolean isCharged = entry.path("path").asText().contains("checkout");
                executed += entry.path("event").asText().equals("EXECUTE") && isCharged ? 1 : 0;
            }
        }
        return executed * COST;
    }

    private void callUntilStopped(int index) {
        while (!stopped.get()) {
            try {
                Http.Answer answer = call(index);
                if (answer.status() == 200) {
                    succeeded.incrementAndGet();
                } else if (answer.json().path("code").asText().equals("BUDGET_EXHAUSTED")) {
                    refused.incrementAndGet();
                    Thread.sleep(20);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException e) {
                // The entry is down; the next call is sent to it again.
                Thread.onSpinWait();
            }
        }
    }

    private Http.Answer call(int index) {
        String caller = deployment.entry(index).caller();
        String id = deployment.http().createRequestId(caller, "bestellung");
        return deployment.http().call(caller, "bestellung/checkout", id, 2_000);
    }
}
