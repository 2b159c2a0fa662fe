import java.io.IOException;
import java.nio.file.Path;

/** Runs one case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
abstract class Scenario {
    /** A submission of five tasks of half a second each on one core. */
    static final String SMALL = submission(
            "w=500 cpu=1000 mem=64", "{\"count\":5,\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":500}");

    private static final int READY_MS = 30_000;

    Record record;
    Deployment deployment;

    static String submission(String specification, String step) {
        return "{\"specification\":\"" + specification + "\",\"steps\":[" + step + "]}";
    }

    /** Runs the case on a deployment that is ready; returns whether the rule was broken. */
    abstract boolean isBroken(boolean trouble) throws Exception;

    /** Returns the number of workers at the start. */
    int workers() {
        return 3;
    }

    /** Hands in a small submission and waits for its end; returns whether it was completed. */
    boolean completesSmall(String id, long timeoutMs) throws InterruptedException {
        deployment.submit(id, SMALL);
        String state = "";
        for (long untilMs = System.currentTimeMillis() + timeoutMs;
                System.currentTimeMillis() < untilMs && !state.equals("completed"); ) {
            Thread.sleep(100);
            state = deployment.state(id);
        }
        record.line("GET " + id + ": " + state);
        return state.equals("completed");
    }

    static void run(Scenario scenario, String recordFile) throws IOException {
        // Without it, an answer waits for the acknowledgement of its head, up to 40 ms.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        scenario.record = new Record(Path.of(recordFile));
        scenario.record.line(trouble ? "with the disruption" : "without the disruption");
        int status = 2;
        try (Deployment deployment = new Deployment(scenario.record, scenario.workers(), true)) {
            scenario.deployment = deployment;
            if (deployment.awaitReady(READY_MS) && scenario.completesSmall("00000000000000aa", 15_000)) {
                status = scenario.isBroken(trouble) ? 1 : 0;
                deployment.copyLogs("guardian failed|OutOfMemoryError|LEADER_ELECTED", 4);
            } else {
                scenario.record.line("the deployment did not start");
            }
        } catch (Exception e) {
            scenario.record.line("the case could not run: " + e);
            status = 2;
        }
        scenario.record.summary();
        scenario.record.line("exit status " + status);
        System.exit(status);
    }
}
