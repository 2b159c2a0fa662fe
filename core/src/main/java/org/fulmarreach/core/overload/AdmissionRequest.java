package org.fulmarreach.core.overload;

import org.fulmarreach.core.cost.Claim;

/**
 * A submitted job, as far as its admission depends on it. Immutable.
 *
 * @param jobId id of the job
 * @param service service whose workers run its tasks
 * @param kind how its tasks get processors
 * @param claim what it asks of the pool, and by when
 */
public record AdmissionRequest(String jobId, String service, WorkKind kind, Claim.Finite claim) {}
