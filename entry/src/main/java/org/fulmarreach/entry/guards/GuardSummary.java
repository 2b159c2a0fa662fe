package org.fulmarreach.entry.guards;

import java.util.List;

import org.fulmarreach.protocol.thrift.ServiceSummary;

/**
 * Summary of the guards connected to this entry, for peers. Immutable.
 *
 * @param services number of targets and slots per service, over the guards that are ready for calls
 * @param guards number of connected guards
 * @param lowestRevision lowest revision of the rules at a connected guard; {@code Long.MAX_VALUE} without guards
 */
public record GuardSummary(List<ServiceSummary> services, int guards, long lowestRevision) {
    /** Summary without guards. */
    public static final GuardSummary NONE = new GuardSummary(List.of(), 0, Long.MAX_VALUE);
}
