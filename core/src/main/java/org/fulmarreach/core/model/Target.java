package org.fulmarreach.core.model;

/**
 * One running instance of a service on a VM, as announced by itself. Immutable.
 *
 * @param service name of the service
 * @param slots number of requests that it handles concurrently
 * @param connections number of open connections that it accepts
 * @param leaving whether it is draining and accepts no new work
 */
public record Target(String service, int slots, int connections, boolean leaving) {}
