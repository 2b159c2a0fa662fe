package org.fulmarreach.it;

import java.time.Duration;
import java.util.List;

import org.awaitility.Awaitility;

/** Starts deployments with the rules that the tests of calls use, and waits until they are ready. Stateless. */
final class CallsRules {
    private static final List<String> LINES = List.of(
            "urgent bestellung/checkout deadline=5s idempotent=no # kreidekiste: Lena, parents wait",
            "urgent bestellung/stock deadline=5s idempotent=yes # kreidekiste: Lena");

    private CallsRules() {}

    /** Starts a deployment with the rules in force and all targets ready at all entries. */
    static Deployment start(DeploymentPlan plan) {
        Deployment deployment = Deployment.start(plan);
        try {
            deployment.publish(LINES);
            awaitTargets(deployment);
            return deployment;
        } catch (RuntimeException | Error e) {
            deployment.close();
            throw e;
        }
    }

    /** Waits until each entry sees each target as ready. */
    static void awaitTargets(Deployment deployment) {
        for (Deployment.EntryProcess entry : deployment.entries().values()) {
            Awaitility.await("targets at " + entry.name())
                    .atMost(Duration.ofSeconds(60))
                    .pollInterval(Duration.ofMillis(100))
                    .ignoreExceptions()
                    .until(() ->
                            countReady(deployment, entry) == deployment.vms().size());
        }
    }

    private static long countReady(Deployment deployment, Deployment.EntryProcess entry) {
        long ready = 0;
        for (var row :
                deployment.http().get(entry.operator(), "/v1/targets").json().path("targets")) {
            ready += "READY".equals(row.path("state").asText()) ? 1 : 0;
        }
        return ready;
    }
}
