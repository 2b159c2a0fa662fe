package org.fulmarreach.entry.guards;

import org.fulmarreach.core.model.Vm;

/**
 * A connected guard as it announced itself. Immutable.
 *
 * @param guardId id of the guard
 * @param incarnation number of this run of the guard process; higher after a restart
 * @param vm machine that it runs on, with its capacity
 * @param service name of the service of the target beside it
 */
public record GuardView(String guardId, long incarnation, Vm vm, String service) {}
