import java.util.ArrayList;
import java.util.List;

/** A submission of 20,000 tasks that save checkpoints; without the disruption, twenty submissions of 1,000. */
final class Case13 extends Scenario {
    private static final int TASKS = 20_000;
    private static final int TRAFFIC_MS = 30_000;
    private static final int FINISH_MS = 14_000;
    private static final int STARVED_MS = 4_000;

    @Override
    boolean isBroken(boolean trouble) throws Exception {
        int submissions = trouble ? 1 : 20;
        for (int i = 0; i < submissions; i++) {
            deployment.submit(String.format("b%015d", i), submission("w=2000 cpu=30 mem=100 save=500",
                    "{\"count\":" + TASKS / submissions
                            + ",\"cpu\":30,\"mem_mb\":100,\"estimated_ms\":2000,\"checkpointing\":true}"));
        }
        List<String> small = new ArrayList<>();
        for (int i = 0; i < TRAFFIC_MS / 3_000; i++) {
            String id = String.format("c%015d", i);
            if (deployment.submit(id, SMALL).startsWith("2")) {
                small.add(id);
            }
            Thread.sleep(3_000);
            record.line("starts " + deployment.starts() + ", millicores in use " + deployment.cpuTaken());
        }
        record.line("the traffic has ended");
        Thread.sleep(FINISH_MS);
        return !deployment.findStarving(small, STARVED_MS).isEmpty();
    }

    public static void main(String[] args) throws Exception {
        run(new Case13(), args[0]);
    }
}
