package org.fulmarreach.it;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against connections that go silent without closing and hold calls until their deadline or for ever (I13). */
class CallsSilenceTest {
    private static final long DEADLINE_MS = 5_000;

    /** Silence of 2 s, up to one heartbeat of 500 ms more, and reconnect, question and call on a busy machine. */
    private static final long BOUND_MS = 4_000;

    private static final Set<CallsClient.Told> DEFINITE = EnumSet.of(CallsClient.Told.WHOLE, CallsClient.Told.NOT_RUN);

    private final CallsClient client = new CallsClient();

    @Test
    void answersCallsWithinTheBoundWhenEstablishedConnectionsGoSilent() throws Exception {
        try (Deployment deployment = CallsRules.start(DeploymentPlan.small(1).withProxy())) {
            var options = new CallsTraffic.Options(8, 13, DEADLINE_MS, 0.5, List.of(0), false);
            String entry = deployment.entry(0).name();
            try (CallsTraffic traffic = CallsTraffic.start(deployment, client, options)) {
                for (int round = 0; round < 2; round++) {
                    awaitMoreWhole(traffic);
                    deployment.controlProxy(entry, "{\"silent\":true}");
                    awaitMoreWhole(traffic);
                    CallsRules.awaitTargets(deployment);
                }
                check(deployment, traffic.finish(30));
            }
        }
    }

    private void check(Deployment deployment, List<CallsTraffic.Call> calls) {
        CallsAudit audit = CallsAudit.read(deployment, client);
        long slowest = CallsTraffic.attemptsOf(calls)
                .mapToLong(CallsClient.Attempt::tookMs)
                .max()
                .orElse(0);
        long delayed = CallsTraffic.attemptsOf(calls)
                .filter(attempt -> attempt.tookMs() > 1_000)
                .count();
        System.out.println("silence: calls " + calls.size() + ", over 1 s " + delayed + ", slowest " + slowest
                + " ms, told: " + CallsAudit.countTold(calls));
        assertTrue(delayed > 0, "no call was on a silent connection");
        for (CallsTraffic.Call call : calls) {
            CallsClient.Attempt attempt = call.attempts().stream()
                    .map(CompletableFuture::join)
                    .toList()
                    .get(0);
            boolean fine =
                    call.id().isEmpty() ? attempt.told() == CallsClient.Told.WHOLE : DEFINITE.contains(attempt.told());
            assertTrue(fine, "I13: " + attempt);
        }
        assertTrue(slowest <= BOUND_MS, "I13: the slowest call took " + slowest + " ms");
        assertEquals(List.of(), audit.violations(), "I6, I1");
        assertEquals(List.of(), audit.findFalseNotRun(calls), "I5");
    }

    private static void awaitMoreWhole(CallsTraffic traffic) {
        long before = traffic.countWhole();
        Awaitility.await("whole answers")
                .atMost(Duration.ofSeconds(60))
                .pollInterval(Duration.ofMillis(50))
                .until(() -> traffic.countWhole() >= before + 50);
    }
}
