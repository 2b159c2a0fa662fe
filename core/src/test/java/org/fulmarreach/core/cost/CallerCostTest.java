package org.fulmarreach.core.cost;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Properties that callers rely on, over random claims. */
class CallerCostTest {
    private static final int MAX_PRIORITY = 3;

    /** Guards against a caller who gains from handing in late or from being delayed. */
    @Property
    void laterIsNeverCheaper(
            @ForAll("claims") Claim claim,
            @ForAll @LongRange(max = 100_000) long oneMs,
            @ForAll @LongRange(max = 100_000) long otherMs) {
        long soonMs = Math.min(oneMs, otherMs);
        long lateMs = Math.max(oneMs, otherMs);
        assertTrue(CallerCost.delay(claim, soonMs) >= 0);
        assertTrue(CallerCost.delay(claim, lateMs) >= CallerCost.delay(claim, soonMs));
        assertTrue(CallerCost.benefitAfter(claim, lateMs) <= CallerCost.benefitAfter(claim, soonMs));
        assertTrue(CallerCost.delay(claim, Long.MAX_VALUE) >= CallerCost.delay(claim, lateMs), "no overflow");
    }

    /** A refusal costs as much as a delay without an end, so that no caller is refused to make a figure look better. */
    @Property
    void refusalCostsAsMuchAsAnEndlessDelay(@ForAll("finite") Claim.Finite claim) {
        assertEquals(CallerCost.refusal(claim), CallerCost.delay(claim, Long.MAX_VALUE));
    }

    /** Guards against a request of higher priority that waits for an equal one of lower priority. */
    @Property
    void higherPriorityNeverLosesToAnEqualClaimOfALowerOne(
            @ForAll("claims") Claim claim, @ForAll @IntRange(min = 1, max = 5) int lower) {
        Claim other = withPriority(claim, claim.priority() + lower);
        assertTrue(CallerCost.ORDER.compare(claim, other) < 0);
        assertTrue(CallerCost.density(claim) >= CallerCost.density(other));
        assertTrue(CallerCost.delay(claim, 1_000) >= CallerCost.delay(other, 1_000));
    }

    /** Guards against an order that depends on the unit of work and time, and so favours small or large requests. */
    @Property
    void scalingAllLoadsAlikeChangesNoOrder(
            @ForAll("claims") Claim one,
            @ForAll("claims") Claim other,
            @ForAll @IntRange(min = 1, max = 6) int doublings) {
        int factor = 1 << doublings;
        assertEquals(
                Integer.signum(CallerCost.ORDER.compare(one, other)),
                Integer.signum(CallerCost.ORDER.compare(scaled(one, factor), scaled(other, factor))));
    }

    /** Guards against a request that is put behind one of its priority and prospect which costs callers less. */
    @Property
    void roomGoesToTheClaimsThatCostCallersMost(@ForAll("claimLists") List<Claim> claims) {
        List<Claim> ordered = new ArrayList<>(claims);
        ordered.sort(CallerCost.ORDER);
        for (int i = 1; i < ordered.size(); i++) {
            Claim before = ordered.get(i - 1);
            Claim after = ordered.get(i);
            if (before.priority() == after.priority()) {
                int byProspect = CallerCost.prospect(before).compareTo(CallerCost.prospect(after));
                assertTrue(byProspect <= 0, before + " " + after);
                // The order ignores differences below a thousandth of the work.
                boolean asDense = CallerCost.remainingPermille(before) <= CallerCost.remainingPermille(after);
                assertTrue(byProspect < 0 || asDense, before + " " + after);
            }
        }
    }

    /** Guards against an order that is not transitive, which a sort does not survive. */
    @Property
    void orderIsTransitive(@ForAll("claims") Claim a, @ForAll("claims") Claim b, @ForAll("claims") Claim c) {
        List<Claim> sorted = new ArrayList<>(List.of(a, b, c));
        sorted.sort(CallerCost.ORDER);
        assertTrue(CallerCost.ORDER.compare(sorted.get(0), sorted.get(2)) <= 0);
        assertEquals(-CallerCost.ORDER.compare(a, b), CallerCost.ORDER.compare(b, a));
    }

    /** A run whose work is lost never costs less to stop than one whose work is saved. */
    @Property
    void lostWorkNeverMakesAStopCheaper(
            @ForAll("claims") Claim claim, @ForAll @IntRange(max = 1_000_000) int lostCoreMs) {
        assertTrue(CallerCost.stop(claim, 500, lostCoreMs) >= CallerCost.stop(claim, 500, 0));
        assertEquals(CallerCost.delay(claim, 500), CallerCost.stop(claim, 500, 0));
    }

    /** A quick request that can still be on time loses all by waiting, a standing task only the time of the wait. */
    @Property
    void claimsThatCanBeOnTimeGoBeforeStandingOnes(@ForAll("finite") Claim.Finite claim) {
        Claim.Standing standing = new Claim.Standing(claim.priority(), 4_000);
        boolean onTime = claim.remainingMs() <= claim.targetInMs();
        assertEquals(onTime, CallerCost.ORDER.compare(claim, standing) < 0);
    }

    @Provide
    Arbitrary<Claim.Finite> finite() {
        Arbitrary<Integer> priority = Arbitraries.integers().between(0, MAX_PRIORITY);
        Arbitrary<Long> targetInMs = Arbitraries.longs().between(-20_000, 20_000);
        Arbitrary<Long> latenessMs = Arbitraries.longs().between(0, 20_000);
        Arbitrary<Long> remainingMs = Arbitraries.longs().between(0, 10_000);
        Arbitrary<Integer> totalCoreMs = Arbitraries.integers().between(1, 1_000_000);
        Arbitrary<Integer> remainingPercent = Arbitraries.integers().between(0, 100);
        return Combinators.combine(priority, targetInMs, latenessMs, remainingMs, totalCoreMs, remainingPercent)
                .as((level, target, lateness, remaining, total, percent) -> new Claim.Finite(
                        level, target, target + lateness, remaining, total * (double) percent / 100, total));
    }

    @Provide
    Arbitrary<Claim> claims() {
        Arbitrary<Claim> standing = Combinators.combine(
                        Arbitraries.integers().between(0, MAX_PRIORITY),
                        Arbitraries.integers().between(1, 32_000))
                .as(Claim.Standing::new);
        return Arbitraries.oneOf(finite().map(claim -> (Claim) claim), standing);
    }

    @Provide
    Arbitrary<List<Claim>> claimLists() {
        return claims().list().ofMaxSize(60);
    }

    private static Claim withPriority(Claim claim, int priority) {
        return switch (claim) {
            case Claim.Finite finite ->
                new Claim.Finite(
                        priority,
                        finite.targetInMs(),
                        finite.uselessInMs(),
                        finite.remainingMs(),
                        finite.remainingCoreMs(),
                        finite.totalCoreMs());
            case Claim.Standing standing -> new Claim.Standing(priority, standing.milliCores());
        };
    }

    private static Claim scaled(Claim claim, int factor) {
        return switch (claim) {
            case Claim.Finite finite ->
                new Claim.Finite(
                        finite.priority(),
                        factor * finite.targetInMs(),
                        factor * finite.uselessInMs(),
                        factor * finite.remainingMs(),
                        factor * finite.remainingCoreMs(),
                        factor * finite.totalCoreMs());
            case Claim.Standing standing -> new Claim.Standing(standing.priority(), factor * standing.milliCores());
        };
    }
}
