package org.fulmarreach.it;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against overload refusals that are delayed or do not state when to retry (I14). */
class CallsOverloadTest {
    private static final int SERVICE_MS = 50;
    private static final int SLOTS = 2;
    private static final int VMS = 2;
    private static final int CAPACITY_PER_S = VMS * SLOTS * 1_000 / SERVICE_MS;
    private static final int RATE_PER_S = 3 * CAPACITY_PER_S;
    private static final int SECONDS = 5;
    private static final long DEADLINE_MS = 5_000;

    /**
     * A refusal needs no response from a target; a request to the guard takes a few milliseconds on an idle machine.
     */
    private static final long MAX_REFUSAL_P99_MS = 250;

    private final CallsClient client = new CallsClient();

    @Test
    void refusesAtOnceUnderOverload() throws Exception {
        DeploymentPlan plan =
                DeploymentPlan.small(1).withServiceMs(SERVICE_MS).withVmArgs("--slots", Integer.toString(SLOTS));
        try (Deployment deployment = CallsRules.start(plan);
                var timer = Executors.newScheduledThreadPool(1);
                var callers = Executors.newVirtualThreadPerTaskExecutor()) {
            List<CallsTraffic.Call> calls = new ArrayList<>();
            List<CompletableFuture<CallsTraffic.Call>> sent = new ArrayList<>();
            for (int i = 0; i < RATE_PER_S * SECONDS; i++) {
                int number = i;
                CompletableFuture<CallsTraffic.Call> call = new CompletableFuture<>();
                sent.add(call);
                timer.schedule(
                        () -> callers.execute(() -> call.complete(send(deployment, number))),
                        i * 1_000_000L / RATE_PER_S,
                        TimeUnit.MICROSECONDS);
            }
            for (CompletableFuture<CallsTraffic.Call> call : sent) {
                CallsTraffic.Call completed = call.get(60, TimeUnit.SECONDS);
                completed.attempts().get(0).get(60, TimeUnit.SECONDS);
                calls.add(completed);
            }
            check(calls, CallsAudit.read(deployment, client));
        }
    }

    private CallsTraffic.Call send(Deployment deployment, int number) {
        Deployment.EntryProcess entry = deployment.entry(number % 2);
        String id = number % 4 < 2 ? "" : client.createId(entry, DEADLINE_MS);
        String path = (id.isEmpty() ? "/stock/" : "/checkout/") + number + "?bytes=700";
        // Without an id, a call that needs one is refused; it goes to a separate path and is not counted below.
        String sentPath = number % 4 >= 2 && id.isEmpty() ? "/checkout/none?bytes=700" : path;
        return new CallsTraffic.Call(
                id, System.currentTimeMillis(), List.of(client.call(entry, id, sentPath, 700, DEADLINE_MS)));
    }

    private void check(List<CallsTraffic.Call> calls, CallsAudit audit) {
        List<CallsClient.Attempt> refused = CallsTraffic.attemptsOf(calls)
                .filter(attempt -> attempt.outcome() == CallsClient.Outcome.NOT_RUN
                        || attempt.outcome() == CallsClient.Outcome.REJECTED
                        || attempt.outcome() == CallsClient.Outcome.UNKNOWN)
                .toList();
        long[] tookMs =
                refused.stream().mapToLong(CallsClient.Attempt::tookMs).sorted().toArray();
        System.out.println("overload: calls " + calls.size() + ", outcomes: " + CallsAudit.countOutcomes(calls)
                + ", refusals p50 " + percentile(tookMs, 50) + " p99 " + percentile(tookMs, 99) + " max "
                + percentile(tookMs, 100) + " ms, over " + MAX_REFUSAL_P99_MS + " ms: " + countLateRefusals(refused));
        assertTrue(refused.size() > calls.size() / 3, "no overload: only " + refused.size() + " refusals");
        for (CallsClient.Attempt attempt : refused) {
            assertTrue(
                    attempt.retryAfterMs() > 0 && attempt.retryAfterHeader(),
                    "I14: the refusal does not state when to retry: " + attempt);
        }
        assertTrue(
                percentile(tookMs, 100) < DEADLINE_MS / 2,
                "I14: the slowest refusal took " + percentile(tookMs, 100) + " ms");
        assertTrue(
                percentile(tookMs, 99) <= MAX_REFUSAL_P99_MS,
                "I14: p99 of refusals is " + percentile(tookMs, 99) + " ms");
        assertEquals(List.of(), audit.violations(), "I6, I1");
        assertEquals(List.of(), audit.findFalseNotRun(calls), "I5");
    }

    /**
     * Counts the late refusals by error code, by whether the caller had sent a request id, and by the component that
     * refused.
     */
    private static Map<String, Long> countLateRefusals(List<CallsClient.Attempt> refused) {
        return refused.stream()
                .filter(attempt -> attempt.tookMs() > MAX_REFUSAL_P99_MS)
                .collect(Collectors.groupingBy(
                        attempt -> attempt.code() + " "
                                + (attempt.id().contains(".c") ? "with id" : "without id")
                                + (attempt.tookMs() > DEADLINE_MS - 500 ? " at the deadline" : "")
                                + (attempt.detail().contains("slots are in use") ? ", guard full" : ", by the entry"),
                        TreeMap::new,
                        Collectors.counting()));
    }

    private static long percentile(long[] sorted, int percent) {
        return sorted.length == 0 ? 0 : sorted[Math.max(0, (int) Math.ceil(sorted.length * percent / 100.0) - 1)];
    }
}
