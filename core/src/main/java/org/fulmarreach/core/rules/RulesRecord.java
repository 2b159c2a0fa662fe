package org.fulmarreach.core.rules;

import java.util.List;
import java.util.Map;

/** A record of the stream "rules". Immutable. */
public sealed interface RulesRecord {
    /**
     * A change of the rules in force. It contains only the difference, which keeps the stream small.
     *
     * @param publishId id that the operator's tool chose; a repeated id has no further effect
     * @param baseRevision revision that the change is based on
     * @param removed lines to remove
     * @param added lines to add
     * @param operator operator that published the change
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
     * State of the rule book after the record at {@code basedOnOffset}, for readers of a truncated stream. It is valid
     * only as the record that directly follows that one; otherwise a reader that starts here would miss a publish that
     * was appended in between.
     *
     * @param revision revision of the lines
     * @param lines canonical lines in order
     * @param bindings region by name of batch and standing work, including removed rules
     * @param recentPublishes results of the most recent accepted publishes, oldest first
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
