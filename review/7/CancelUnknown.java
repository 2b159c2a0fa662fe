import java.net.http.HttpRequest;
import java.util.List;

/**
 * An entry freezes while it has a submission. The consumer gives up, cancels the submission at another entry, and the
 * entry wakes again.
 */
final class CancelUnknown {
    private static final int FREEZE_MS = 4_000;
    private static final int GIVE_UP_MS = 800;
    private static final int WATCH_MS = 12_000;

    private CancelUnknown() {}

    public static void main(String[] args) {
        Site.run(args, 3, 3, CancelUnknown::isBroken);
    }

    private static boolean isBroken(Site site, boolean trouble) throws Exception {
        int leader = site.findLeader();
        int frozen = (leader + 1) % 3;
        int other = (leader + 2) % 3;
        // The channel is open before the freeze, as those of consumers are.
        site.record.write("state of an unknown job at entry " + frozen + ": " + site.state(frozen, Site.newId()));
        if (trouble) {
            site.signal("entry-" + frozen, "STOP");
        }
        long frozenAtMs = System.currentTimeMillis();
        String id = Site.newId();
        var job = Site.job("cpu=1000");
        Site.addStep(job, 3, 1_000, 1_000).put("long_running", true);
        site.record.write("consumer sends POST " + id + " to entry " + frozen);
        var answer = site.sendAsync(
                site.jobRequest(frozen, id).POST(HttpRequest.BodyPublishers.ofString(job.toString())));
        Site.pause(GIVE_UP_MS);
        site.record.write("the consumer gives up; answer so far: " + (answer.isDone() ? answer.get() : "none"));
        answer.cancel(true);
        int cancelled = site.cancel(other, id).status();
        long cancelledAtMs = System.currentTimeMillis();
        if (cancelled != 200 && cancelled != 410) {
            throw new IllegalStateException("the cancellation was not acknowledged");
        }
        Site.pause(FREEZE_MS - (System.currentTimeMillis() - frozenAtMs));
        if (trouble) {
            site.signal("entry-" + frozen, "CONT");
        }
        Site.pause(WATCH_MS);
        List<String> runs = site.runsOf(id);
        long sinceMs = System.currentTimeMillis() - cancelledAtMs;
        site.record.write("state of " + id + " at entry " + other + ": " + site.state(other, id));
        site.record.write(sinceMs + " ms after the cancellation was acknowledged, at work: " + runs);
        return !runs.isEmpty();
    }
}
