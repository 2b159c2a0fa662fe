package org.fulmarreach.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Observes the batch and standing work of a deployment through the journals of the worker agents and the operator
 * endpoints of the entries. Keeps the journals of the VMs that it kills. Not thread-safe.
 */
public final class WorkObserver {
    /** Timeout of conditions that must eventually hold; its only effect is to bound the duration of a failing test. */
    public static final long TIMEOUT_MS = 75_000;

    private static final long POLL_MS = 100;
    private static final Set<String> UNFINISHED_END_EVENTS = Set.of("STOP", "LEASE_LAPSED", "FAIL");

    private final Deployment deployment;
    private final Map<String, KilledVm> killedVms = new LinkedHashMap<>();

    private record KilledVm(List<JsonNode> journal, long endMs) {}

    /** Constructs the observer of a deployment. */
    public WorkObserver(Deployment deployment) {
        this.deployment = deployment;
    }

    /*
     * Waiting
     */

    /**
     * Waits for a condition. The condition counts as false while an entry or agent does not respond.
     *
     * @param what description of the condition for the failure message
     * @param condition the condition, without side effects
     * @throws AssertionError if the condition does not hold within {@link #TIMEOUT_MS}
     */
    public static void await(String what, BooleanSupplier condition) {
        long untilMs = System.currentTimeMillis() + TIMEOUT_MS;
        while (System.currentTimeMillis() < untilMs) {
            if (isFulfilled(condition)) {
                return;
            }
            try {
                Thread.sleep(POLL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
        throw new AssertionError("no " + what + " within " + TIMEOUT_MS + " ms");
    }

    private static boolean isFulfilled(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (UncheckedIOException | IllegalStateException e) {
            return false;
        }
    }

    /** Waits until each of the named standing work items runs on exactly one live agent. */
    public void awaitStanding(List<String> names) {
        await(
                "standing work " + names,
                () -> names.stream().allMatch(name -> findRunning(name).size() == 1));
    }

    /** Waits until a batch run that starts after this call has finished. */
    public void awaitNewBatch() {
        long fromMs = System.currentTimeMillis();
        await("a batch run that starts and finishes", () -> countFinishedSince(fromMs) > 0);
    }

    /** Waits until the entry {@code via} sees a leader with a term greater than {@code term}. */
    public void awaitNewTerm(Deployment.EntryProcess via, long term) {
        await("a new leader", () -> {
            JsonNode lease = findLease(via);
            return lease.path("term").asLong() > term
                    && !lease.path("leader").asText().isEmpty();
        });
    }

    /*
     * Leaders
     */

    /** Returns the lease of the first shard as seen at an entry. */
    public JsonNode findLease(Deployment.EntryProcess via) {
        return deployment
                .http()
                .get(via.operator(), "/v1/leases")
                .json()
                .path("leases")
                .path(0);
    }

    /** Waits until all entries agree on the leader of the first shard, and returns it. */
    public Deployment.EntryProcess awaitLeader() {
        List<Deployment.EntryProcess> found = new ArrayList<>();
        await("a leader on which all entries agree", () -> {
            List<String> leaders = deployment.entries().values().stream()
                    .map(entry -> findLease(entry).path("leader").asText())
                    .distinct()
                    .toList();
            if (leaders.size() == 1 && deployment.entries().containsKey(leaders.get(0))) {
                found.add(deployment.entries().get(leaders.get(0)));
            }
            return !found.isEmpty();
        });
        return found.get(0);
    }

    /** Returns an entry other than the given one. */
    public Deployment.EntryProcess findOther(Deployment.EntryProcess entry) {
        return deployment.entries().values().stream()
                .filter(other -> !other.name().equals(entry.name()))
                .findFirst()
                .orElseThrow();
    }

    /*
     * Tasks
     */

    /** Returns the running executions of a work item, each as {@code vm:id}. */
    public List<String> findRunning(String work) {
        List<String> running = new ArrayList<>();
        for (Deployment.VmProcess vm : findLiveVms()) {
            for (JsonNode task :
                    deployment.http().get(vm.worker(), "/tasks").json().path("tasks")) {
                boolean isWork = task.path("id").asText().startsWith(work + ".");
                if (isWork && task.path("state").asText().equals("RUNNING")) {
                    running.add(vm.name() + ":" + task.path("id").asText());
                }
            }
        }
        return running;
    }

    /** Returns the VM on which a work item runs. */
    public String findVm(String work) {
        String running = findRunning(work).get(0);
        return running.substring(0, running.indexOf(':'));
    }

    /** Returns the runs of a work item as reported by an entry. */
    public List<JsonNode> listWork(Deployment.EntryProcess via, String work) {
        List<JsonNode> found = new ArrayList<>();
        for (JsonNode run :
                deployment.http().get(via.operator(), "/v1/work").json().path("work")) {
            if (run.path("name").asText().equals(work)) {
                found.add(run);
            }
        }
        return found;
    }

    /** Returns the journal entries of all agents by VM, including killed ones. */
    public Map<String, List<JsonNode>> readJournals() {
        Map<String, List<JsonNode>> journals = new LinkedHashMap<>();
        killedVms.forEach((vm, end) -> journals.put(vm, end.journal()));
        findLiveVms().forEach(vm -> journals.put(vm.name(), deployment.readJournal(vm.worker())));
        return journals;
    }

    /** Returns the journal entries, at or after a wall-clock time, of executions that ended without finishing. */
    public List<JsonNode> findStops(List<String> works, long sinceMs) {
        return streamEntries(sinceMs)
                .filter(entry ->
                        UNFINISHED_END_EVENTS.contains(entry.path("event").asText()))
                .filter(entry -> works.contains(extractWork(entry)))
                .toList();
    }

    /** Counts the executions that started at or after a wall-clock time and have finished. */
    public long countFinishedSince(long sinceMs) {
        Set<String> started = new HashSet<>();
        streamEntries(sinceMs)
                .filter(entry -> entry.path("event").asText().equals("START"))
                .forEach(entry -> started.add(entry.path("id").asText()));
        return streamEntries(sinceMs)
                .filter(entry -> entry.path("event").asText().equals("FINISH"))
                .filter(entry -> started.contains(entry.path("id").asText()))
                .count();
    }

    private Stream<JsonNode> streamEntries(long sinceMs) {
        return readJournals().values().stream()
                .flatMap(List::stream)
                .filter(entry -> entry.path("wallMs").asLong() >= sinceMs);
    }

    private static String extractWork(JsonNode entry) {
        String id = entry.path("id").asText();
        return id.substring(0, Math.max(0, id.indexOf('.')));
    }

    /*
     * Faults and checks
     */

    /** Saves the journal of a VM and kills all processes of the VM. */
    public void killVm(String name) {
        Deployment.VmProcess vm = deployment.vms().get(name);
        List<JsonNode> journal = deployment.readJournal(vm.worker());
        deployment.killVm(name);
        killedVms.put(name, new KilledVm(journal, System.currentTimeMillis()));
    }

    /** Returns the violations of placement in the journals of all agents, including killed ones. */
    public List<String> findViolations() {
        PlacementAudit audit = new PlacementAudit();
        killedVms.forEach((vm, end) -> audit.add(vm, end.journal(), end.endMs()));
        findLiveVms().forEach(vm -> audit.add(vm.name(), deployment.readJournal(vm.worker()), Long.MAX_VALUE));
        return audit.findViolations();
    }

    /** Returns the log lines of all processes that report a violated invariant; their event numbers start with 9. */
    public List<String> findInvariantEvents() {
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.list(deployment.directory())) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".err")).toList()) {
                Files.readAllLines(file).stream()
                        .filter(line -> line.contains("event=9"))
                        .forEach(line -> found.add(file.getFileName() + ": " + line));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return found;
    }

    private List<Deployment.VmProcess> findLiveVms() {
        return deployment.vms().values().stream()
                .filter(vm -> vm.platform().isAlive())
                .toList();
    }
}
