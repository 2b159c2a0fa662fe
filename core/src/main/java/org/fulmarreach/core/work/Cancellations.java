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
 * Requests to cancel work at this entry. Any entry appends them, since a cancellation gives no authority over a
 * placement: the leader still has to end it. Not thread-safe; owned by its {@link ShardLeader}.
 */
final class Cancellations {
    /** Stands for the text of a standing rule that is gone; no rule has this text. */
    private static final String NO_RULE = "removed";

    private final ShardId shard;
    private final ShardState fold;
    private final Scheduler scheduler;
    private final Consumer<Action> out;
    private final Map<Long, String> open = new LinkedHashMap<>();
    private final Set<Long> sent = new HashSet<>();
    private long batches;

    Cancellations(ShardId shard, ShardState fold, Scheduler scheduler, Consumer<Action> out) {
        this.shard = shard;
        this.fold = fold;
        this.scheduler = scheduler;
        this.out = out;
    }

    void add(long requestId, String work) {
        open.put(requestId, work);
    }

    void withdraw(long requestId) {
        open.remove(requestId);
        sent.remove(requestId);
    }

    /** Appends the requests that have not been sent yet. */
    void send(long wallMs) {
        for (Map.Entry<Long, String> request : List.copyOf(open.entrySet())) {
            if (sent.contains(request.getKey())) {
                continue;
            }
            List<WorkDecision> found = findRuns(request.getValue(), wallMs);
            if (found.isEmpty()) {
                withdraw(request.getKey());
                answer(
                        request.getKey(),
                        Result.err(ErrorCode.NOT_FOUND, "No unfinished run of " + request.getValue() + " is known."));
                continue;
            }
            batches++;
            sent.add(request.getKey());
            String batchId = shard.leaderId() + "/cancel-" + batches;
            out.accept(new Action.Append(new WorkBatch(batchId, ShardState.NO_OFFSET, found)));
        }
    }

    /** Takes a cancellation that is in the log. */
    void resolve(String work) {
        for (Map.Entry<Long, String> request : List.copyOf(open.entrySet())) {
            if (request.getValue().equals(work)) {
                withdraw(request.getKey());
                answer(request.getKey(), Result.ok(work));
            }
        }
    }

    /** Finds the cancelled standing work whose rule has another text now. */
    List<WorkDecision> findLifted() {
        List<WorkDecision> lifted = new ArrayList<>();
        for (WorkEntry entry : fold.entries()) {
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
        for (WorkEntry entry : fold.entries()) {
            if (entry.task().work().equals(work) && !entry.phase().ended()) {
                found.add(new WorkDecision.Cancelled(
                        work, entry.task().run(), entry.key().standing() ? text : null));
            }
        }
        if (rule instanceof StandingRule && fold.find(new RunKey(work, RunKey.STANDING)) == null) {
            found.add(new WorkDecision.Cancelled(work, RunKey.STANDING, text));
        }
        if (rule instanceof BatchRule batch) {
            for (BatchRun run : scheduler.findDueRuns(batch, fold, wallMs)) {
                found.add(new WorkDecision.Cancelled(work, run.run(), null));
            }
        }
        return found;
    }

    private void answer(long requestId, Result<String> result) {
        out.accept(new Action.CancelAnswer(requestId, result));
    }
}
