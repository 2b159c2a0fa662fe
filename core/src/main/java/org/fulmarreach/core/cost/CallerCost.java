package org.fulmarreach.core.cost;

/**
 * Tells what it costs callers to delay a request, to refuse it, or to stop a run of it. One point is the benefit of one
 * core-second of work that a caller of priority 0 receives on time. Stateless.
 */
public final class CallerCost {
    /** Part of the benefit that callers keep if a result comes after its target, but before it is of no use. */
    private static final double LATE_SHARE = 0.15;

    /** Benefit of a core-second relative to one of the next higher priority. */
    private static final double PRIORITY_STEP = 0.5;

    /** Benefit of a core-second of a standing task relative to one of a request of the same priority that ends. */
    private static final double STANDING_SHARE = 0.3;

    private static final double CORE_MS_PER_POINT = 1_000;

    private CallerCost() {}

    /** Returns the benefit, in points, that a claim still yields if it gets its room after a delay. */
    public static double benefitAfter(Claim claim, long delayMs) {
        return switch (claim) {
            case Claim.Finite finite -> {
                double whole = weight(claim) * finite.totalCoreMs() / CORE_MS_PER_POINT;
                long endsInMs = delayMs + finite.remainingMs();
                yield endsInMs <= finite.targetInMs()
                        ? whole
                        : endsInMs <= finite.uselessInMs() ? LATE_SHARE * whole : 0;
            }
            case Claim.Standing standing -> 0;
        };
    }

    /** Returns the cost of a delay, in points; never less for a longer one. */
    public static double delay(Claim claim, long delayMs) {
        return switch (claim) {
            case Claim.Finite finite -> benefitAfter(claim, 0) - benefitAfter(claim, delayMs);
            case Claim.Standing standing ->
                STANDING_SHARE * weight(claim) * standing.milliCores() * delayMs / CORE_MS_PER_POINT / 1_000;
        };
    }

    /** Returns the cost of refusing a request now, in points. */
    public static double refusal(Claim.Finite claim) {
        return benefitAfter(claim, 0);
    }

    /** Returns the benefit per core-second that a claim yields if it gets its room now. */
    public static double density(Claim claim) {
        return switch (claim) {
            case Claim.Finite finite ->
                benefitAfter(claim, 0) * CORE_MS_PER_POINT / Math.max(1, finite.remainingCoreMs());
            case Claim.Standing standing -> STANDING_SHARE * weight(claim);
        };
    }

    private static double weight(Claim claim) {
        return Math.pow(PRIORITY_STEP, claim.priority());
    }
}
