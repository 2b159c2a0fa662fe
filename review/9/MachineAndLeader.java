import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A machine with a worker and its guard is lost for good at the moment at which the leading entry is killed. */
final class MachineAndLeader {
    private static final int ENTRIES = 3;
    private static final int TASKS = 8;
    private static final int AT_WORK_MS = 6_000;
    private static final int RESTART_MS = 1_000;
    private static final int WATCH_MS = 22_000;
    private static final int AFTER_LAST_RUN_MS = 6_000;
    private static final int CALM_MS = 4_000;
    private static final int IDLE_MS = 3_000;

    private MachineAndLeader() {}

    public static void main(String[] args) {
        Site.run(args, ENTRIES, 4, MachineAndLeader::isBroken);
    }

    private static boolean isBroken(Site site, boolean trouble) throws Exception {
        String id = Site.newId();
        ObjectNode job = Site.job("cpu=1000");
        Site.addStep(job, TASKS, 1_000, 1_000).put("long_running", true);
        if (site.submit(0, id, job).status() != 200) {
            throw new IllegalStateException("the job was not accepted");
        }
        Site.pause(AT_WORK_MS);
        site.record.write("at work: " + site.runsOf(id));
        int machine = 0;
        while (site.workers.get(machine).runsOf(id).isEmpty()) {
            machine++;
        }
        if (site.runsOf(id).size() != TASKS) {
            throw new IllegalStateException("not all tasks are at work");
        }
        long calmSinceMs = System.currentTimeMillis();
        if (trouble) {
            int leader = site.findLeader();
            site.signal("guard-" + machine, "KILL");
            site.workers.get(machine).crash();
            site.signal("entry-" + leader, "KILL");
            Site.pause(RESTART_MS);
            calmSinceMs = System.currentTimeMillis();
            site.startEntry(leader);
            site.record.write("entry-" + leader + " is started again; nothing is disrupted from now on");
        }
        Site.pause(WATCH_MS);
        site.record.write("at work: " + site.runsOf(id) + "; milli cores in use: " + site.usedMilliCores() + " of "
                + site.capacityMilliCores());
        return hasGap(site, calmSinceMs);
    }

    /** LOST: a task that lasts has nothing running for 3 s, from 6 s after its last run, and 4 s before are calm. */
    private static boolean hasGap(Site site, long calmSinceMs) {
        List<RunRecord.Span> lost = new ArrayList<>(site.record.spans());
        lost.removeIf(span -> !span.isLost());
        boolean broken = false;
        for (RunRecord.Span span : lost) {
            long nextMs = site.record.spans().stream()
                    .filter(next -> next.task.equals(span.task) && next.run > span.run)
                    .mapToLong(next -> next.beginMs)
                    .min()
                    .orElse(System.currentTimeMillis());
            long fromMs = Math.max(span.endMs() + AFTER_LAST_RUN_MS, calmSinceMs + CALM_MS);
            boolean gap = nextMs - fromMs >= IDLE_MS;
            broken |= gap;
            site.record.write((gap ? "LOST: " : "held: ") + span.task + " has nothing running for "
                    + (nextMs - span.endMs()) + " ms");
        }
        return broken;
    }
}
