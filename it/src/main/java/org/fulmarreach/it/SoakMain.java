package org.fulmarreach.it;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Runs calls, batch work and standing work on a small deployment and injects faults according to a schedule that
 * depends only on the seed. Afterwards, checks the invariants against the journals. The exit code is 0 only without
 * violations.
 */
public final class SoakMain {
    private static final List<String> STANDING = List.of("watch-0", "watch-1");
    private static final int CALLERS = 4;
    private static final long PUBLISH_INTERVAL_MS = 5_000;
    private static final long POLL_MS = 100;

    private final PrintStream out;
    private final Deployment deployment;
    private final WorkObserver workObserver;
    private final List<String> rules = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Long> killTimesMs = new HashMap<>();
    private final Map<String, String> platformFiles = new HashMap<>();
    private long startMs;
    private int publishes;

    private SoakMain(PrintStream out, Deployment deployment) {
        this.out = out;
        this.deployment = deployment;
        this.workObserver = new WorkObserver(deployment);
        deployment.vms().keySet().forEach(vm -> platformFiles.put(vm, "platform-" + vm + ".out"));
    }

    /** Parses the arguments and runs the soak. */
    public static void main(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("soak")
                .build()
                .description("Runs a deployment under random faults and checks the invariants.");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the schedule of faults");
        parser.addArgument("--minutes").type(Integer.class).setDefault(5).help("duration of the run");
        parser.addArgument("--faults-per-minute")
                .type(Integer.class)
                .setDefault(4)
                .help("mean number of faults per minute");
        try {
            Namespace options = parser.parseArgs(args);
            long runMs = options.getInt("minutes") * 60_000L;
            System.exit(run(System.out, options.getLong("seed"), runMs, options.getInt("faults_per_minute")));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
        }
    }

    /**
     * Runs the soak once.
     *
     * @param out stream for the faults and the summary
     * @param seed seed of the schedule of faults
     * @param runMs time span in which faults are injected, in milliseconds
     * @param faultsPerMinute mean number of faults per minute
     * @return 0 without violations, otherwise 1
     */
    static int run(PrintStream out, long seed, long runMs, int faultsPerMinute) {
        List<SoakFault> schedule = SoakFault.schedule(new SplittableRandom(seed), runMs, faultsPerMinute);
        DeploymentPlan plan = DeploymentPlan.small(2).withProxy();
        try (Deployment deployment = Deployment.start(plan)) {
            out.println("seed " + seed + ", " + schedule.size() + " faults, output in " + deployment.directory());
            return new SoakMain(out, deployment).run(schedule, runMs);
        }
    }

    private int run(List<SoakFault> schedule, long runMs) {
        publishInitialRules();
        Map<String, String> operators = new HashMap<>();
        List<String> callers = new ArrayList<>();
        deployment.entries().forEach((name, entry) -> {
            operators.put(name, entry.operator());
            callers.add(entry.caller());
        });
        WorkObserver.await(
                "a call",
                () -> deployment
                                .http()
                                .call(callers.get(0), "bestellung/stock", null, 2_000)
                                .status()
                        == 200);
        startMs = System.currentTimeMillis();
        SoakCalls calls = new SoakCalls(callers, CALLERS);
        try (RevisionPoller poller = new RevisionPoller(operators);
                calls) {
            for (SoakFault fault : schedule) {
                publishUntil(startMs + fault.atMs());
                inject(fault, calls);
            }
            publishUntil(startMs + runMs);
            awaitRecovery("the run", calls);
            poller.regressions().forEach(regression -> violations.add("I9: " + regression));
        } catch (AssertionError e) {
            violations.add("no recovery: " + e.getMessage());
        }
        return summarize(calls);
    }

    /*
     * Faults
     */

    private void inject(SoakFault fault, SoakCalls calls) {
        List<String> names = new ArrayList<>(
                switch (fault.kind()) {
                    case KILL_GUARD, PAUSE_GUARD, KILL_VM, TARGET_LOSE_ANSWERS ->
                        deployment.vms().keySet();
                    default -> deployment.entries().keySet();
                });
        String name = names.get(fault.index() % names.size());
        out.println("t=" + (System.currentTimeMillis() - startMs) + " ms: " + fault.kind() + " " + name + " for "
                + fault.durationMs() + " ms");
        beginFault(fault.kind(), name);
        publishUntil(System.currentTimeMillis() + fault.durationMs());
        endFault(fault.kind(), name);
        awaitRecovery(fault.kind() + " " + name, calls);
    }

    private void beginFault(SoakFault.Kind kind, String name) {
        switch (kind) {
            case KILL_ENTRY -> deployment.entries().get(name).process().kill();
            case PAUSE_ENTRY -> deployment.entries().get(name).process().pause();
            case CUT_UP -> deployment.controlProxy(name, "{\"direction\":\"up\",\"drop\":true}");
            case CUT_DOWN -> deployment.controlProxy(name, "{\"direction\":\"down\",\"drop\":true}");
            case SILENCE -> deployment.controlProxy(name, "{\"silent\":true}");
            case STORE_REFUSE -> deployment.controlStore("{\"outage\":\"refuse\"}");
            case STORE_HANG -> deployment.controlStore("{\"outage\":\"hang\"}");
            case STORE_LOSE_ANSWERS -> deployment.controlStore("{\"loseAnswersShare\":0.5}");
            case KILL_GUARD -> deployment.vms().get(name).guard().kill();
            case PAUSE_GUARD -> deployment.vms().get(name).guard().pause();
            case KILL_VM -> {
                workObserver.killVm(name);
                killTimesMs.put(platformFiles.get(name), System.currentTimeMillis());
            }
            case TARGET_LOSE_ANSWERS ->
                deployment.http().post(deployment.vms().get(name).target(), "/control", "{\"loseAnswersShare\":0.5}");
            default -> throw new IllegalStateException("unknown kind of fault: " + kind);
        }
    }

    private void endFault(SoakFault.Kind kind, String name) {
        switch (kind) {
            case KILL_ENTRY -> deployment.restartEntry(name);
            case PAUSE_ENTRY -> deployment.entries().get(name).process().resume();
            case CUT_UP, CUT_DOWN -> deployment.controlProxy(name, "{\"drop\":false}");
            case SILENCE -> {
                // The silent connections stay silent; new connections work.
            }
            case STORE_REFUSE, STORE_HANG -> deployment.controlStore("{\"outage\":\"none\"}");
            case STORE_LOSE_ANSWERS -> deployment.controlStore("{\"loseAnswersShare\":0}");
            case KILL_GUARD -> deployment.restartGuard(name);
            case PAUSE_GUARD -> deployment.vms().get(name).guard().resume();
            case KILL_VM -> platformFiles.put(name, deployment.replaceVm(name));
            case TARGET_LOSE_ANSWERS ->
                deployment.http().post(deployment.vms().get(name).target(), "/control", "{\"loseAnswersShare\":0}");
            default -> throw new IllegalStateException("unknown kind of fault: " + kind);
        }
    }

    private void awaitRecovery(String fault, SoakCalls calls) {
        long endedMs = System.currentTimeMillis();
        for (Deployment.EntryProcess entry : deployment.entries().values()) {
            WorkObserver.await("a call through " + entry.name(), () -> calls.succeeds(entry.caller()));
        }
        long callsMs = System.currentTimeMillis() - endedMs;
        workObserver.awaitStanding(STANDING);
        out.println("    recovered from " + fault + ": calls after " + callsMs + " ms, standing work after "
                + (System.currentTimeMillis() - endedMs) + " ms");
    }

    /*
     * Rules
     */

    private void publishInitialRules() {
        rules.add("urgent bestellung/checkout deadline=2s idempotent=no cost=1 # kreidekiste: Lena");
        rules.add("urgent bestellung/stock deadline=2s idempotent=yes # kreidekiste: Lena");
        rules.add("budget amount=10000000 every=1000d # federation: treasurer");
        for (String name : STANDING) {
            rules.add("standing " + name + " region=sued cores=1 memory=1G task=run:forever # kreidekiste: Jonas");
        }
        for (int i = 0; i < 3; i++) {
            rules.add("batch build-" + i + " region=sued every=4s at=" + i + "s within=4s runtime=2s cores=2 memory=1G"
                    + " task=run:2s # kreidekiste: Jonas");
        }
        deployment.publish(rules);
        workObserver.awaitStanding(STANDING);
    }

    /** Publishes a line periodically until a time; {@link #checkRules()} verifies that accepted lines stay in force. */
    private void publishUntil(long untilMs) {
        long nextMs = System.currentTimeMillis();
        while (System.currentTimeMillis() < untilMs) {
            if (System.currentTimeMillis() >= nextMs) {
                nextMs = System.currentTimeMillis() + PUBLISH_INTERVAL_MS;
                publishLine();
            }
            try {
                Thread.sleep(Math.clamp(untilMs - System.currentTimeMillis(), 0, POLL_MS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void publishLine() {
        int number = publishes++;
        String line = "urgent bestellung/extra-" + number + " deadline=2s idempotent=yes # kreidekiste: Lena";
        for (Deployment.EntryProcess entry : deployment.entries().values()) {
            try {
                long base = deployment
                        .http()
                        .get(entry.operator(), "/v1/rules")
                        .json()
                        .path("revision")
                        .asLong();
                String body = "{\"publishId\":\"soak-" + number + "\",\"baseRevision\":" + base
                        + ",\"operator\":\"soak\",\"added\":[\"" + line + "\"]}";
                if (deployment.http().post(entry.operator(), "/v1/rules", body).status() == 200) {
                    rules.add(line);
                    return;
                }
            } catch (RuntimeException e) {
                // The entry is down, paused or disconnected; the next entry is tried with the same publish id.
                Thread.yield();
            }
        }
    }

    private void checkRules() {
        for (Deployment.EntryProcess entry : deployment.entries().values()) {
            WorkObserver.await("the accepted rules at " + entry.name(), () -> {
                String body =
                        deployment.http().get(entry.operator(), "/v1/rules").body();
                return rules.stream()
                        .map(line -> line.substring(0, line.indexOf(" #")))
                        .allMatch(body::contains);
            });
        }
    }

    /*
     * Summary
     */

    private int summarize(SoakCalls calls) {
        try {
            checkRules();
        } catch (AssertionError e) {
            violations.add("I9: an accepted rule is missing: " + e.getMessage());
        }
        SoakChecks checks = new SoakChecks(deployment.directory(), killTimesMs);
        violations.addAll(checks.findViolations(calls.outcomes()));
        calls.wrongResponses().forEach(response -> violations.add("I4: " + response));
        workObserver.findInvariantEvents().forEach(event -> violations.add("invariant event: " + event));
        int[] counts = new int[SoakCalls.Outcome.values().length];
        calls.outcomes().values().forEach(outcome -> counts[outcome.ordinal()]++);
        out.println("calls " + calls.outcomes().size() + ": run " + counts[0] + ", not_run " + counts[1]
                + ", unknown " + counts[2] + " (resolved afterwards " + countResolved(calls) + "), without id "
                + calls.refusedIds());
        out.println("batch runs finished " + checks.finished() + ", publishes " + publishes);
        violations.forEach(violation -> out.println("VIOLATION " + violation));
        out.println("violations " + violations.size());
        return violations.isEmpty() ? 0 : 1;
    }

    private long countResolved(SoakCalls calls) {
        String caller = deployment.entry(0).caller();
        return calls.outcomes().entrySet().stream()
                .filter(entry -> entry.getValue() == SoakCalls.Outcome.UNKNOWN)
                .filter(entry -> isResolved(caller, entry.getKey()))
                .count();
    }

    private boolean isResolved(String caller, String id) {
        try {
            String state = deployment
                    .http()
                    .get(caller, "/v1/requests/" + id)
                    .json()
                    .path("state")
                    .asText();
            return state.equals("done") || state.equals("refused");
        } catch (RuntimeException e) {
            return false;
        }
    }
}
