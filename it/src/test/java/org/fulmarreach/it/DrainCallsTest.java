package org.fulmarreach.it;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against planned stops that abort calls, do not complete, or exit with a failure (I8). */
class DrainCallsTest {
    /** Default of the setting drain-timeout-ms, plus the time that the process needs to shut down. */
    private static final long MAX_STOP_S = 20 + 5;

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
            int executedBefore =
                    CallsAudit.read(deployment, client).executions().size();
            await(
                    "running calls",
                    () -> CallsAudit.read(deployment, client).executions().size() >= executedBefore + startedBefore);
            process.terminate();
            if (slowFactor > 1) {
                process.terminate();
            }
            int exitCode = process.awaitExit(MAX_STOP_S);
            List<CallsTraffic.Call> calls = traffic.finish(60);
            CallsAudit audit = CallsAudit.read(deployment, client);
            System.out.println(what + ": exit code " + exitCode + ", outcomes: " + CallsAudit.countOutcomes(calls));
            assertEquals(List.of(), findAborted(calls, audit), "I8, " + what);
            assertEquals(List.of(), audit.violations(), "I6, I1");
            assertEquals(List.of(), audit.findFalseNotRun(calls), "I5");
            assertEquals(0, exitCode, "exit code after a planned stop, " + what);
        }
    }

    /** Calls are not retried in this test, so each started call must get its complete response on the first attempt. */
    private static List<String> findAborted(List<CallsTraffic.Call> calls, CallsAudit audit) {
        List<String> aborted = new ArrayList<>();
        CallsTraffic.attemptsOf(calls).forEach(attempt -> {
            boolean started = audit.executions().containsKey(attempt.id());
            if (started && attempt.outcome() != CallsClient.Outcome.WHOLE
                    || attempt.outcome() == CallsClient.Outcome.UNKNOWN) {
                aborted.add((started ? "started: " : "not started: ") + attempt);
            }
        });
        return aborted;
    }

    private static void await(String what, java.util.concurrent.Callable<Boolean> condition) {
        Awaitility.await(what)
                .atMost(Duration.ofSeconds(60))
                .pollInterval(Duration.ofMillis(50))
                .until(condition);
    }
}
