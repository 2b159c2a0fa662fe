package org.fulmarreach.it;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Checks the journals of all worker agents: no run of a work item was executed by two agents at the same time, no epoch
 * was executed twice, and no VM was loaded beyond its capacity. All journals use the wall clock of the same machine, so
 * their times are comparable. Not thread-safe.
 */
public final class PlacementAudit {
    private final List<Interval> intervals = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    /**
     * One execution on one worker agent.
     *
     * @param work name of the work item and number of its run
     * @param epoch epoch of the assignment
     * @param source name of the worker agent
     * @param fromMs start, in milliseconds of the wall clock
     * @param toMs end, in milliseconds of the wall clock; {@link Long#MAX_VALUE} if it is still running
     * @param progressFromMs progress in the checkpoint from which it started, in milliseconds
     */
    public record Interval(String work, long epoch, String source, long fromMs, long toMs, long progressFromMs) {}

    /**
     * Adds the journal of a worker agent.
     *
     * @param source name of the agent
     * @param journal its entries, oldest first
     * @param endMs when the agent was killed, in milliseconds of the wall clock; {@link Long#MAX_VALUE} if it is alive
     */
    public void add(String source, List<JsonNode> journal, long endMs) {
        for (int i = 0; i < journal.size(); i++) {
            JsonNode entry = journal.get(i);
            switch (entry.path("event").asText()) {
                case "START" -> intervals.add(findInterval(source, journal, i, endMs));
                case "OVERFULL" -> violations.add(source + " is loaded beyond its capacity: " + entry);
                default -> {
                    // Events that end an execution are looked up from its START event.
                }
            }
        }
    }

    /** Returns the executions ordered by start time. */
    public List<Interval> intervals() {
        return intervals.stream()
                .sorted(Comparator.comparingLong(Interval::fromMs))
                .toList();
    }

    /** Returns all violations found; empty if there are none. */
    public List<String> findViolations() {
        List<String> found = new ArrayList<>(violations);
        for (Interval a : intervals) {
            for (Interval b : intervals) {
                boolean later = a.fromMs() < b.fromMs() || a.fromMs() == b.fromMs() && a.epoch() < b.epoch();
                if (a != b && a.work().equals(b.work()) && later && b.fromMs() < a.toMs()) {
                    found.add("a run was executed in two places at the same time: " + a + " and " + b);
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
