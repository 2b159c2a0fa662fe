package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.fulmarreach.core.rules.BatchRule;
import org.fulmarreach.core.rules.BatchRun;
import org.fulmarreach.core.rules.Rule;
import org.fulmarreach.core.rules.StandingRule;

/** Builds the descriptions of runs that operators see. Stateless. */
final class RunViews {
    private RunViews() {}

    static List<RunView> list(
            ShardState state, Scheduler scheduler, Map<RunKey, String> waiting, boolean leading, long wallMs) {
        List<RunView> views = new ArrayList<>();
        for (WorkEntry entry : state.entries()) {
            Rule rule = scheduler.findRule(entry.task().work());
            views.add(new RunView(
                    entry.key(),
                    rule == null ? "" : rule.member().name(),
                    entry.phase(),
                    entry.live() ? entry.vm() : "",
                    entry.task().epoch(),
                    findDeadlineMs(rule, entry.key()),
                    explain(entry, rule, waiting, leading)));
        }
        for (Rule rule : scheduler.rules()) {
            addNew(views, rule, state, scheduler, waiting, leading, wallMs);
        }
        return views;
    }

    private static void addNew(
            List<RunView> views,
            Rule rule,
            ShardState state,
            Scheduler scheduler,
            Map<RunKey, String> waiting,
            boolean leading,
            long wallMs) {
        if (rule instanceof StandingRule standing) {
            RunKey key = new RunKey(standing.name(), RunKey.STANDING);
            if (state.find(key) == null) {
                views.add(construct(key, rule, waiting.getOrDefault(key, explainNew(leading))));
            }
        } else if (rule instanceof BatchRule batch) {
            for (BatchRun run : scheduler.findDueRuns(batch, state, wallMs)) {
                RunKey key = new RunKey(batch.name(), run.run());
                views.add(construct(key, rule, waiting.getOrDefault(key, explainNew(leading))));
            }
            for (BatchRun run : batch.findRuns(wallMs + 1, wallMs + 1 + batch.everyMs())) {
                RunKey key = new RunKey(batch.name(), run.run());
                if (state.find(key) == null) {
                    String unplaceable = scheduler.findUnplaceableReason(batch.name());
                    String start = "starts in " + (run.startMs() - wallMs) / 1000 + " s";
                    views.add(construct(key, rule, unplaceable == null ? start : start + ", but " + unplaceable));
                }
            }
        }
    }

    private static RunView construct(RunKey key, Rule rule, String reason) {
        return new RunView(key, rule.member().name(), WorkPhase.PENDING, "", 0, findDeadlineMs(rule, key), reason);
    }

    private static String explainNew(boolean leading) {
        return leading ? "will be placed" : "waits for the shard's leader to place it";
    }

    private static String explain(WorkEntry entry, Rule rule, Map<RunKey, String> waiting, boolean leading) {
        return switch (entry.phase()) {
            case PENDING ->
                rule == null ? "its rule was removed" : waiting.getOrDefault(entry.key(), explainNew(leading));
            case ASSIGNED -> rule == null ? "its rule was removed; it is being stopped" : "runs on " + entry.vm();
            case EVICTING -> "is being evicted because it slows the service on " + entry.vm();
            case DONE -> "finished";
            case CANCELLED -> entry.live() ? "cancelled; it is being stopped" : "cancelled";
            case QUARANTINED -> "failed on " + String.join(", ", entry.failedVms()) + " and will not be started again";
        };
    }

    private static long findDeadlineMs(Rule rule, RunKey key) {
        return rule instanceof BatchRule batch && !key.standing() ? Scheduler.findDeadlineMs(batch, key.run()) : 0;
    }
}
