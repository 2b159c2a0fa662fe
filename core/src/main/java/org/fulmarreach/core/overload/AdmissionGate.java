package org.fulmarreach.core.overload;

import org.fulmarreach.core.cost.CallerCost;
import org.fulmarreach.core.cost.Claim;

/**
 * Decides whether a job is accepted. A job is refused only if its result can't be of use even late: the work that goes
 * before it takes so long that {@link CallerCost} gives no benefit for a start after that, by a margin for the error of
 * estimates. Without a valid load every job is accepted. Stateless: who was refused before is not ranked lower.
 */
public final class AdmissionGate {
    /** Shortest time after which a refused caller is asked to return. */
    public static final long MIN_RETRY_MS = 1_000;

    /** Longest time after which a refused caller is asked to return; a load that is older than seconds says little. */
    public static final long MAX_RETRY_MS = 15_000;

    /**
     * Factor by which the expected wait must exceed the one that makes a job useless. Estimates of single jobs are off
     * by up to 5 times either way, but the wait is a sum over the jobs of a backlog, and the throughput that divides it
     * is measured in the same estimates. A smaller margin refuses more jobs that would be served.
     */
    static final double MARGIN = 2;

    /** Part of the retry time by which it is spread over callers. */
    private static final double SPREAD = 0.5;

    /** Least spread; the header has whole seconds. */
    private static final long MIN_SPREAD_MS = 1_000;

    private AdmissionGate() {}

    /**
     * Decides about a job that ends.
     *
     * @param load load of the pools
     * @param loadAgeMs age of the load in milliseconds
     */
    public static AdmissionDecision decide(AdmissionRequest request, PoolLoad load, long loadAgeMs) {
        if (loadAgeMs > PoolLoad.VALID_MS) {
            return new AdmissionDecision.Accept();
        }
        return load.find(request.service())
                .map(service -> decide(request, service.of(request.kind()), loadAgeMs))
                .orElseGet(AdmissionDecision.Accept::new);
    }

    /*
     * Helpers
     */

    private static AdmissionDecision decide(AdmissionRequest request, PoolLoad.KindLoad load, long loadAgeMs) {
        Claim.Finite claim = request.claim();
        long onTimeWaitMs = waitMs(load, claim, RankClass.ON_TIME, loadAgeMs);
        if (onTimeWaitMs / MARGIN + claim.remainingMs() <= claim.targetInMs()) {
            // It starts while late jobs still go behind it.
            return new AdmissionDecision.Accept();
        }
        // It becomes late before it starts, so the late jobs that came before go before it, too.
        long lateWaitMs = waitMs(load, claim, RankClass.LATE, loadAgeMs);
        boolean everUseful = CallerCost.benefitAfter(claim, 0) > 0;
        boolean stillUseful = CallerCost.benefitAfter(claim, (long) (lateWaitMs / MARGIN)) > 0;
        if (!everUseful || stillUseful) {
            return new AdmissionDecision.Accept();
        }
        long latestStartMs = claim.uselessInMs() - claim.remainingMs();
        long excessMs = lateWaitMs - (long) (MARGIN * latestStartMs);
        return new AdmissionDecision.Refuse(
                retryAfterMs(request.jobId(), excessMs), RankClass.LATE, lateWaitMs, latestStartMs, loadAgeMs);
    }

    /** Returns the time until the work that goes before a new job is done, which has been going on since the load. */
    private static long waitMs(PoolLoad.KindLoad load, Claim.Finite claim, RankClass lowest, long loadAgeMs) {
        return Math.max(0, load.durationMs(load.coreMsAhead(claim.priority(), lowest)) - loadAgeMs);
    }

    /** Spreads callers by the id of their job, so that those refused together do not return together. */
    static long retryAfterMs(String jobId, long excessMs) {
        long shortestMs = Math.clamp(excessMs, MIN_RETRY_MS, (long) (MAX_RETRY_MS / (1 + SPREAD)));
        return shortestMs + (long) (Math.max(MIN_SPREAD_MS, SPREAD * shortestMs) * fraction(jobId));
    }

    /** Returns a number from 0 to 1 that differs between ids which differ in a few characters, too. */
    private static double fraction(String id) {
        return (id.hashCode() * 0x9E3779B9 >>> 8) / (double) (1 << 24);
    }
}
