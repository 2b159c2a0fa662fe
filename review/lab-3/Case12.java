import java.util.List;

/**
 * Submissions that are due each hour, the first in an hour, 10,000 times each (a little more than a year); without the
 * disruption, ten times each.
 */
final class Case12 extends Scenario {
    private static final int SUBMISSIONS = 80;
    private static final int HOUR_MS = 3_600_000;
    private static final int WATCH_MS = 90_000;
    private static final int ENDS = 3;

    @Override
    boolean isBroken(boolean trouble) throws Exception {
        int repetitions = trouble ? 10_000 : 10;
        long firstMs = System.currentTimeMillis() + HOUR_MS;
        int accepted = 0;
        for (int i = 0; i < SUBMISSIONS && deployment.entryEnds() == 0; i++) {
            String body = "{\"specification\":\"w=400 cpu=100 mem=20\",\"steps\":[{\"count\":2,\"cpu\":100,"
                    + "\"mem_mb\":20,\"estimated_ms\":400}],\"first_run_ms\":" + firstMs + ",\"interval_ms\":" + HOUR_MS
                    + ",\"repetitions\":" + repetitions + "}";
            accepted += deployment.submit(String.format("b%015d", i), body).startsWith("2") ? 1 : 0;
        }
        record.line("submissions accepted: " + accepted);
        long often = 0;
        for (long untilMs = System.currentTimeMillis() + (trouble ? WATCH_MS : WATCH_MS / 3);
                System.currentTimeMillis() < untilMs && often < Deployment.ENTRIES; ) {
            Thread.sleep(3_000);
            record.line("GET b000000000000000 at each entry: " + deployment.get(0, "b000000000000000") + ", "
                    + deployment.get(1, "b000000000000000") + ", " + deployment.get(2, "b000000000000000"));
            often = List.of("entry-0", "entry-1", "entry-2").stream()
                    .filter(entry -> deployment.ends(entry) >= ENDS).count();
        }
        record.line("processes of entries that ended by themselves three times or more: " + often
                + "; all ends of entries: " + deployment.entryEnds());
        return often >= 2;
    }

    public static void main(String[] args) throws Exception {
        run(new Case12(), args[0]);
    }
}
