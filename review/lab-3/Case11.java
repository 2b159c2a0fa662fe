import java.util.List;

/** A submission of 3,600 small tasks whose specification has 4,000 bytes; without the disruption it has 28. */
final class Case11 extends Scenario {
    private static final String ID = "00000000000000b1";
    private static final int SPECIFICATION_BYTES = 4_000;
    private static final int WATCH_MS = 45_000;
    private static final int ENDS = 3;

    @Override
    boolean isBroken(boolean trouble) throws Exception {
        String text = "w=2000 cpu=50 mem=64 ";
        String specification = trouble ? text + "p".repeat(SPECIFICATION_BYTES - text.length()) : text + "p";
        deployment.submit(
                ID, submission(specification, "{\"count\":3600,\"cpu\":50,\"mem_mb\":64,\"estimated_ms\":2000}"));
        String state = "";
        for (long untilMs = System.currentTimeMillis() + WATCH_MS; System.currentTimeMillis() < untilMs; ) {
            Thread.sleep(3_000);
            state = deployment.state(ID);
            record.line("GET " + ID + ": " + state + "; starts " + deployment.starts());
        }
        long often = List.of("entry-0", "entry-1", "entry-2").stream()
                .filter(entry -> deployment.ends(entry) >= ENDS).count();
        record.line("processes of entries that ended by themselves three times or more: " + often
                + "; all ends of entries: " + deployment.entryEnds() + "; the submission is " + state);
        return often >= 2;
    }

    public static void main(String[] args) throws Exception {
        run(new Case11(), args[0]);
    }
}
