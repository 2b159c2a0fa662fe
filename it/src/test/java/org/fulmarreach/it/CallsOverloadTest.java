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

/** Guards against calls that are given up but held back, or refused without saying when to come back (I14). */
class CallsOverloadTest {
    private static final int SERVICE_MS = 50;
    private static final int SLOTS = 2;
    private static final int VMS = 2;
    private static final int CAPACITY_PER_S = VMS * SLOTS * 1_000 / SERVICE_MS;
    private static final int RATE_PER_S = 3 * CAPACITY_PER_S;
    private static final int SECONDS = 5;
    private static final long DEADLINE_MS = 5_000;

    /** A refusal needs no answer of a target; a question to the guard takes a few milliseconds on an idle machine. */
    private static final long AT_ONCE_MS = 250;

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
                CallsTraffic.Call made = call.get(60, TimeUnit.SECONDS);
                made.attempts().get(0).get(60, TimeUnit.SECONDS);
                calls.add(made);
            }
            check(calls, CallsAudit.read(deployment, client));
        }
    }

    private CallsTraffic.Call send(Deployment deployment, int number) {
        Deployment.EntryProcess entry = deployment.entry(number % 2);
        String id = number % 4 < 2 ? "" : client.createId(entry, DEADLINE_MS);
        String path = (id.isEmpty() ? "/stock/" : "/checkout/") + number + "?bytes=700";
        // An id that was refused leaves a call that is refused for lack of it, and is not counted below.
        String sentPath = number % 4 >= 2 && id.isEmpty() ? "/checkout/none?bytes=700" : path;
        return new CallsTraffic.Call(
                id, System.currentTimeMillis(), List.of(client.call(entry, id, sentPath, 700, DEADLINE_MS)));
    }

    private void check(List<CallsTraffic.Call> calls, CallsAudit audit) {
        List<CallsClient.Attempt> refused = CallsTraffic.attemptsOf(calls)
                .filter(attempt -> attempt.told() == CallsClient.Told.NOT_RUN
                        || attempt.told() == CallsClient.Told.REJECTED
                        || attempt.told() == CallsClient.Told.UNKNOWN)
                .toList();
        long[] tookMs =
                refused.stream().mapToLong(CallsClient.Attempt::tookMs).sorted().toArray();
        System.out.println("overload: calls " + calls.size() + ", told: " + CallsAudit.countTold(calls)
                + ", refusals p50 " + percentile(tookMs, 50) + " p99 " + percentile(tookMs, 99) + " max "
                + percentile(tookMs, 100) + " ms, over " + AT_ONCE_MS + " ms: " + countLate(refused));
        assertTrue(refused.size() > calls.size() / 3, "no overload: only " + refused.size() + " refusals");
        for (CallsClient.Attempt attempt : refused) {
            assertTrue(
                    attempt.retryAfterMs() > 0 && attempt.retryAfterHeader(),
                    "I14: not told when to return: " + attempt);
        }
        assertTrue(percentile(tookMs, 100) < DEADLINE_MS / 2, "I14: a refusal was held for " + percentile(tookMs, 100));
        assertTrue(percentile(tookMs, 99) <= AT_ONCE_MS, "I14: p99 of refusals is " + percentile(tookMs, 99) + " ms");
        assertEquals(List.of(), audit.violations(), "I6, I1");
        assertEquals(List.of(), audit.findFalseNotRun(calls), "I5");
    }

    /** Counts the late refusals by what was said, with an id from the caller or without. */
    private static Map<String, Long> countLate(List<CallsClient.Attempt> refused) {
        return refused.stream()
                .filter(attempt -> attempt.tookMs() > AT_ONCE_MS)
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
