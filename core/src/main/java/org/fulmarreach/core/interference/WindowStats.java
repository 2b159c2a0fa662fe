package org.fulmarreach.core.interference;

/**
 * Measurements of one latency window of a service. Immutable.
 *
 * @param service name of the service
 * @param p99Ms 99th percentile of the service time in milliseconds; ignored if there were no calls
 * @param calls number of calls in the window
 * @param cpuOverload ratio of the reported CPU usage of tasks to the capacity available to them; above 1 it is exceeded
 */
public record WindowStats(String service, double p99Ms, int calls, double cpuOverload) {}
