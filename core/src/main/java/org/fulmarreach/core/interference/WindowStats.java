package org.fulmarreach.core.interference;

/**
 * What one latency window of a service showed. Immutable.
 *
 * @param service name of the service
 * @param p99Ms 99th percentile of its time in milliseconds; ignored without calls
 * @param calls calls in the window
 * @param cpuOverload reported use of processors by tasks over what the VM holds for them; above 1 it is exceeded
 */
public record WindowStats(String service, double p99Ms, int calls, double cpuOverload) {}
