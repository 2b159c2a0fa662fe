package org.fulmarreach.core.rules;

import java.util.List;
import java.util.Map;

/** A record of the stream "rules". Immutable. */
public sealed interface RulesRecord {
    /**
     * A change of the rules in force, as a difference so that the stream stays small.
     *
     * @param publishId id that the operator's tool chose; a repeated id has no further effect
     * @param baseRevision revision that the change was made against
     * @param removed lines to remove
     * @param added lines to add
     * @param operator who published
     */
    record Publish(String publishId, long baseRevision, List<String> removed, List<String> added, String operator)
            implements RulesRecord {
        /** Constructs a publish from copies of its lists. */
        public Publish {
            removed = List.copyOf(removed);
            added = List.copyOf(added);
        }
    }

    /**
     * State of the fold after the record at {@code basedOnOffset}, for readers of a truncated stream. It counts only as
     * the very next record of the stream: a publish that was appended in between would otherwise be lost to a reader
     * that starts here.
     *
     * @param revision revision of the lines
     * @param lines canonical lines in order
     * @param bindings region by name of batch and standing work, also of removed rules
     * @param recentPublishes results of the last accepted publishes, oldest first
     * @param basedOnOffset offset of the last record that the state includes
     */
    record Snapshot(
            long revision,
            List<String> lines,
            Map<String, String> bindings,
            List<PublishResult> recentPublishes,
            long basedOnOffset)
            implements RulesRecord {
        /** Constructs a snapshot from copies of its collections. */
        public Snapshot {
            lines = List.copyOf(lines);
            bindings = Map.copyOf(bindings);
            recentPublishes = List.copyOf(recentPublishes);
        }
    }
}
