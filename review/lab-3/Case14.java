import java.util.ArrayList;
import java.util.List;

/** Fourteen submissions of 20,000 tasks, a few of which run at a time; the store is down for 4.5 s. */
final class Case14 extends Scenario {
    private static final int SUBMISSIONS = 14;
    private static final int DOWN_MS = 4_500;
    private static final int FINISH_MS = 14_000;
    private static final int STARVED_MS = 4_000;

    @Override
    boolean isBroken(boolean trouble) throws Exception {
        for (int i = 0; i < SUBMISSIONS; i++) {
            deployment.submit(String.format("b%015d", i), submission("w=3000 cpu=500 mem=100",
                    "{\"count\":20000,\"cpu\":500,\"mem_mb\":100,\"estimated_ms\":3000,\"anti_affinity\":4}"));
            Thread.sleep(300);
        }
        Thread.sleep(8_000);
        record.line("starts " + deployment.starts() + ", millicores in use " + deployment.cpuTaken());
        if (trouble) {
            deployment.store().busy(DOWN_MS);
        }
        Thread.sleep(DOWN_MS + 3_000);
        List<String> small = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            String id = String.format("c%015d", i);
            if (deployment.submit(id, SMALL).startsWith("2")) {
                small.add(id);
            }
            Thread.sleep(2_000);
            record.line("starts " + deployment.starts() + ", millicores in use " + deployment.cpuTaken());
        }
        record.line("the traffic has ended");
        Thread.sleep(FINISH_MS);
        return !deployment.findStarving(small, STARVED_MS).isEmpty();
    }

    public static void main(String[] args) throws Exception {
        run(new Case14(), args[0]);
    }
}
