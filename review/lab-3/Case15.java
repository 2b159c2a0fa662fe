/**
 * The leader is killed while the runs of 900 tasks end on one worker, and a partition of the store goes silent for
 * 5.4 s when the next leader has begun its term.
 */
final class Case15 extends Scenario {
    private static final int DOWN_MS = 5_400;
    private static final int TASKS = 450;
    private static final int SHORT_MS = 2_500;
    private static final int APART_MS = 1_500;
    private static final int WATCH_S = 18;

    private static String submission(int workMs) {
        return submission("w=" + workMs + " cpu=70 mem=100", "{\"count\":" + TASKS
                + ",\"cpu\":70,\"mem_mb\":100,\"estimated_ms\":" + workMs + ",\"data_rack\":\"r1-0\"}");
    }

    @Override
    boolean isBroken(boolean trouble) throws Exception {
        Worker first = deployment.workers.get(0);
        for (int i = 0; i < 3; i++) {
            deployment.submit("00000000000000a" + i, submission(300));
            Thread.sleep(4_000);
        }
        int leader = deployment.findLeader();
        int before = first.starts();
        deployment.submit("00000000000000b0", submission(SHORT_MS + APART_MS));
        awaitStart(first, before);
        Thread.sleep(APART_MS);
        before = first.starts();
        deployment.submit("00000000000000b1", submission(SHORT_MS));
        for (int i = 1; i < 3; i++) {
            deployment.submit("00000000000000d" + i, submission("w=" + SHORT_MS + " cpu=500 mem=100",
                    "{\"count\":60,\"cpu\":500,\"mem_mb\":100,\"estimated_ms\":" + SHORT_MS + ",\"data_rack\":\"r1-" + i
                            + "\"}"));
        }
        awaitStart(first, before);
        Thread.sleep(SHORT_MS - 250);
        record.line("leader entry-" + leader + ", runs on the first worker: " + first.runningTasks());
        if (trouble) {
            deployment.store().silentAfterEpoch(DOWN_MS);
            deployment.kill("entry-" + leader);
        }
        for (int i = 0; i < WATCH_S; i++) {
            Thread.sleep(1_000);
            record.line("starts " + deployment.starts() + ", states " + deployment.state("00000000000000b0") + " and "
                    + deployment.state("00000000000000b1"));
        }
        long broken = deployment.runs.countBroken();
        record.line("tasks that were started after a run had ended done, which was taken note of: " + broken);
        return broken > 0;
    }

    private static void awaitStart(Worker worker, int before) throws InterruptedException {
        for (int i = 0; i < 1_000 && worker.starts() == before; i++) {
            Thread.sleep(5);
        }
    }

    public static void main(String[] args) throws Exception {
        run(new Case15(), args[0]);
    }
}
