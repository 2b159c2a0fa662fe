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

/**
 * Guards against calls that wait until their deadline, or without end, on a connection that drops all bytes without
 * being closed (I13).
 */
class CallsSilenceTest {
    private static final long DEADLINE_MS = 5_000;

    /**
     * Silence timeout of 2 s, plus up to one heartbeat of 500 ms, plus the time to reconnect, look up the outcome and
     * send the call on a busy machine.
     */
    private static final long MAX_CALL_MS = 4_000;

    private static final Set<CallsClient.Outcome> DEFINITE =
            EnumSet.of(CallsClient.Outcome.WHOLE, CallsClient.Outcome.NOT_RUN);

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
        long slowestMs = CallsTraffic.attemptsOf(calls)
                .mapToLong(CallsClient.Attempt::tookMs)
                .max()
                .orElse(0);
        long delayedCalls = CallsTraffic.attemptsOf(calls)
                .filter(attempt -> attempt.tookMs() > 1_000)
                .count();
        System.out.println("silence: calls " + calls.size() + ", over 1 s " + delayedCalls + ", slowest " + slowestMs
                + " ms, outcomes: " + CallsAudit.countOutcomes(calls));
        assertTrue(delayedCalls > 0, "no call was sent on a silent connection");
        for (CallsTraffic.Call call : calls) {
            CallsClient.Attempt attempt = call.attempts().stream()
                    .map(CompletableFuture::join)
                    .toList()
                    .get(0);
            boolean isExpected = call.id().isEmpty()
                    ? attempt.outcome() == CallsClient.Outcome.WHOLE
                    : DEFINITE.contains(attempt.outcome());
            assertTrue(isExpected, "I13: " + attempt);
        }
        assertTrue(slowestMs <= MAX_CALL_MS, "I13: the slowest call took " + slowestMs + " ms");
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
