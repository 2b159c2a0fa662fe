package org.fulmarreach.it;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/** Executions by request id, and violations, according to the journals of the targets. Not thread-safe. */
final class CallsAudit {
    private final Map<String, Execution> executions = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    /**
     * First execution of an id.
     *
     * @param vm name of the VM of the target
     * @param wallMs start time, in milliseconds of the wall clock
     * @param path path of the call
     */
    record Execution(String vm, long wallMs, String path) {}

    /** Reads the journals of all targets. */
    static CallsAudit read(Deployment deployment, CallsClient client) {
        CallsAudit audit = new CallsAudit();
        for (Deployment.VmProcess vm : deployment.vms().values()) {
            JsonNode journal = client.read(vm.target(), "/journal");
            if (journal.path("dropped").asLong() > 0) {
                audit.violations.add("the journal of " + vm.name() + " is incomplete: entries were dropped");
            }
            for (JsonNode entry : journal.path("entries")) {
                audit.add(vm.name(), entry);
            }
        }
        return audit;
    }

    /** Returns the first execution of each request id. */
    Map<String, Execution> executions() {
        return executions;
    }

    /** Returns ids that ran twice at the same target or at two targets, and targets loaded beyond their limits. */
    List<String> violations() {
        return violations;
    }

    /** Returns each attempt that was reported as not run although a target executed its id. */
    List<String> findFalseNotRun(List<CallsTraffic.Call> calls) {
        return CallsTraffic.attemptsOf(calls)
                .filter(attempt ->
                        attempt.outcome() == CallsClient.Outcome.NOT_RUN && executions.containsKey(attempt.id()))
                .map(attempt -> attempt + " but executed: " + executions.get(attempt.id()))
                .toList();
    }

    /** Returns each attempt whose successful response is not the complete response to its call. */
    static List<String> findWrong(List<CallsTraffic.Call> calls) {
        return CallsTraffic.attemptsOf(calls)
                .filter(attempt -> attempt.outcome() == CallsClient.Outcome.WRONG)
                .map(CallsClient.Attempt::toString)
                .toList();
    }

    /** Returns the number of attempts by outcome and error code. */
    static Map<String, Integer> countOutcomes(List<CallsTraffic.Call> calls) {
        Map<String, Integer> counts = new TreeMap<>();
        CallsTraffic.attemptsOf(calls)
                .forEach(attempt -> counts.merge((attempt.outcome() + " " + attempt.code()).trim(), 1, Integer::sum));
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
                // Other events are not related to calls.
            }
        }
    }
}
