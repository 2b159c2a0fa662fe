package org.fulmarreach.core.cost;

import java.util.Comparator;

/**
 * Tells what it costs callers to delay a request, to refuse it, or to stop a run of it. One point is the benefit of one
 * core-second of work that a caller of priority 0 receives on time. Stateless.
 */
public final class CallerCost {
    /**
     * Order in which claims get room that does not suffice for all. Priority comes first, as callers are told. Within a
     * priority the claims that lose most by waiting come first: those that can still be on time, then standing ones,
     * which lose only the time of the wait, then late ones, then those whose result is of no use any more. Within a
     * prospect the highest {@link #density} comes first, which is the smallest remaining part of the work: partial work
     * has no value until all is done; with the least slack first most jobs of a burst would finish late. Differences
     * below a thousandth are smaller than the error of progress reports; the least slack decides then. No amount of
     * work or time enters by itself, so a large claim is not put behind a small one for its size.
     */
    public static final Comparator<Claim> ORDER = Comparator.comparingInt(Claim::priority)
            .thenComparing(CallerCost::prospect)
            .thenComparingInt(CallerCost::remainingPermille)
            .thenComparingLong(CallerCost::slackMs);

    /** Part of the benefit that callers keep if a result comes after its target, but before it is of no use. */
    private static final double LATE_SHARE = 0.15;

    /** Benefit of a core-second relative to one of the next higher priority. */
    private static final double PRIORITY_STEP = 0.5;

    /** Benefit of a core-second of a standing task relative to one of a request of the same priority that ends. */
    private static final double STANDING_SHARE = 0.3;

    private static final double CORE_MS_PER_POINT = 1_000;
    private static final double MS_PER_SECOND = 1_000;
    private static final int PERMILLE = 1_000;

    private CallerCost() {}

    /** What a claim still yields if it gets its room now, the best first. */
    public enum Prospect {
        /** Can still be completed within its target. */
        ON_TIME,
        /** Runs until it is cancelled, and yields for as long as it runs. */
        STANDING,
        /** Will miss its target, but the result is of some use. */
        LATE,
        /** The result will be of no use. */
        USELESS
    }

    /** Returns what a claim still yields if it gets its room now. */
    public static Prospect prospect(Claim claim) {
        return switch (claim) {
            case Claim.Finite finite -> prospectAfter(finite, 0);
            case Claim.Standing standing -> Prospect.STANDING;
        };
    }

    /** Returns the benefit, in points, that a claim still yields if it gets its room after a delay. */
    public static double benefitAfter(Claim claim, long delayMs) {
        return switch (claim) {
            case Claim.Finite finite -> {
                double whole = weight(claim) * finite.totalCoreMs() / CORE_MS_PER_POINT;
                yield switch (prospectAfter(finite, Math.max(0, delayMs))) {
                    case ON_TIME -> whole;
                    case LATE -> LATE_SHARE * whole;
                    case STANDING, USELESS -> 0;
                };
            }
            case Claim.Standing standing -> 0;
        };
    }

    /** Returns the cost of a delay, in points; never less for a longer one. */
    public static double delay(Claim claim, long delayMs) {
        return switch (claim) {
            case Claim.Finite finite -> benefitAfter(claim, 0) - benefitAfter(claim, delayMs);
            case Claim.Standing standing ->
                STANDING_SHARE
                        * weight(claim)
                        * standing.milliCores()
                        * Math.max(0, delayMs)
                        / CORE_MS_PER_POINT
                        / MS_PER_SECOND;
        };
    }

    /** Returns the cost of refusing a request now, in points. */
    public static double refusal(Claim.Finite claim) {
        return benefitAfter(claim, 0);
    }

    /**
     * Returns the cost of stopping a run, in points: that of the delay, and the work that is done twice.
     *
     * @param claim the request as it will be after the stop
     * @param delayMs time until it has room again
     * @param lostCoreMs work of the run that no checkpoint holds, in core-milliseconds
     */
    public static double stop(Claim claim, long delayMs, double lostCoreMs) {
        return delay(claim, delayMs) + weight(claim) * Math.max(0, lostCoreMs) / CORE_MS_PER_POINT;
    }

    /** Returns the benefit per core-second that a claim yields if it gets its room now. */
    public static double density(Claim claim) {
        return switch (claim) {
            case Claim.Finite finite ->
                benefitAfter(claim, 0) * CORE_MS_PER_POINT / Math.max(1, finite.remainingCoreMs());
            case Claim.Standing standing -> STANDING_SHARE * weight(claim);
        };
    }

    /** Returns the remaining part of the work of a claim, in thousandths; 0 for a standing one. */
    public static int remainingPermille(Claim claim) {
        return switch (claim) {
            case Claim.Finite finite -> (int) (PERMILLE * finite.remainingCoreMs() / Math.max(1, finite.totalCoreMs()));
            case Claim.Standing standing -> 0;
        };
    }

    /** Returns the time for which a claim can wait and keep its prospect, in milliseconds; 0 for a standing one. */
    public static long slackMs(Claim claim) {
        return switch (claim) {
            case Claim.Finite finite ->
                (prospect(claim) == Prospect.ON_TIME ? finite.targetInMs() : finite.uselessInMs())
                        - finite.remainingMs();
            case Claim.Standing standing -> 0;
        };
    }

    private static Prospect prospectAfter(Claim.Finite claim, long delayMs) {
        // Compared by differences, since a delay may be as long as a long can tell.
        if (delayMs <= claim.targetInMs() - claim.remainingMs()) {
            return Prospect.ON_TIME;
        }
        return delayMs <= claim.uselessInMs() - claim.remainingMs() ? Prospect.LATE : Prospect.USELESS;
    }

    private static double weight(Claim claim) {
        return Math.pow(PRIORITY_STEP, claim.priority());
    }
}
