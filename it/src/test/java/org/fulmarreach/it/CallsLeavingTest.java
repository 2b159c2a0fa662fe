package org.fulmarreach.it;

import java.time.Duration;
import java.util.List;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against calls that are started at a target after it has announced that it is leaving (I7). */
class CallsLeavingTest {
    /** Maximum time between the announcement and the last start of a call, from the requirement. */
    private static final long MAX_START_DELAY_MS = 3_000;

    private final CallsClient client = new CallsClient();

    @Test
    void startsNothingAtATargetThatLeaves() throws Exception {
        try (Deployment deployment = CallsRules.start(DeploymentPlan.small(1).withProxy())) {
            Deployment.VmProcess leaving = deployment.vms().get("vm-sued-a-0");
            checkAfter(
                    deployment,
                    leaving,
                    "target leaves",
                    () -> deployment.http().post(leaving.target(), "/control", "{\"leaving\":true}"));
            deployment.http().post(leaving.target(), "/control", "{\"leaving\":false}");
            CallsRules.awaitTargets(deployment);
            checkAfter(deployment, leaving, "operator drains, announcement lost", () -> {
                // The guard still receives messages from the entries, but the entries receive none from the guard.
                for (Deployment.EntryProcess entry : deployment.entries().values()) {
                    deployment.controlProxy(entry.name(), "{\"direction\":\"up\",\"drop\":true}");
                }
                deployment.http().post(deployment.entry(0).operator(), "/v1/targets/vm-sued-a-0/drain", "{}");
            });
            for (Deployment.EntryProcess entry : deployment.entries().values()) {
                deployment.controlProxy(entry.name(), "{\"direction\":\"up\",\"drop\":false}");
            }
        }
    }

    private void checkAfter(Deployment deployment, Deployment.VmProcess leaving, String what, Runnable leave)
            throws Exception {
        var options = new CallsTraffic.Options(8, 7, 2_000, 0.5, List.of(0, 1), false);
        try (CallsTraffic traffic = CallsTraffic.start(deployment, client, options)) {
            int before = CallsAudit.read(deployment, client).executions().size();
            await(
                    "calls at the target",
                    () -> CallsAudit.read(deployment, client).executions().values().stream()
                                    .filter(execution -> execution.vm().equals(leaving.name()))
                                    .count()
                            > before / 2 + 20);
            long leftAtMs = System.currentTimeMillis();
            leave.run();
            // Traffic continues well beyond the bound, so that a late start would be detected.
            await("traffic beyond the bound", () -> System.currentTimeMillis() > leftAtMs + 2 * MAX_START_DELAY_MS);
            List<CallsTraffic.Call> calls = traffic.finish(30);
            CallsAudit audit = CallsAudit.read(deployment, client);
            long lastMs = audit.executions().values().stream()
                    .filter(execution -> execution.vm().equals(leaving.name()))
                    .mapToLong(execution -> execution.wallMs() - leftAtMs)
                    .max()
                    .orElseThrow();
            System.out.println(what + ": last start " + lastMs + " ms after the announcement, outcomes: "
                    + CallsAudit.countOutcomes(calls));
            assertTrue(
                    lastMs <= MAX_START_DELAY_MS,
                    "I7, " + what + ": a call was started " + lastMs + " ms after the announcement");
            assertEquals(List.of(), audit.violations(), "I6, I1");
            assertEquals(List.of(), audit.findFalseNotRun(calls), "I5");
        }
    }

    private static void await(String what, java.util.concurrent.Callable<Boolean> condition) {
        Awaitility.await(what)
                .atMost(Duration.ofSeconds(60))
                .pollInterval(Duration.ofMillis(100))
                .until(condition);
    }
}
