package org.fulmarreach.core.work;

import java.util.List;

/**
 * An earlier leader of a shard whose grants may still be valid. Immutable.
 *
 * @param term its term
 * @param witnesses ids of the entries that could confirm an outage to it
 * @param resigned whether it has resigned and issues no more grants
 */
public record Predecessor(long term, List<String> witnesses, boolean resigned) {
    /** Constructs a predecessor with its own copy of the list. */
    public Predecessor {
        witnesses = List.copyOf(witnesses);
    }
}
