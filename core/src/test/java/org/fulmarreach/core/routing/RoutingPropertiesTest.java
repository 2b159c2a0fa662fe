package org.fulmarreach.core.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against ejection of most targets of a service, a queue that grows without bound or keeps calls that have
 * missed their deadline, congestion collapse under overload, and retries that amplify an overload.
 */
class RoutingPropertiesTest {
    private static final String SEED = "20261204";

    @Property(seed = SEED, tries = 200)
    void neverMoreThanHalfOfTheTargetsAreEjected(
            @ForAll @IntRange(min = 1, max = 12) int targets, @ForAll @IntRange(max = 100) int failurePercent) {
        OutlierEjection ejection = new OutlierEjection();
        Random random = new Random(targets * 1_000L + failurePercent);
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < targets; i++) {
            ids.add("t" + i);
        }
        ejection.setTargets(ids);
        for (long nowMs = 0; nowMs < 2_000; nowMs++) {
            if (nowMs == 1_500) {
                ids.remove("t0");
                ejection.setTargets(ids);
            }
            String id = "t" + random.nextInt(targets);
            ejection.recordSend(id, nowMs * 20);
            ejection.record(id, random.nextInt(100) >= failurePercent, nowMs * 20);
            assertTrue(ejection.countEjected() * 2 <= ids.size(), "ejected " + ejection.countEjected());
        }
    }

    @Test
    void failingTargetIsProbedOnceAfterEachLongerEjection() {
        OutlierEjection ejection = new OutlierEjection();
        ejection.setTargets(Set.of("bad", "good"));
        for (int i = 0; i < OutlierEjection.WINDOW; i++) {
            ejection.record("bad", false, 0);
        }
        long untilMs = 0;
        for (long lengthMs : new long[] {5_000, 10_000, 20_000, 40_000, 60_000, 60_000}) {
            untilMs += lengthMs;
            assertFalse(ejection.isAvailable("bad", untilMs - 1));
            assertTrue(ejection.isAvailable("bad", untilMs));
            ejection.recordSend("bad", untilMs);
            assertFalse(ejection.isAvailable("bad", untilMs + 1), "only one probe at a time");
            ejection.record("bad", false, untilMs);
        }
        ejection.recordSend("bad", untilMs + 60_000);
        ejection.record("bad", true, untilMs + 60_000);
        assertEquals(0, ejection.countEjected());
    }

    @Property(seed = SEED, tries = 100)
    void queueIsBoundedAndExpiresCallsInTime(
            @ForAll @IntRange(min = 1, max = 16) int slots,
            @ForAll @IntRange(min = 1, max = 200) int serviceMs,
            @ForAll @IntRange(min = 1, max = 64) int maxQueued) {
        CallQueue<Long> queue = new CallQueue<>(maxQueued);
        Random random = new Random(slots * 31L + serviceMs);
        for (long nowMs = 0; nowMs < 3_000; nowMs++) {
            for (long deadlineMs : queue.expire(serviceMs, nowMs)) {
                assertEquals(
                        deadlineMs - serviceMs,
                        nowMs - 1,
                        "expired in the first millisecond in which the deadline cannot be met");
            }
            long deadlineMs = nowMs + random.nextInt(1_000);
            if (queue.offer(deadlineMs, deadlineMs, slots, serviceMs, nowMs)) {
                assertTrue(deadlineMs >= nowMs + serviceMs);
            }
            assertTrue(queue.size() <= Math.min(maxQueued, 4 * slots));
            assertTrue(queue.estimateRetryDelayMs(slots, serviceMs) > 0);
            if (random.nextInt(20) == 0) {
                queue.poll();
            }
        }
    }

    @Property(seed = SEED, tries = 60)
    void throughputStaysAtCapacityUnderTwofoldLoad(
            @ForAll @IntRange(min = 2, max = 32) int slots,
            @ForAll @IntRange(min = 5, max = 100) int serviceMs,
            @ForAll @IntRange(min = 3, max = 20) int deadlineInServiceTimes) {
        CallQueue<Long> queue = new CallQueue<>(256);
        PriorityQueue<Long> runningUntilMs = new PriorityQueue<>();
        double arrivalsPerMs = 2.0 * slots / serviceMs;
        double pendingArrivals = 0;
        long inTime = 0;
        long lengthMs = 200L * serviceMs;
        for (long nowMs = 0; nowMs < lengthMs; nowMs++) {
            while (!runningUntilMs.isEmpty() && runningUntilMs.peek() <= nowMs) {
                runningUntilMs.poll();
            }
            queue.expire(serviceMs, nowMs);
            for (pendingArrivals += arrivalsPerMs; pendingArrivals >= 1; pendingArrivals--) {
                long deadlineMs = nowMs + (long) deadlineInServiceTimes * serviceMs;
                if (runningUntilMs.size() < slots && queue.size() == 0) {
                    runningUntilMs.add(nowMs + serviceMs);
                    inTime++;
                } else {
                    queue.offer(deadlineMs, deadlineMs, slots, serviceMs, nowMs);
                }
            }
            while (runningUntilMs.size() < slots && queue.size() > 0) {
                long deadlineMs = queue.poll().orElseThrow();
                runningUntilMs.add(nowMs + serviceMs);
                inTime += nowMs + serviceMs <= deadlineMs ? 1 : 0;
            }
        }
        double capacityInCalls = (double) lengthMs * slots / serviceMs;
        assertTrue(inTime >= 0.95 * capacityInCalls, inTime + " of " + capacityInCalls);
    }

    @Test
    void localZoneIsPreferredUpToEightyPercentUtilization() {
        TargetChooser chooser = new TargetChooser("a");
        Random random = new Random(1);
        for (int load = 0; load <= 10; load++) {
            List<Candidate> candidates = List.of(new Candidate("l", "a", 10, load), new Candidate("r", "b", 10, 0));
            Set<String> chosen = new HashSet<>();
            for (int i = 0; i < 50; i++) {
                chooser.choose(candidates, random).ifPresent(candidate -> chosen.add(candidate.id()));
            }
            assertEquals(load <= 8 ? Set.of("l") : Set.of("r"), chosen, "local load " + load);
        }
        List<Candidate> full = List.of(new Candidate("l", "a", 1, 1));
        assertTrue(chooser.choose(full, random).isEmpty());
    }

    @Test
    void twoChoicesKeepTheLoadEven() {
        TargetChooser chooser = new TargetChooser("a");
        Random random = new Random(2);
        int[] load = new int[10];
        for (int call = 0; call < 400; call++) {
            List<Candidate> candidates = new ArrayList<>();
            for (int i = 0; i < load.length; i++) {
                candidates.add(new Candidate(Integer.toString(i), "a", 1_000, load[i]));
            }
            load[
                    Integer.parseInt(
                            chooser.choose(candidates, random).orElseThrow().id())]++;
        }
        for (int each : load) {
            assertTrue(Math.abs(each - 40) <= 6, "load " + each);
        }
    }

    @Test
    void retriesAreLimitedToTenPercentOfTheCalls() {
        RetryBudget budget = new RetryBudget();
        int retries = 0;
        for (int call = 0; call < 10_000; call++) {
            budget.recordFirstAttempt();
            retries += budget.tryAcquireRetry() ? 1 : 0;
        }
        assertTrue(retries <= 1_000 + RetryBudget.MAX_BURST_RETRIES, "retries " + retries);
    }
}
