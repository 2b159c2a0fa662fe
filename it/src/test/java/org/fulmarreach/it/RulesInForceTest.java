package org.fulmarreach.it;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;

import com.fasterxml.jackson.databind.JsonNode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a publish that overwrites the publish of another operator, takes effect twice or reaches a site late,
 * and against an entry that reverts to older rules after a restart, an outage, a truncation of the log or a network
 * partition between regions (I9).
 */
class RulesInForceTest {
    private static final long MAX_IN_FORCE_MS = 12_000;
    private static final int OPERATORS = 6;
    private static final int ROUNDS = 4;
    private static final int KEPT_RECORDS = 40;
    private static final String NORD = "entry-nord-a-0";

    private Deployment deployment;
    private int lineCount;

    @Test
    void publishesOnceEverywhereAndNeverReverts() {
        DeploymentPlan plan = DeploymentPlan.small(1)
                .withZones(List.of(
                        new DeploymentPlan.Zone("sued-a", "sued", 1, 1),
                        new DeploymentPlan.Zone("sued-b", "sued", 0, 1),
                        new DeploymentPlan.Zone("nord-a", "nord", 1, 1)))
                .withProxy()
                .withStoreArgs("--retention-records", Integer.toString(KEPT_RECORDS))
                .withEntryArgs("--store-retention-ms", "10000");
        try (Deployment started = Deployment.start(plan)) {
            deployment = started;
            ManagedProcess storeProxy = routeNordThroughProxy();
            Map<String, String> operators = new HashMap<>();
            deployment.entries().forEach((name, entry) -> operators.put(name, entry.operator()));
            try (RevisionPoller poller = new RevisionPoller(operators)) {
                publishConcurrently();
                publishWithLostResponses();
                restartAfterLogTruncation();
                partitionRegions(storeProxy);
                restartDuringOutage();
                assertEquals(List.of(), poller.regressions(), "revisions that decreased");
            } finally {
                storeProxy.close();
            }
            assertEquals(List.of(), new WorkObserver(deployment).findInvariantEvents());
        }
    }

    /** Restarts the entry in nord so that it reaches the store through a proxy, which can partition the regions. */
    private ManagedProcess routeNordThroughProxy() {
        String storePort =
                deployment.storeAddress().substring(deployment.storeAddress().indexOf(':') + 1);
        ManagedProcess proxy = ManagedProcess.start(
                "proxy-store", deployment.directory(), "standin", List.of("proxy", "--to", storePort), Map.of());
        Deployment.EntryProcess nord = deployment.entries().get(NORD);
        nord.process().kill();
        List<String> args = new ArrayList<>(nord.args());
        args.set(
                args.indexOf("--store") + 1,
                "http://" + proxy.awaitReady().path("listen").get(0).asText());
        deployment
                .entries()
                .put(
                        NORD,
                        new Deployment.EntryProcess(
                                NORD,
                                nord.zone(),
                                nord.process(),
                                nord.proxy(),
                                nord.proxyControl(),
                                args,
                                nord.caller(),
                                nord.operator()));
        deployment.restartEntry(NORD);
        awaitInForce(0);
        return proxy;
    }

    private void publishConcurrently() {
        for (int round = 0; round < ROUNDS; round++) {
            long base = findRevision(deployment.entry(0));
            List<CompletableFuture<Http.Answer>> answers = new ArrayList<>();
            for (int i = 0; i < OPERATORS; i++) {
                Deployment.EntryProcess entry =
                        deployment.entry(i % deployment.entries().size());
                String body = toPublish("race-" + round + "-" + i, base, nextLine());
                answers.add(CompletableFuture.supplyAsync(
                        () -> deployment.http().post(entry.operator(), "/v1/rules", body)));
            }
            List<Http.Answer> responses =
                    answers.stream().map(CompletableFuture::join).toList();
            List<Http.Answer> accepted =
                    responses.stream().filter(answer -> answer.status() == 200).toList();
            assertEquals(1, accepted.size(), "number of accepted publishes for one base revision: " + responses);
            assertEquals(
                    OPERATORS - 1,
                    responses.stream()
                            .filter(answer ->
                                    answer.json().path("code").asText().equals("CONFLICT"))
                            .count(),
                    "the other publishes get CONFLICT: " + responses);
            awaitInForce(accepted.get(0).json().path("revision").asLong());
        }
    }

    private void publishWithLostResponses() {
        deployment.controlStore("{\"loseAnswersShare\":0.7}");
        String line = nextLine();
        String body = toPublish("lost-1", findRevision(deployment.entry(0)), line);
        long revision = publish(deployment.entry(0), body);
        long retriedRevision = publish(deployment.entry(1), body);
        deployment.controlStore("{\"loseAnswersShare\":0}");
        assertEquals(revision, retriedRevision, "the same publish id must result in the same revision");
        awaitInForce(revision);
        for (Deployment.EntryProcess entry : deployment.entries().values()) {
            assertEquals(
                    1,
                    readLines(entry).stream()
                            .filter(found -> found.contains(line))
                            .count());
        }
    }

    private void restartAfterLogTruncation() {
        for (int i = 0; i < KEPT_RECORDS + 10; i++) {
            publishLine("keep-" + i);
        }
        long revision = findRevision(deployment.entry(0));
        WorkObserver.await("a store that has dropped records", () -> findFirstKept() > 0);
        for (int i = 1; i < 3; i++) {
            Deployment.EntryProcess entry = deployment.entry(i);
            entry.process().kill();
            deployment.restartEntry(entry.name());
        }
        awaitInForce(revision);
        awaitInForce(publishLine("after-retention"));
    }

    private void partitionRegions(ManagedProcess storeProxy) {
        String control = storeProxy.awaitReady().path("control").asText();
        deployment.http().post(control, "/control", "{\"drop\":true}");
        for (String name : deployment.entries().keySet()) {
            deployment.controlProxy(name, "{\"drop\":true}");
        }
        long before = findRevision(deployment.entries().get(NORD));
        long revision = publishLine("cut");
        awaitInForceAt(List.of(deployment.entry(0), deployment.entry(1)), revision);
        assertEquals(before, findRevision(deployment.entries().get(NORD)), "nord keeps its rules during the partition");
        for (String name : deployment.entries().keySet()) {
            deployment.controlProxy(name, "{\"drop\":false}");
        }
        deployment.http().post(control, "/control", "{\"drop\":false}");
        awaitInForce(revision);
    }

    private void restartDuringOutage() {
        long revision = findRevision(deployment.entry(0));
        deployment.controlStore("{\"outage\":\"refuse\"}");
        Deployment.EntryProcess entry = deployment.entry(1);
        entry.process().kill();
        deployment.restartEntry(entry.name());
        awaitInForceAt(List.of(deployment.entry(1)), revision);
        assertEquals(readLines(deployment.entry(0)), readLines(deployment.entry(1)), "rules from a peer");
        deployment.controlStore("{\"outage\":\"none\"}");
        awaitInForce(publishLine("after-outage"));
    }

    /*
     * Helpers
     */

    private String nextLine() {
        return "urgent bestellung/path-" + lineCount++ + " deadline=2s idempotent=yes # kreidekiste: Lena";
    }

    private static String toPublish(String id, long base, String line) {
        return "{\"publishId\":\"" + id + "\",\"baseRevision\":" + base + ",\"operator\":\"lena\",\"removed\":[],"
                + "\"added\":[\"" + line + "\"]}";
    }

    private long publishLine(String id) {
        return publish(deployment.entry(0), toPublish(id, findRevision(deployment.entry(0)), nextLine()));
    }

    /** Retries a publish with the same id until it succeeds. */
    private long publish(Deployment.EntryProcess entry, String body) {
        long[] revision = new long[1];
        WorkObserver.await("an answer to " + body, () -> {
            Http.Answer answer = deployment.http().post(entry.operator(), "/v1/rules", body);
            assertTrue(answer.status() == 200 || answer.status() == 503, answer.body());
            revision[0] = answer.json().path("revision").asLong();
            return answer.status() == 200;
        });
        return revision[0];
    }

    private void awaitInForce(long revision) {
        awaitInForceAt(List.copyOf(deployment.entries().values()), revision);
        WorkObserver.await("revision " + revision + " at all guards and entries", () -> {
            JsonNode sites = deployment
                    .http()
                    .get(deployment.entry(0).operator(), "/v1/rules/sites")
                    .json()
                    .path("sites");
            for (JsonNode site : sites) {
                if (site.path("revision").asLong() < revision) {
                    return false;
                }
            }
            return !sites.isEmpty();
        });
    }

    private void awaitInForceAt(List<Deployment.EntryProcess> entries, long revision) {
        long fromMs = System.currentTimeMillis();
        for (Deployment.EntryProcess entry : entries) {
            WorkObserver.await("revision " + revision + " at " + entry.name(), () -> findRevision(entry) >= revision);
        }
        long tookMs = System.currentTimeMillis() - fromMs;
        assertTrue(tookMs <= MAX_IN_FORCE_MS, "revision " + revision + " was in force after " + tookMs + " ms");
    }

    private long findRevision(Deployment.EntryProcess entry) {
        Http.Answer answer = deployment.http().get(entry.operator(), "/v1/rules");
        if (answer.status() != 200) {
            throw new IllegalStateException(entry.name() + " answers " + answer.body());
        }
        return answer.json().path("revision").asLong();
    }

    private List<String> readLines(Deployment.EntryProcess entry) {
        List<String> found = new ArrayList<>();
        deployment
                .http()
                .get(entry.operator(), "/v1/rules")
                .json()
                .path("lines")
                .forEach(line -> found.add(line.asText()));
        return found;
    }

    private long findFirstKept() {
        return deployment
                .http()
                .get(deployment.storeAddress(), "/streams/rules/records?from=1000000&max=1&waitMs=0")
                .json()
                .path("first")
                .asLong();
    }
}
