package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which best-effort tasks of a worker give way to a serving task that is near its target latency. Those whose
 * jobs have the largest part of their work ahead are throttled first: partial work has no value until the whole job is
 * done, so a delay costs least there. If that was not enough, the prediction may have missed the task that interferes,
 * so all are throttled alike then. Stateless.
 */
final class ThrottlePlan {
    /** Below this CPU share a task is paused instead: it then gains more by being moved to another worker. */
    static final int MIN_PERCENT = 30;

    private ThrottlePlan() {}

    /**
     * A best-effort task that contributes to the pressure on a serving task.
     *
     * @param remainingPermille remaining part of the work of the task's job, in thousandths
     * @param pressure predicted pressure at the task's present CPU share
     */
    record Contributor(JobTask task, int remainingPermille, double pressure) {}

    /**
     * New CPU share of a task.
     *
     * @param percent CPU share in percent; 0 pauses the task
     */
    record Share(JobTask task, int percent) {}

    /** Returns the CPU shares by which the pressure falls by an excess if all contributors are throttled alike. */
    static List<Share> reduceEvenly(List<Contributor> contributors, double excess) {
        double total = contributors.stream().mapToDouble(Contributor::pressure).sum();
        double scale = total <= excess ? 0 : 1 - excess / total;
        List<Share> changed = new ArrayList<>();
        for (Contributor each : contributors) {
            int percent = (int) (each.task().cpuSharePercent() * scale);
            changed.add(new Share(each.task(), percent < MIN_PERCENT ? 0 : percent));
        }
        return changed;
    }

    /**
     * Returns the CPU shares by which the pressure falls by an excess, as far as that is possible.
     *
     * @param excess pressure to take away
     * @return the tasks whose share changes
     */
    static List<Share> reduce(List<Contributor> contributors, double excess) {
        List<Contributor> cheapestFirst = new ArrayList<>(contributors);
        cheapestFirst.sort(
                Comparator.comparingInt(Contributor::remainingPermille).reversed());
        List<Share> changed = new ArrayList<>();
        double left = excess;
        for (Contributor each : cheapestFirst) {
            int present = each.task().cpuSharePercent();
            if (left <= 0 || present == 0) {
                continue;
            }
            int wanted = (int) (present * Math.max(0, 1 - left / each.pressure()));
            int percent = wanted < MIN_PERCENT ? 0 : wanted;
            left -= each.pressure() * (present - percent) / present;
            if (percent != present) {
                changed.add(new Share(each.task(), percent));
            }
        }
        return changed;
    }
}
