package org.fulmarreach.entry.peers;

import java.util.List;

/**
 * The live entries, as known to this entry. Immutable.
 *
 * @param regionAddresses addresses of the entries of this region for guards, including this one
 * @param count number of live entries of all regions, including this one
 * @param regionReader id of the entry that reads the log service for this region
 * @param isThisEntryReader whether this entry is that reader
 */
public record LiveEntries(List<String> regionAddresses, int count, String regionReader, boolean isThisEntryReader) {
    /** Constructs live entries with a copy of the list. */
    public LiveEntries {
        regionAddresses = List.copyOf(regionAddresses);
    }
}
