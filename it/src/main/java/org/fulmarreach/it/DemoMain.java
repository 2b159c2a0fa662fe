package org.fulmarreach.it;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Demonstrates the main features on one machine with Kreidekiste's zones: a rules file is published; a checkout is
 * executed once although it is sent through two entries; a batch run finishes before its deadline; standing work is
 * moved after the loss of its VM and ends when its line is removed. The exit code is 0 only if all steps succeeded.
 */
public final class DemoMain {
    private static final long STEP_TIMEOUT_MS = 75_000;
    private static final String STANDING =
            "standing packer-sync region=sued cores=1 memory=2G task=run:forever # kreidekiste: Jonas, stock sync";
    private static final List<String> RULES = List.of(
            "urgent bestellung/checkout deadline=2s idempotent=no cost=3 # kreidekiste: Lena, parents wait",
            "urgent bestellung/stock deadline=2s idempotent=yes # kreidekiste: Lena",
            "batch farbplan region=sued every=15s at=0s within=14s runtime=3s cores=8 memory=16G task=run:3s cost=40"
                    + " # kreidekiste: Jonas, colour batch plan",
            "quota cores=64 memory=128G tasks=40 # kreidekiste: Lena",
            "budget amount=100000 every=24h # federation: treasurer");

    private final PrintStream out;
    private final Deployment deployment;
    private boolean failed;

    private DemoMain(PrintStream out, Deployment deployment) {
        this.out = out;
        this.deployment = deployment;
    }

    /** Runs the demo. */
    public static void main(String[] args) {
        PrintStream out = System.out;
        out.println("Starting a log service, 5 VMs with guards and targets, and 3 entries in 2 regions ...");
        DeploymentPlan plan = DeploymentPlan.kreidekiste()
                .withZones(List.of(
                        new DeploymentPlan.Zone("sued-a", "sued", 2, 1),
                        new DeploymentPlan.Zone("sued-b", "sued", 2, 1),
                        new DeploymentPlan.Zone("nord-a", "nord", 1, 1)));
        boolean passed;
        try (Deployment deployment = Deployment.start(plan)) {
            out.println("Output of the processes: " + deployment.directory());
            passed = new DemoMain(out, deployment).run();
        }
        out.println(passed ? "All steps of the demo succeeded." : "The demo FAILED.");
        System.exit(passed ? 0 : 1);
    }

    private boolean run() {
        publishRulesWithStandingWork();
        demonstrateCalls();
        demonstrateBatchWork();
        demonstrateStandingWork();
        return !failed;
    }

    private void publishRulesWithStandingWork() {
        List<String> lines = new ArrayList<>(RULES);
        lines.add(STANDING);
        deployment.publish(lines);
        report(true, "rules", "6 rules are in force at all sites");
    }

    private void demonstrateCalls() {
        Http http = deployment.http();
        String caller = deployment.entry(0).caller();
        waitFor(
                "targets",
                () -> http.get(deployment.entry(0).operator(), "/v1/targets")
                                .json()
                                .path("targets")
                                .size()
                        >= 4);
        Http.Answer stock = http.call(caller, "bestellung/stock?bytes=300", null, 2_000);
        report(stock.status() == 200, "urgent", "idempotent call: status " + stock.status());
        String id = http.createRequestId(caller, "bestellung");
        Http.Answer first = http.call(caller, "bestellung/checkout", id, 2_000);
        Http.Answer again = http.call(deployment.entry(1).caller(), "bestellung/checkout", id, 2_000);
        boolean once =
                first.status() == 200 && again.status() == 200 && first.body().equals(again.body());
        report(once, "urgent", "checkout sent through two entries ran once: " + first.body());
    }

    private void demonstrateBatchWork() {
        JsonNode[] done = new JsonNode[1];
        boolean finished = waitFor("a finished run", () -> {
            done[0] = findWork("farbplan", "DONE");
            return done[0] != null;
        });
        if (finished) {
            long run = done[0].path("run").asLong();
            long deadlineMs = done[0].path("deadlineMs").asLong();
            long finishedMs = findFinishMs("farbplan." + run + ".");
            report(
                    finishedMs > 0 && finishedMs <= deadlineMs,
                    "batch",
                    "run " + run + " of farbplan finished " + (deadlineMs - finishedMs) + " ms before its deadline");
        }
    }

    /** Returns when a worker agent finished a task, in milliseconds of the wall clock; 0 if none did. */
    private long findFinishMs(String idPrefix) {
        for (Deployment.VmProcess vm : deployment.vms().values()) {
            for (JsonNode entry : deployment.readJournal(vm.worker())) {
                boolean isFinish = entry.path("event").asText().equals("FINISH");
                if (isFinish && entry.path("id").asText().startsWith(idPrefix)) {
                    return entry.path("wallMs").asLong();
                }
            }
        }
        return 0;
    }

    private void demonstrateStandingWork() {
        if (!waitFor("standing work to run", () -> findRunningStandingWork() != null)) {
            return;
        }
        String vm = findRunningStandingWork().path("vm").asText();
        report(true, "standing", "packer-sync runs on " + vm + "; killing this VM");
        deployment.killVm(vm);
        boolean moved = waitFor("standing work to move", () -> {
            JsonNode running = findRunningStandingWork();
            return running != null && !running.path("vm").asText().equals(vm);
        });
        report(
                moved,
                "standing",
                "packer-sync runs again"
                        + (moved ? " on " + findRunningStandingWork().path("vm").asText() : ""));
        deployment.publish(RULES);
        boolean ended = waitFor("standing work to end", () -> findRunningStandingWork() == null);
        report(ended, "standing", "packer-sync ended after its line was removed");
        PlacementAudit audit = new PlacementAudit();
        for (Deployment.VmProcess process : deployment.vms().values()) {
            if (process.platform().isAlive()) {
                audit.add(process.name(), deployment.readJournal(process.worker()), Long.MAX_VALUE);
            }
        }
        List<String> violations = audit.findViolations();
        report(violations.isEmpty(), "placement", "no run was executed in two places, violations: " + violations);
    }

    private JsonNode findRunningStandingWork() {
        return findWork("packer-sync", "ASSIGNED");
    }

    private JsonNode findWork(String name, String phase) {
        for (Deployment.EntryProcess entry : deployment.entries().values()) {
            for (JsonNode work :
                    deployment.http().get(entry.operator(), "/v1/work").json().path("work")) {
                if (work.path("name").asText().equals(name)
                        && work.path("phase").asText().equals(phase)) {
                    return work;
                }
            }
        }
        return null;
    }

    private boolean waitFor(String description, BooleanSupplier condition) {
        long untilMs = System.currentTimeMillis() + STEP_TIMEOUT_MS;
        while (System.currentTimeMillis() < untilMs) {
            if (condition.getAsBoolean()) {
                return true;
            }
            try {
                Thread.sleep(200);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        report(false, "timeout", "no " + description + " within " + STEP_TIMEOUT_MS / 1_000 + " s");
        return false;
    }

    private void report(boolean passed, String kind, String text) {
        failed |= !passed;
        out.println((passed ? "ok    " : "FAILED") + " " + kind + ": " + text);
    }
}
