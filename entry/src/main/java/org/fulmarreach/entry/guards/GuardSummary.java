package org.fulmarreach.entry.guards;

import java.util.List;

import org.fulmarreach.protocol.thrift.ServiceSummary;

/**
 * The guards of this region in short, for peers. Immutable.
 *
 * @param services slots by service, of the targets that take calls
 * @param guards number of connected guards
 * @param lowestRevision lowest revision of the rules at a connected guard; {@code Long.MAX_VALUE} without guards
 */
public record GuardSummary(List<ServiceSummary> services, int guards, long lowestRevision) {
    /** No guards. */
    public static final GuardSummary NONE = new GuardSummary(List.of(), 0, Long.MAX_VALUE);
}
