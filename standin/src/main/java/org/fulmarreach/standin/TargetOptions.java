package org.fulmarreach.standin;

/**
 * Options of a target stand-in. Immutable.
 *
 * @param name name in the echoed response and in the journal
 * @param service name of the service that the target announces
 * @param slots announced maximum number of concurrent requests
 * @param connections announced maximum number of open connections
 * @param serviceMs median service time in milliseconds
 * @param jitterSigma standard deviation of the logarithm of the service time; 0 for none
 * @param seed seed of the random service times and faults
 */
record TargetOptions(
        String name, String service, int slots, int connections, double serviceMs, double jitterSigma, long seed) {}
