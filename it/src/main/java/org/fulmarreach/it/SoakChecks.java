package org.fulmarreach.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Checks the invariants of a soak run against the output files of the VMs' stand-ins. These files contain the journals
 * of all workers and targets, including killed ones. Not thread-safe.
 */
final class SoakChecks {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PlacementAudit placementAudit = new PlacementAudit();
    private final Map<String, Integer> executions = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private int finished;

    /**
     * Reads the journals.
     *
     * @param directory folder with the output files
     * @param killTimesMs times at which processes were killed, in milliseconds since the epoch, by the name of the
     *     output file; a process without a time is alive
     */
    SoakChecks(Path directory, Map<String, Long> killTimesMs) {
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.sorted().toList()) {
                String name = file.getFileName().toString();
                if (name.startsWith("platform-") && name.endsWith(".out")) {
                    readJournal(file, killTimesMs.getOrDefault(name, Long.MAX_VALUE));
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the number of batch runs that finished. */
    int finished() {
        return finished;
    }

    /** Returns the total number of executions of a request id at all targets. */
    int countExecutions(String requestId) {
        return executions.getOrDefault(requestId, 0);
    }

    /** Returns all violations of placement, of at-most-once execution, and of the reported outcomes of calls. */
    List<String> findViolations(Map<String, SoakCalls.Outcome> outcomes) {
        List<String> found = new ArrayList<>(violations);
        found.addAll(placementAudit.findViolations());
        executions.forEach((id, count) -> {
            if (count > 1) {
                found.add("I6: " + id + " was executed " + count + " times");
            }
        });
        outcomes.forEach((id, outcome) -> {
            int count = countExecutions(id);
            if (outcome == SoakCalls.Outcome.NOT_RUN && count > 0) {
                found.add("I5: " + id + " was answered not_run and was executed");
            }
            if (outcome == SoakCalls.Outcome.RUN && count == 0) {
                found.add("I4: " + id + " got an answer and was not executed");
            }
        });
        return found;
    }

    private void readJournal(Path file, long killTimeMs) throws IOException {
        List<JsonNode> workerEntries = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            if (!line.startsWith("{")) {
                continue;
            }
            JsonNode entry;
            try {
                entry = JSON.readTree(line);
            } catch (IOException e) {
                // The last line of a killed process may be incomplete.
                continue;
            }
            switch (entry.path("event").asText()) {
                case "EXECUTE" -> countExecution(entry);
                case "OVERFULL" -> violations.add("I1: " + file.getFileName() + " " + line);
                case "FINISH" -> {
                    finished++;
                    workerEntries.add(entry);
                }
                default -> workerEntries.add(entry);
            }
        }
        placementAudit.add(file.getFileName().toString(), workerEntries, killTimeMs);
    }

    private void countExecution(JsonNode entry) {
        if (entry.path("path").asText().contains("checkout")) {
            executions.merge(entry.path("requestId").asText(), 1, Integer::sum);
        }
    }
}
