package org.fulmarreach.core.model;

/**
 * One running instance of a service on a VM, as it announces itself. Immutable.
 *
 * @param service name of the service
 * @param slots requests that it handles at the same time
 * @param connections open connections that it accepts
 * @param leaving whether it asked for no more new work
 */
public record Target(String service, int slots, int connections, boolean leaving) {}
