import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Some starts at a worker get no answer and are carried out seconds later. The worker crashes in between and starts
 * again under its id. The data of the tasks is on the rack of another worker, which has room for them by then.
 */
final class LateStart {
    private static final int DATA_WORKER = 2;
    private static final int MAX_FILL_ATTEMPTS = 4;
    private static final int TASKS = 4;
    private static final int LATE_MS = 9_000;
    private static final int AT_WORK_MS = 2_500;
    private static final int DOWN_MS = 3_000;
    private static final int WATCH_MS = 9_000;

    private LateStart() {}

    public static void main(String[] args) {
        Site.run(args, 2, 3, LateStart::isBroken);
    }

    private static boolean isBroken(Site site, boolean trouble) {
        List<WorkerStandIn> others = site.workers.subList(0, DATA_WORKER);
        String rack = "r1-" + site.workers.get(DATA_WORKER).id;
        String first = fillDataWorker(site, rack);
        Set<String> unanswered = ConcurrentHashMap.newKeySet();
        if (trouble) {
            // Half of the starts of these tasks: the second attempt of each is answered.
            others.forEach(
                    worker -> worker.startFault = (task, run) -> run == 1 && unanswered.add(task) ? LATE_MS : -1);
        }
        String id = submit(site, rack, TASKS, 10_000);
        Site.pause(AT_WORK_MS);
        others.forEach(worker -> worker.startFault = (task, run) -> -1);
        site.record.write("at work: " + site.runsOf(id));
        WorkerStandIn crashing = others.stream()
                .filter(worker -> !worker.runsOf(id).isEmpty())
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("no task is at work"));
        if (site.runsOf(id).size() != TASKS) {
            throw new IllegalStateException("not all tasks are at work");
        }
        site.cancel(0, first);
        if (trouble) {
            crashing.crash();
            Site.pause(DOWN_MS);
            crashing.start();
        }
        Site.pause(WATCH_MS);
        site.record.write("at work: " + site.runsOf(id));
        List<String> overlaps = site.record.findOverlaps();
        overlaps.forEach(overlap -> site.record.write("TWICE: " + overlap));
        return !overlaps.isEmpty();
    }

    /** Leaves no room for the tasks on the worker that has their data; it may become known last. */
    private static String fillDataWorker(Site site, String rack) {
        for (int i = 0; i < MAX_FILL_ATTEMPTS; i++) {
            String id = submit(site, rack, 2, 30_000);
            Site.pause(1_500);
            if (site.workers.get(DATA_WORKER).runsOf(id).size() == 2) {
                return id;
            }
            site.cancel(0, id);
            Site.pause(1_500);
        }
        throw new IllegalStateException("the worker with the data could not be filled");
    }

    private static String submit(Site site, String rack, int tasks, int milliCores) {
        String id = Site.newId();
        ObjectNode job = Site.job("cpu=" + milliCores);
        Site.addStep(job, tasks, milliCores, 1_000).put("long_running", true).put("data_rack", rack);
        if (site.submit(0, id, job).status() != 200) {
            throw new IllegalStateException("the job was not accepted");
        }
        return id;
    }
}
