package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import review.lab.Json;
import review.lab.Lab;
import review.lab.Worker;

/** A worker crashes and starts again under the id that it had; submissions arrive soon after. */
public final class SameIdCase {
    private static final int SUBMISSIONS = 14;
    private static final int INTERVAL_MS = 20;
    private static final int DOWN_MS = 100;
    private static final int FIRST_HEARTBEAT_MS = 550;

    /** Overlaps that are shorter are not judged, since the times are read on different threads. */
    private static final int TOLERANCE_MS = 100;

    public static void main(String[] args) throws Exception {
        Lab.run("review/1", 3, 7, SameIdCase::judge);
    }

    private static String judge(Lab lab, boolean trouble) throws Exception {
        if (trouble) {
            Worker worker = lab.workers.get(0);
            String id = worker.id();
            worker.crash();
            Thread.sleep(DOWN_MS);
            worker.start(id, FIRST_HEARTBEAT_MS);
        }
        Map<String, Object> submission = Json.of(
                "specification", "work_ms=4000",
                "steps", List.of(Json.of("count", 1, "cpu", 500, "mem_mb", 256, "estimated_ms", 4_000)));
        List<Thread> consumers = new ArrayList<>();
        for (int i = 0; i < SUBMISSIONS; i++) {
            String id = String.format("d%015x", i);
            consumers.add(Thread.ofVirtual().start(() -> lab.call("POST", "/one/" + id, submission)));
            Thread.sleep(INTERVAL_MS);
        }
        for (Thread consumer : consumers) {
            consumer.join();
        }
        lab.await(20_000, () -> List.copyOf(lab.history).stream()
                        .filter(run -> run.how.equals("done"))
                        .count()
                >= SUBMISSIONS);
        List<String> twice = new ArrayList<>();
        List<Worker.Run> runs = List.copyOf(lab.history);
        for (Worker.Run one : runs) {
            for (Worker.Run other : runs) {
                boolean later = other.task.equals(one.task) && other.run > one.run;
                long endMs = one.endMs < 0 ? lab.record.nowMs() : one.endMs;
                if (later && other.startMs + TOLERANCE_MS < endMs) {
                    twice.add(one.task);
                    lab.record.line("case: " + one + " worked from " + one.startMs + " to " + endMs + " ms (" + one.how
                            + "), " + other + " started at " + other.startMs + " ms");
                }
            }
        }
        return twice.isEmpty() ? null : "TWICE: two runs at the same time, on workers that are up, of " + twice;
    }
}
