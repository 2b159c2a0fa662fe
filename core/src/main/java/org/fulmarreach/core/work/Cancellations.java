package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.rules.BatchRule;
import org.fulmarreach.core.rules.BatchRun;
import org.fulmarreach.core.rules.Rule;
import org.fulmarreach.core.rules.StandingRule;

/**
 * Cancellation requests that this entry received and that are not confirmed in the log yet. Any entry may append
 * cancellations, because a cancellation does not end a placement: the leader still has to end it. Not thread-safe;
 * owned by its {@link ShardLeader}.
 */
final class Cancellations {
    /** Placeholder for the text of a standing rule that was removed; no rule has this text. */
    private static final String NO_RULE = "removed";

    private final ShardId shard;
    private final ShardState state;
    private final Scheduler scheduler;
    private final Consumer<Action> actions;
    private final Map<Long, String> pending = new LinkedHashMap<>();
    private final Set<Long> sent = new HashSet<>();
    private long batches;

    Cancellations(ShardId shard, ShardState state, Scheduler scheduler, Consumer<Action> actions) {
        this.shard = shard;
        this.state = state;
        this.scheduler = scheduler;
        this.actions = actions;
    }

    void add(long requestId, String work) {
        pending.put(requestId, work);
    }

    void withdraw(long requestId) {
        pending.remove(requestId);
        sent.remove(requestId);
    }

    /**
     * Appends the requests that have not been sent yet; a request without unfinished runs is answered with an error.
     */
    void send(long wallMs) {
        for (Map.Entry<Long, String> request : List.copyOf(pending.entrySet())) {
            if (sent.contains(request.getKey())) {
                continue;
            }
            List<WorkDecision> found = findRuns(request.getValue(), wallMs);
            if (found.isEmpty()) {
                withdraw(request.getKey());
                answer(
                        request.getKey(),
                        Result.err(ErrorCode.NOT_FOUND, "No unfinished run of " + request.getValue() + " exists."));
                continue;
            }
            batches++;
            sent.add(request.getKey());
            String batchId = shard.leaderId() + "/cancel-" + batches;
            actions.accept(new Action.Append(new WorkBatch(batchId, ShardState.NO_OFFSET, found)));
        }
    }

    /** Answers the pending requests for work whose cancellation was read from the log. */
    void confirm(String work) {
        for (Map.Entry<Long, String> request : List.copyOf(pending.entrySet())) {
            if (request.getValue().equals(work)) {
                withdraw(request.getKey());
                answer(request.getKey(), Result.ok(work));
            }
        }
    }

    /** Returns decisions that lift the cancellation of standing work whose rule text has changed since. */
    List<WorkDecision> findLifted() {
        List<WorkDecision> lifted = new ArrayList<>();
        for (WorkEntry entry : state.entries()) {
            boolean ended = entry.phase() == WorkPhase.CANCELLED && !entry.live() && entry.cancelledRule() != null;
            if (ended
                    && scheduler.findRule(entry.task().work()) instanceof StandingRule rule
                    && !rule.text().equals(entry.cancelledRule())) {
                lifted.add(new WorkDecision.Cancelled(rule.name(), RunKey.STANDING, ""));
            }
        }
        return lifted;
    }

    private List<WorkDecision> findRuns(String work, long wallMs) {
        List<WorkDecision> found = new ArrayList<>();
        Rule rule = scheduler.findRule(work);
        String text = rule == null ? NO_RULE : rule.text();
        for (WorkEntry entry : state.entries()) {
            if (entry.task().work().equals(work) && !entry.phase().ended()) {
                found.add(new WorkDecision.Cancelled(
                        work, entry.task().run(), entry.key().standing() ? text : null));
            }
        }
        if (rule instanceof StandingRule && state.find(new RunKey(work, RunKey.STANDING)) == null) {
            found.add(new WorkDecision.Cancelled(work, RunKey.STANDING, text));
        }
        if (rule instanceof BatchRule batch) {
            for (BatchRun run : scheduler.findDueRuns(batch, state, wallMs)) {
                found.add(new WorkDecision.Cancelled(work, run.run(), null));
            }
        }
        return found;
    }

    private void answer(long requestId, Result<String> result) {
        actions.accept(new Action.CancelAnswer(requestId, result));
    }
}
