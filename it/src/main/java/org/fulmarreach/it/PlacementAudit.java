package org.fulmarreach.it;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Checks the journals of all worker agents: no run of a work was executed by two of them at the same time, and no VM
 * was given more than it holds. Journals use the wall clock of one machine, so their times are comparable. Not
 * thread-safe.
 */
public final class PlacementAudit {
    private final List<Interval> intervals = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    /**
     * One execution on one worker agent.
     *
     * @param work name of the work and number of its run
     * @param epoch number of the assignment
     * @param source worker agent
     * @param fromMs start, wall clock in milliseconds
     * @param toMs end, wall clock in milliseconds; {@link Long#MAX_VALUE} while it runs
     * @param progressFromMs progress of the checkpoint that it started with
     */
    public record Interval(String work, long epoch, String source, long fromMs, long toMs, long progressFromMs) {}

    /**
     * Adds the journal of a worker agent.
     *
     * @param source name of the agent
     * @param journal its entries, oldest first
     * @param endMs when the agent was killed, wall clock in milliseconds; {@link Long#MAX_VALUE} if it lives
     */
    public void add(String source, List<JsonNode> journal, long endMs) {
        for (int i = 0; i < journal.size(); i++) {
            JsonNode entry = journal.get(i);
            switch (entry.path("event").asText()) {
                case "START" -> intervals.add(findInterval(source, journal, i, endMs));
                case "OVERFULL" -> violations.add(source + " is overfull: " + entry);
                default -> {
                    // Other events end an execution and are found from its start.
                }
            }
        }
    }

    /** Returns the executions in order of their start. */
    public List<Interval> intervals() {
        return intervals.stream()
                .sorted(Comparator.comparingLong(Interval::fromMs))
                .toList();
    }

    /** Returns all violations found, empty when there are none. */
    public List<String> findViolations() {
        List<String> found = new ArrayList<>(violations);
        for (Interval a : intervals) {
            for (Interval b : intervals) {
                boolean later = a.fromMs() < b.fromMs() || a.fromMs() == b.fromMs() && a.epoch() < b.epoch();
                if (a != b && a.work().equals(b.work()) && later && b.fromMs() < a.toMs()) {
                    found.add("runs in two places: " + a + " and " + b);
                }
                if (a != b && a.work().equals(b.work()) && a.epoch() == b.epoch() && later) {
                    found.add("an epoch was executed twice: " + a + " and " + b);
                }
            }
        }
        return found;
    }

    private static Interval findInterval(String source, List<JsonNode> journal, int start, long endMs) {
        JsonNode entry = journal.get(start);
        String id = entry.path("id").asText();
        long toMs = endMs;
        for (int i = start + 1; i < journal.size(); i++) {
            JsonNode other = journal.get(i);
            boolean ends = switch (other.path("event").asText()) {
                case "FINISH", "FAIL", "STOP", "LEASE_LAPSED" ->
                    other.path("id").asText().equals(id);
                default -> false;
            };
            if (ends) {
                toMs = other.path("wallMs").asLong();
                break;
            }
        }
        int dot = id.lastIndexOf('.');
        return new Interval(
                id.substring(0, dot),
                Long.parseLong(id.substring(dot + 1)),
                source,
                entry.path("wallMs").asLong(),
                toMs,
                entry.path("fromMs").asLong());
    }
}
