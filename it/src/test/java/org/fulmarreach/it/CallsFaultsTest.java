package org.fulmarreach.it;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against calls that run twice (I6), responses that belong to another call or are truncated (I4), and calls that
 * run although their caller was told that they do not (I5), while entries, guards and connections fail.
 */
class CallsFaultsTest {
    private static final long DEADLINE_MS = 1_200;
    private static final Duration STEP_TIMEOUT = Duration.ofSeconds(60);
    private static final int SLOTS = 8;
    private static final int ORIGINALS = 4;
    private static final int MAX_ROUNDS = 6;

    private final CallsClient client = new CallsClient();
    private Deployment deployment;
    private String firstVm;
    private String secondVm;
    private String firstEntry;
    private String secondEntry;

    @BeforeEach
    void start() {
        deployment = CallsRules.start(DeploymentPlan.small(1)
                .withZones(List.of(
                        new DeploymentPlan.Zone("sued-a", "sued", 2, 1),
                        new DeploymentPlan.Zone("sued-b", "sued", 1, 1)))
                .withProxy());
        firstVm = "vm-sued-a-0";
        secondVm = "vm-sued-b-0";
        firstEntry = deployment.entry(0).name();
        secondEntry = deployment.entry(1).name();
    }

    @AfterEach
    void stop() {
        if (deployment != null) {
            deployment.close();
        }
    }

    @Test
    void runsEachCallAtMostOnceAndTellsTheTruthUnderFaults() throws Exception {
        var options = new CallsTraffic.Options(12, 20_261, DEADLINE_MS, 0.2, List.of(0, 1), true);
        try (CallsTraffic traffic = CallsTraffic.start(deployment, client, options)) {
            awaitMoreWhole(traffic, 100);
            for (String entry : List.of(firstEntry, secondEntry)) {
                deployment.controlProxy(entry, "{\"delayMs\":5,\"jitterMs\":40}");
            }
            controlTarget(firstVm, "{\"loseAnswersShare\":0.1}");
            awaitMoreWhole(traffic, 100);
            failEntries(traffic);
            failConnections(traffic);
            failGuards(traffic);
            controlTarget(firstVm, "{\"loseAnswersShare\":0}");
            awaitMoreWhole(traffic, 50);
            List<CallsTraffic.Call> calls = traffic.finish(60);
            flushConnections();
            CallsAudit audit = CallsAudit.read(deployment, client);
            System.out.println("calls: " + calls.size() + ", executed: "
                    + audit.executions().size() + ", outcomes: " + CallsAudit.countOutcomes(calls));
            assertEquals(List.of(), audit.violations(), "I6, I1");
            assertEquals(List.of(), CallsAudit.findWrong(calls), "I4");
            assertEquals(List.of(), audit.findFalseNotRun(calls), "I5");
            assertEquals(List.of(), findContradictedStates(calls, audit), "I5");
        }
    }

    /**
     * The original call is delayed on its way through one entry, while the same id is sent through the other entry with
     * a short deadline and refused. The guard must remember the refusal; otherwise the original runs although the
     * caller was told that it never will.
     */
    @Test
    void neverRunsAnOriginalThatArrivesAfterItsRefusal() throws Exception {
        int notRun = 0;
        List<CallsTraffic.Call> calls = new ArrayList<>();
        for (int round = 0; round < MAX_ROUNDS && notRun < 2 * ORIGINALS; round++) {
            List<String> ids = createIdsOfOneGuard(ORIGINALS + SLOTS);
            String vm = ids.get(0).substring("guard-".length(), ids.get(0).indexOf('.'));
            awaitIdle(vm);
            controlTarget(vm, "{\"slowFactor\":30}");
            deployment.controlProxy(firstEntry, "{\"direction\":\"down\",\"delayMs\":1200}");
            List<CallsTraffic.Call> originals = new ArrayList<>();
            for (String id : ids.subList(0, ORIGINALS)) {
                originals.add(send(0, id, 10_000));
            }
            List<String> fillerIds = ids.subList(ORIGINALS, ids.size());
            for (String id : fillerIds) {
                calls.add(send(1, id, 10_000));
            }
            await(
                    "all slots in use",
                    () -> CallsAudit.read(deployment, client)
                            .executions()
                            .keySet()
                            .containsAll(fillerIds));
            for (String id : ids.subList(0, ORIGINALS)) {
                CallsTraffic.Call refusedCall = send(1, id, 30);
                notRun += refusedCall.attempts().get(0).join().outcome() == CallsClient.Outcome.NOT_RUN ? 1 : 0;
                calls.add(refusedCall);
            }
            calls.addAll(originals);
            calls.forEach(call -> call.attempts().get(0).join());
            deployment.controlProxy(firstEntry, "{\"direction\":\"down\",\"delayMs\":0}");
            controlTarget(vm, "{\"slowFactor\":1}");
        }
        flushConnections();
        CallsAudit audit = CallsAudit.read(deployment, client);
        System.out.println("refused before the original: " + notRun + ", outcomes: " + CallsAudit.countOutcomes(calls));
        assertEquals(List.of(), audit.violations(), "I6, I1");
        assertEquals(List.of(), audit.findFalseNotRun(calls), "I5");
        assertTrue(notRun >= ORIGINALS, "too few ids were refused before their original call: " + notRun);
    }

    /*
     * Faults
     */

    private void failEntries(CallsTraffic traffic) {
        Deployment.EntryProcess first = deployment.entry(0);
        long retriedBefore = countRetried(traffic);
        first.process().pause();
        await("calls retried during the pause", () -> countRetried(traffic) >= retriedBefore + 5);
        first.process().resume();
        awaitMoreWhole(traffic, 50);
        long retriedBeforeKill = countRetried(traffic);
        first.process().kill();
        await("calls retried after the kill", () -> countRetried(traffic) >= retriedBeforeKill + 3);
        deployment.restartEntry(firstEntry);
        CallsRules.awaitTargets(deployment);
        awaitMoreWhole(traffic, 50);
    }

    private void failConnections(CallsTraffic traffic) {
        long accepted = countAccepted(secondEntry);
        deployment.controlProxy(secondEntry, "{\"silent\":true}");
        await("new connections", () -> countAccepted(secondEntry) > accepted);
        CallsRules.awaitTargets(deployment);
        awaitMoreWhole(traffic, 30);
        deployment.controlProxy(firstEntry, "{\"reset\":true}");
        deployment.controlProxy(secondEntry, "{\"reset\":true}");
        awaitMoreWhole(traffic, 30);
        for (String direction : List.of("down", "up")) {
            long before = countAccepted(firstEntry);
            deployment.controlProxy(firstEntry, "{\"direction\":\"" + direction + "\",\"drop\":true}");
            await(
                    "a reconnect after the direction " + direction + " was cut",
                    () -> countAccepted(firstEntry) > before);
            deployment.controlProxy(firstEntry, "{\"direction\":\"" + direction + "\",\"drop\":false}");
            CallsRules.awaitTargets(deployment);
            awaitMoreWhole(traffic, 30);
        }
        long unknownBefore = countUnknown(traffic);
        deployment.controlProxy(firstEntry, "{\"direction\":\"down\",\"delayMs\":1500}");
        await("calls with unknown outcome because of the delay", () -> countUnknown(traffic) >= unknownBefore + 5);
        deployment.controlProxy(firstEntry, "{\"direction\":\"down\",\"delayMs\":5}");
        CallsRules.awaitTargets(deployment);
        awaitMoreWhole(traffic, 30);
    }

    private void failGuards(CallsTraffic traffic) {
        Deployment.VmProcess paused = deployment.vms().get(firstVm);
        long unknownBefore = countUnknown(traffic);
        paused.guard().pause();
        await("calls with unknown outcome at the paused guard", () -> countUnknown(traffic) >= unknownBefore + 3);
        paused.guard().resume();
        CallsRules.awaitTargets(deployment);
        awaitMoreWhole(traffic, 30);
        deployment.vms().get(secondVm).guard().kill();
        deployment.restartGuard(secondVm);
        CallsRules.awaitTargets(deployment);
        awaitMoreWhole(traffic, 30);
    }

    /*
     * Checks
     */

    /** Queries the state of each call whose outcome is unknown; returns the states that contradict the journals. */
    private List<String> findContradictedStates(List<CallsTraffic.Call> calls, CallsAudit audit) {
        Map<String, Long> incarnations = new HashMap<>();
        client.read(deployment.entry(1).operator(), "/v1/targets")
                .path("targets")
                .forEach(row -> incarnations.put(
                        "guard-" + row.path("vm").asText(),
                        row.path("incarnation").asLong()));
        Map<String, Integer> countsByState = new TreeMap<>();
        List<String> contradictions = new ArrayList<>();
        for (CallsTraffic.Call call : calls) {
            List<CallsClient.Attempt> attempts =
                    call.attempts().stream().map(CompletableFuture::join).toList();
            CallsClient.Attempt last = attempts.get(attempts.size() - 1);
            if (call.id().isEmpty() || last.outcome() != CallsClient.Outcome.UNKNOWN) {
                continue;
            }
            String[] parts = call.id().split("\\.");
            boolean alive = incarnations.getOrDefault(parts[0], 0L) == Long.parseLong(parts[1]);
            String state = client.read(deployment.entry(1).caller(), "/v1/requests/" + call.id())
                    .path("state")
                    .asText();
            boolean ran = audit.executions().containsKey(call.id());
            countsByState.merge(
                    last.code() + (alive ? ", guard lives, " : ", guard restarted, ") + "asked: " + state
                            + (ran ? ", ran" : ", did not run"),
                    1,
                    Integer::sum);
            if (state.equals("done") && !ran || state.equals("refused") && ran) {
                contradictions.add(call.id() + " " + state);
            }
        }
        System.out.println("unknown: " + countsByState);
        return contradictions;
    }

    /**
     * Waits for a complete response over each connection, which proves that the guards have received everything that
     * was sent on it before.
     */
    private void flushConnections() {
        CallsRules.awaitTargets(deployment);
        for (int entry = 0; entry < 2; entry++) {
            int entryIndex = entry;
            List<String> pendingGuards = deployment.vms().keySet().stream()
                    .map(vm -> "guard-" + vm + ".")
                    .collect(Collectors.toCollection(ArrayList::new));
            await("a complete response over each connection", () -> {
                // An entry prefers the guards of its own zone when it issues ids.
                for (Deployment.EntryProcess issuer : deployment.entries().values()) {
                    String id = client.createId(issuer, 2_000);
                    if (pendingGuards.stream().anyMatch(id::startsWith)
                            && send(entryIndex, id, 3_000)
                                            .attempts()
                                            .get(0)
                                            .join()
                                            .outcome()
                                    == CallsClient.Outcome.WHOLE) {
                        pendingGuards.removeIf(id::startsWith);
                    }
                }
                return pendingGuards.isEmpty();
            });
        }
    }

    /*
     * Helpers
     */

    private CallsTraffic.Call send(int entry, String id, long deadlineMs) {
        String path = "/checkout/single?bytes=900";
        return new CallsTraffic.Call(
                id,
                System.currentTimeMillis(),
                List.of(client.call(deployment.entry(entry), id, path, 900, deadlineMs)));
    }

    private List<String> createIdsOfOneGuard(int count) {
        Map<String, List<String>> byGuard = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            String id = client.createId(deployment.entry(1), 2_000);
            assertFalse(id.isEmpty(), "the entry issued no request id");
            List<String> ids = byGuard.computeIfAbsent(id.substring(0, id.indexOf('.')), key -> new ArrayList<>());
            ids.add(id);
            if (ids.size() == count) {
                return ids;
            }
        }
        throw new AssertionError("no guard got " + count + " ids");
    }

    /** Waits until the second entry sees no call in progress at a target; until then it could queue calls itself. */
    private void awaitIdle(String vm) {
        await("an idle target", () -> {
            for (var row :
                    client.read(deployment.entry(1).operator(), "/v1/targets").path("targets")) {
                if (row.path("vm").asText().equals(vm)) {
                    return row.path("slotsInUse").asInt() == 0
                            && row.path("outstanding").asInt() == 0;
                }
            }
            return false;
        });
    }

    private void controlTarget(String vm, String json) {
        deployment.http().post(deployment.vms().get(vm).target(), "/control", json);
    }

    private long countAccepted(String entry) {
        return client.read(deployment.entries().get(entry).proxyControl(), "/")
                .path("pairs")
                .get(0)
                .path("accepted")
                .asLong();
    }

    private static long countRetried(CallsTraffic traffic) {
        return traffic.count(call -> call.attempts().size() > 1);
    }

    private static long countUnknown(CallsTraffic traffic) {
        return traffic.count(call -> call.attempts().stream()
                .anyMatch(attempt -> attempt.isDone() && attempt.join().outcome() == CallsClient.Outcome.UNKNOWN));
    }

    private static void awaitMoreWhole(CallsTraffic traffic, int more) {
        long before = traffic.countWhole();
        await(more + " more whole answers", () -> traffic.countWhole() >= before + more);
    }

    private static void await(String what, BooleanSupplier condition) {
        Awaitility.await(what)
                .atMost(STEP_TIMEOUT)
                .pollInterval(Duration.ofMillis(50))
                .until(condition::getAsBoolean);
    }
}
