package org.fulmarreach.it;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against planned stops that cut off calls, do not end, or report a failure (I8). */
class DrainCallsTest {
    /** Default of the setting drain-timeout-ms, and the time in which the process closes. */
    private static final long DRAIN_BOUND_S = 20 + 5;

    private final CallsClient client = new CallsClient();
    private Deployment deployment;

    @BeforeEach
    void start() {
        deployment = CallsRules.start(DeploymentPlan.small(1));
    }

    @AfterEach
    void stop() {
        if (deployment != null) {
            deployment.close();
        }
    }

    @Test
    void finishesCallsWhenAGuardStops() throws Exception {
        Deployment.VmProcess vm = deployment.vms().get("vm-sued-a-0");
        checkStop("guard under load", vm.guard(), 1, 200);
        deployment.restartGuard(vm.name());
        CallsRules.awaitTargets(deployment);
        checkStop(
                "guard with slow answers, twice",
                deployment.vms().get(vm.name()).guard(),
                100,
                8);
    }

    @Test
    void finishesCallsWhenAnEntryStops() throws Exception {
        Deployment.EntryProcess entry = deployment.entry(0);
        checkStop("entry under load", entry.process(), 1, 200);
        deployment.restartEntry(entry.name());
        CallsRules.awaitTargets(deployment);
        checkStop("entry with slow answers, twice", deployment.entry(0).process(), 100, 8);
    }

    private void checkStop(String what, ManagedProcess process, int slowFactor, int startedBefore) throws Exception {
        for (Deployment.VmProcess vm : deployment.vms().values()) {
            deployment.http().post(vm.target(), "/control", "{\"slowFactor\":" + slowFactor + "}");
        }
        var options = new CallsTraffic.Options(20, 8, 10_000, 0.3, List.of(0, 1), false);
        try (CallsTraffic traffic = CallsTraffic.start(deployment, client, options)) {
            int earlier = CallsAudit.read(deployment, client).executions().size();
            await(
                    "running calls",
                    () -> CallsAudit.read(deployment, client).executions().size() >= earlier + startedBefore);
            process.terminate();
            if (slowFactor > 1) {
                process.terminate();
            }
            int exitCode = process.awaitExit(DRAIN_BOUND_S);
            List<CallsTraffic.Call> calls = traffic.finish(60);
            CallsAudit audit = CallsAudit.read(deployment, client);
            System.out.println(what + ": exit code " + exitCode + ", told: " + CallsAudit.countTold(calls));
            assertEquals(List.of(), findCutOff(calls, audit), "I8, " + what);
            assertEquals(List.of(), audit.violations(), "I6, I1");
            assertEquals(List.of(), audit.findFalseNotRun(calls), "I5");
            assertEquals(0, exitCode, "exit code after a planned stop, " + what);
        }
    }

    /** Calls are not repeated here, so each one that was started must have its whole answer on its first attempt. */
    private static List<String> findCutOff(List<CallsTraffic.Call> calls, CallsAudit audit) {
        List<String> cutOff = new ArrayList<>();
        CallsTraffic.attemptsOf(calls).forEach(attempt -> {
            boolean started = audit.executions().containsKey(attempt.id());
            if (started && attempt.told() != CallsClient.Told.WHOLE || attempt.told() == CallsClient.Told.UNKNOWN) {
                cutOff.add((started ? "started: " : "not started: ") + attempt);
            }
        });
        return cutOff;
    }

    private static void await(String what, java.util.concurrent.Callable<Boolean> condition) {
        Awaitility.await(what)
                .atMost(Duration.ofSeconds(60))
                .pollInterval(Duration.ofMillis(50))
                .until(condition);
    }
}
