package org.fulmarreach.entry.guards;

import org.fulmarreach.core.model.Vm;

/**
 * Identity, VM and service that a guard announced. Immutable.
 *
 * @param guardId id of the guard
 * @param incarnation number of this lifetime of the guard process; higher after a restart
 * @param vm VM that the guard runs on, with its capacity
 * @param service name of the service of the target on that VM; empty if there is none
 */
public record GuardView(String guardId, long incarnation, Vm vm, String service) {}
