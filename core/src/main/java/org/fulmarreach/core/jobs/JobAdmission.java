package org.fulmarreach.core.jobs;

import java.util.Optional;

import org.fulmarreach.core.cost.Claim;
import org.fulmarreach.core.overload.AdmissionRequest;
import org.fulmarreach.core.overload.WorkKind;

/** Tells what a submitted job asks of the pool. Stateless. */
public final class JobAdmission {
    private static final double MILLI_CORES = 1_000;

    private JobAdmission() {}

    /**
     * Returns the request for the admission of a job; empty for one that is never refused: a standing or timed one, or
     * one whose queue's settings are not known. Of a job with both kinds of work, the one with less is left out.
     */
    public static Optional<AdmissionRequest> request(JobSpec spec) {
        QueuePolicy policy = spec.queuePolicy();
        if (policy == null || !hasTarget(spec)) {
            return Optional.empty();
        }
        double reserving = coreMs(spec, false);
        double bestEffort = coreMs(spec, true);
        long targetMs = JobUrgency.targetMs(spec, policy);
        Claim.Finite claim = new Claim.Finite(
                policy.priority(),
                targetMs,
                JobUrgency.uselessMs(spec, policy),
                JobUrgency.criticalPathMs(spec),
                reserving + bestEffort,
                reserving + bestEffort);
        return Optional.of(new AdmissionRequest(
                spec.id(),
                policy.service(),
                reserving >= bestEffort ? WorkKind.RESERVING : WorkKind.BEST_EFFORT,
                claim));
    }

    /** Tells whether a job has a target completion time; long-running and timed ones have none. */
    static boolean hasTarget(JobSpec spec) {
        return !spec.isTimed() && spec.steps().stream().noneMatch(JobStep::longRunning);
    }

    private static double coreMs(JobSpec spec, boolean bestEffort) {
        return spec.steps().stream()
                .filter(step -> step.bestEffort() == bestEffort)
                .mapToDouble(step -> step.taskCount()
                        * (double) step.estimatedMs()
                        * step.demand().milliCores()
                        / MILLI_CORES)
                .sum();
    }
}
