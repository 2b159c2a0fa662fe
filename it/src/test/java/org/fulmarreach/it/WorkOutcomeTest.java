package org.fulmarreach.it;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import com.fasterxml.jackson.databind.JsonNode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against drained work that loses its progress or is resumed twice if the leader is killed at the same time
 * (I3). Guards also against work that can never run, and workers that fail every start, using up starts of other work
 * without being reported (I12).
 */
class WorkOutcomeTest {
    private static final String WATCH = "watch-0";
    private static final List<String> RULES = List.of(
            "standing " + WATCH + " region=sued cores=1 memory=1G task=run:forever # kreidekiste: Jonas",
            "batch build-0 region=sued every=1s at=0s within=1s runtime=200ms cores=1 memory=1G task=run:200ms"
                    + " # kreidekiste: Jonas",
            "batch too-large region=sued every=1000d at=999d within=1d runtime=1s cores=64 memory=1G task=run:1s"
                    + " # kreidekiste: Jonas");
    private static final String NEVER_STARTING =
            "batch hopeless region=sued every=1000d at=0s within=1000d runtime=1s cores=1 memory=1G task=never-runs"
                    + " # kreidekiste: Jonas";

    @Test
    void resumesOnceAndNamesWhatCannotRun() {
        try (Deployment deployment = Deployment.start(DeploymentPlan.small(2))) {
            WorkObserver work = new WorkObserver(deployment);
            deployment.publish(RULES);
            work.awaitStanding(List.of(WATCH));
            reportWorkThatFitsNowhere(deployment, work);
            avoidFailingWorker(deployment, work);
            quarantineWorkThatNeverRuns(deployment, work);
            resumeDrainedWorkOnce(deployment, work);
            assertEquals(List.of(), work.findViolations());
            assertEquals(List.of(), work.findInvariantEvents());
        }
    }

    private static void reportWorkThatFitsNowhere(Deployment deployment, WorkObserver work) {
        Deployment.EntryProcess leader = work.awaitLeader();
        WorkObserver.await("the reason why work fits nowhere, before it is due", () -> {
            List<JsonNode> runs = work.listWork(leader, "too-large");
            return !runs.isEmpty()
                    && runs.get(0).path("phase").asText().equals("PENDING")
                    && runs.get(0).path("reason").asText().contains("fits on no reachable VM: needs 64.0 cores");
        });
    }

    private static void quarantineWorkThatNeverRuns(Deployment deployment, WorkObserver work) {
        List<String> lines = new ArrayList<>(RULES);
        lines.add(NEVER_STARTING);
        deployment.publish(lines);
        Deployment.EntryProcess leader = work.awaitLeader();
        WorkObserver.await(
                "quarantine of work that fails everywhere",
                () -> work.listWork(leader, "hopeless").stream()
                        .anyMatch(run -> run.path("phase").asText().equals("QUARANTINED")));
        List<String> vms = new ArrayList<>();
        work.readJournals()
                .forEach((vm, journal) -> journal.stream()
                        .filter(entry -> entry.path("event").asText().equals("FAIL_START"))
                        .filter(entry -> entry.path("id").asText().startsWith("hopeless."))
                        .forEach(entry -> vms.add(vm)));
        assertEquals(3, vms.size(), "number of starts: " + vms);
        assertEquals(3, new HashSet<>(vms).size(), "starts must be on different VMs: " + vms);
    }

    private static void avoidFailingWorker(Deployment deployment, WorkObserver work) {
        Deployment.VmProcess failing = findVmWithout(deployment, work);
        // A start may fail before the answer arrives, and the worker may then get no other one for a while.
        long fromMs = System.currentTimeMillis();
        deployment.http().post(failing.worker(), "/control", "{\"failAll\":true}");
        WorkObserver.await("a failed start", () -> countFailedStarts(work, failing, fromMs) >= 1);
        long failedMs = System.currentTimeMillis();
        WorkObserver.await("20 runs on other VMs", () -> work.countFinishedSince(failedMs) >= 20);
        long failed = countFailedStarts(work, failing, fromMs);
        assertTrue(failed <= 3, failed + " starts on a failing worker while 20 runs finished elsewhere");
        deployment.http().post(failing.worker(), "/control", "{\"failAll\":false}");
    }

    private static Deployment.VmProcess findVmWithout(Deployment deployment, WorkObserver work) {
        String vmOfStandingWork = work.findVm(WATCH);
        return deployment.vms().values().stream()
                .filter(vm -> !vm.name().equals(vmOfStandingWork))
                .findFirst()
                .orElseThrow();
    }

    private static long countFailedStarts(WorkObserver work, Deployment.VmProcess vm, long fromMs) {
        return work.readJournals().get(vm.name()).stream()
                .filter(entry -> entry.path("wallMs").asLong() >= fromMs)
                .filter(entry -> entry.path("event").asText().equals("FAIL_START"))
                .count();
    }

    private static void resumeDrainedWorkOnce(Deployment deployment, WorkObserver work) {
        Deployment.EntryProcess leader = work.awaitLeader();
        Deployment.EntryProcess other = work.findOther(leader);
        String vm = work.findVm(WATCH);
        long drainedMs = System.currentTimeMillis();
        leader.process().kill();
        Http.Answer answer = deployment.http().post(other.operator(), "/v1/targets/" + vm + "/drain", "{}");
        assertEquals(200, answer.status(), answer.body());
        WorkObserver.await("the work on another VM", () -> {
            List<String> running = work.findRunning(WATCH);
            return running.size() == 1 && !running.get(0).startsWith(vm + ":");
        });
        Map<String, List<JsonNode>> journals = work.readJournals();
        JsonNode checkpoint = findLast(journals.get(vm), "CHECKPOINT", drainedMs);
        String resumedVm = work.findVm(WATCH);
        JsonNode resumed = findLast(journals.get(resumedVm), "START", drainedMs);
        assertEquals(
                checkpoint.path("progressMs").asLong(),
                resumed.path("fromMs").asLong(),
                "resumed from the checkpoint: " + checkpoint + " " + resumed);
        Set<String> ids = new HashSet<>();
        journals.values().stream()
                .flatMap(List::stream)
                .filter(entry -> entry.path("event").asText().equals("START"))
                .filter(entry -> entry.path("id").asText().startsWith(WATCH + "."))
                .forEach(entry -> assertTrue(ids.add(entry.path("id").asText()), "started twice: " + entry));
        assertEquals(2, ids.size(), "one start, one resume: " + ids);
    }

    private static JsonNode findLast(List<JsonNode> journal, String event, long fromMs) {
        return journal.stream()
                .filter(entry -> entry.path("wallMs").asLong() >= fromMs)
                .filter(entry -> entry.path("event").asText().equals(event))
                .filter(entry -> entry.path("id").asText().startsWith(WATCH + "."))
                .reduce((first, second) -> second)
                .orElseThrow(() -> new AssertionError("no " + event + " of " + WATCH + " in the journal"));
    }
}
