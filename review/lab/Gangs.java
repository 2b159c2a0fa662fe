package review.lab;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The gangs on all workers. The members of one run work from the moment when all are present, which they are only with
 * one and the same checkpoint: PROTOCOL.md says that all must carry the same value. Thread-safe.
 */
final class Gangs {
    private final Map<String, Gang> gangs = new HashMap<>();

    /** The members of one run of a gang. */
    static final class Gang {
        private final int size;
        private final Set<Worker.Run> members = new LinkedHashSet<>();
        private long completeAtMs = -1;
        private boolean broken;

        private Gang(int size) {
            this.size = size;
        }

        private synchronized void add(Worker.Run run) {
            members.add(run);
            boolean same = members.stream().map(member -> member.checkpoint).distinct().count() == 1;
            if (members.size() == size && same) {
                completeAtMs = run.startMs;
            }
        }

        /** Returns when the last member came, or -1 before. */
        synchronized long completeAtMs() {
            return completeAtMs;
        }

        /** Tells whether a member of the complete gang has ended before the work was done. */
        synchronized boolean isBroken() {
            return broken;
        }

        synchronized void onEnd(Worker.Run run) {
            if (completeAtMs < 0) {
                members.remove(run);
            } else if (!run.how.equals("done")) {
                broken = true;
            }
        }
    }

    synchronized Gang join(Worker.Run run, int size) {
        String step = run.task.substring(0, run.task.lastIndexOf('.'));
        Gang gang = gangs.computeIfAbsent(step + "#" + run.run, unused -> new Gang(size));
        gang.add(run);
        return gang;
    }
}
