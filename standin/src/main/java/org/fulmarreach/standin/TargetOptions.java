package org.fulmarreach.standin;

/**
 * Options of a target. Immutable.
 *
 * @param name name in the echo and the journal
 * @param service announced service
 * @param slots requests at the same time
 * @param connections open connections
 * @param serviceMs median service time in milliseconds
 * @param jitterSigma standard deviation of the logarithm of the service time; 0 for none
 * @param seed seed of the service times and faults
 */
record TargetOptions(
        String name, String service, int slots, int connections, double serviceMs, double jitterSigma, long seed) {}
