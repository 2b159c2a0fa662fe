package org.fulmarreach.entry.peers;

import java.util.List;

/**
 * The entries that live, as this entry sees them. Immutable.
 *
 * @param regionAddresses addresses of the entries of this region for guards, this one included
 * @param count number of live entries of all regions, this one included
 * @param regionReader id of the entry that reads the log service for this region
 * @param isSelfReader whether that is this entry
 */
public record LiveEntries(List<String> regionAddresses, int count, String regionReader, boolean isSelfReader) {
    /** Returns a copy with its own list. */
    public LiveEntries {
        regionAddresses = List.copyOf(regionAddresses);
    }
}
