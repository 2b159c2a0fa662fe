package org.fulmarreach.cli;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;

/** Formats responses of an entry as tables. Stateless. */
final class Tables {
    private static final int MB_PER_GB = 1024;

    /**
     * A column.
     *
     * @param title header of the column
     * @param value function that returns the text of a cell from its row
     */
    private record Column(String title, Function<JsonNode, String> value) {}

    private static final List<Column> TARGETS = List.of(
            text("VM", "vm"),
            text("ZONE", "zone"),
            text("RACK", "rack"),
            text("SERVICE", "service"),
            text("STATE", "state"),
            new Column("SLOTS", row -> ratio(row, "slotsInUse", "slots")),
            new Column("CONNECTIONS", row -> ratio(row, "connectionsInUse", "connections")),
            text("OUTSTANDING", "outstanding"),
            new Column("FREE CORES", row -> cores(row.path("freeMilliCores").asLong())),
            new Column("FREE MEMORY", row -> row.path("freeMemoryMb").asLong() / MB_PER_GB + "G"),
            new Column("P99", row -> row.path("p99Ms").asText("-") + "ms"),
            text("RULES", "rulesRevision"));

    private static final List<Column> WORK = List.of(
            text("NAME", "name"),
            text("RUN", "run"),
            text("KIND", "kind"),
            text("MEMBER", "member"),
            text("SHARD", "shard"),
            text("PHASE", "phase"),
            text("VM", "vm"),
            text("EPOCH", "epoch"),
            new Column("DEADLINE", row -> time(row.path("deadlineMs").asLong())),
            text("REASON", "reason"));

    private static final List<Column> LEASES = List.of(
            text("SHARD", "shard"),
            text("LEADER", "leader"),
            text("TERM", "term"),
            new Column("AGE", row -> row.path("ageMs").asText("-") + "ms"),
            new Column("STORE", row -> row.path("outage").asBoolean() ? "outage" : "ok"));

    private static final List<Column> SITES = List.of(
            text("SITE", "site"),
            text("KIND", "kind"),
            text("ZONE", "zone"),
            text("REGION", "region"),
            text("RULES", "revision"),
            new Column("REACHABLE", row -> row.path("reachable").asBoolean() ? "yes" : "no"));

    private static final List<Column> BUDGET = List.of(
            new Column(
                    "PERIOD",
                    row -> row.path("period").isNumber()
                            ? time(row.path("period").asLong())
                            : row.path("period").asText("-")),
            text("AMOUNT", "amount"),
            text("GRANTED", "granted"),
            text("PURSE", "purse"),
            text("SPENT", "spent"));

    private Tables() {}

    /** Returns the lines of the table for {@code command} from the body of its response. */
    static List<String> format(String command, JsonNode body) {
        return switch (command) {
            case "targets" -> format(TARGETS, body.path("targets"));
            case "work" -> format(WORK, body.path("work"));
            case "leases" -> format(LEASES, body.path("leases"));
            case "sites" -> format(SITES, body.path("sites"));
            case "budget" -> format(BUDGET, List.of(body));
            default -> List.of(body.toPrettyString());
        };
    }

    /** Returns lines with the runs and the explanation of one work item: {@code {"runs":[...],"explanation":[...]}}. */
    static List<String> formatWhy(JsonNode work) {
        List<String> lines = new ArrayList<>(format(WORK, work.path("runs")));
        lines.add("");
        work.path("explanation").forEach(reason -> lines.add("- " + reason.asText()));
        return lines;
    }

    private static List<String> format(List<Column> columns, Iterable<JsonNode> rows) {
        List<List<String>> cells = new ArrayList<>();
        cells.add(columns.stream().map(Column::title).toList());
        for (JsonNode row : rows) {
            cells.add(columns.stream().map(column -> column.value().apply(row)).toList());
        }
        int[] widths = new int[columns.size()];
        for (List<String> line : cells) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], line.get(i).length());
            }
        }
        return cells.stream().map(line -> join(line, widths)).toList();
    }

    private static String join(List<String> line, int[] widths) {
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            out.append(line.get(i)).append(" ".repeat(widths[i] - line.get(i).length() + 2));
        }
        return out.toString().stripTrailing();
    }

    private static Column text(String title, String field) {
        return new Column(title, row -> {
            String value = row.path(field).asText("");
            return value.isEmpty() || value.equals("null") ? "-" : value;
        });
    }

    private static String ratio(JsonNode row, String used, String total) {
        return row.path(used).asText("?") + "/" + row.path(total).asText("?");
    }

    private static String cores(long milliCores) {
        return milliCores / 1_000 + "." + milliCores % 1_000 / 100;
    }

    private static String time(long utcMs) {
        return utcMs <= 0 ? "-" : Instant.ofEpochMilli(utcMs).toString();
    }
}
