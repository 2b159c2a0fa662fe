package org.fulmarreach.it;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/** What the targets' journals say about the calls of a run: executions by id, and violations. Not thread-safe. */
final class CallsAudit {
    private final Map<String, Execution> executions = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    /**
     * First execution of an id.
     *
     * @param vm VM of the target
     * @param wallMs wall clock of its start
     * @param path path of the call
     */
    record Execution(String vm, long wallMs, String path) {}

    /** Reads the journals of all targets. */
    static CallsAudit read(Deployment deployment, CallsClient client) {
        CallsAudit audit = new CallsAudit();
        for (Deployment.VmProcess vm : deployment.vms().values()) {
            JsonNode journal = client.read(vm.target(), "/journal");
            if (journal.path("dropped").asLong() > 0) {
                audit.violations.add("the journal of " + vm.name() + " is not complete");
            }
            for (JsonNode entry : journal.path("entries")) {
                audit.add(vm.name(), entry);
            }
        }
        return audit;
    }

    /** Returns the executions by request id. */
    Map<String, Execution> executions() {
        return executions;
    }

    /** Returns ids that ran twice at one target or at two, and targets given more than they hold. */
    List<String> violations() {
        return violations;
    }

    /** Returns each id that an entry called not run and that a target has executed. */
    List<String> findFalseNotRun(List<CallsTraffic.Call> calls) {
        return CallsTraffic.attemptsOf(calls)
                .filter(attempt -> attempt.told() == CallsClient.Told.NOT_RUN && executions.containsKey(attempt.id()))
                .map(attempt -> attempt + " but executed: " + executions.get(attempt.id()))
                .toList();
    }

    /** Returns each answer that is not the whole answer to its call. */
    static List<String> findWrong(List<CallsTraffic.Call> calls) {
        return CallsTraffic.attemptsOf(calls)
                .filter(attempt -> attempt.told() == CallsClient.Told.WRONG)
                .map(CallsClient.Attempt::toString)
                .toList();
    }

    /** Returns the number of attempts by what was told and code. */
    static Map<String, Integer> countTold(List<CallsTraffic.Call> calls) {
        Map<String, Integer> counts = new TreeMap<>();
        CallsTraffic.attemptsOf(calls)
                .forEach(attempt -> counts.merge((attempt.told() + " " + attempt.code()).trim(), 1, Integer::sum));
        return counts;
    }

    private void add(String vm, JsonNode entry) {
        String id = entry.path("requestId").asText();
        switch (entry.path("event").asText()) {
            case "EXECUTE" -> {
                Execution execution = new Execution(
                        vm, entry.path("wallMs").asLong(), entry.path("path").asText());
                Execution before = executions.putIfAbsent(id, execution);
                if (before != null) {
                    violations.add(id + " ran twice: " + before + " and " + execution);
                }
            }
            case "REPEATED", "OVERFULL" -> violations.add(vm + ": " + entry);
            default -> {
                // Other events do not concern calls.
            }
        }
    }
}
