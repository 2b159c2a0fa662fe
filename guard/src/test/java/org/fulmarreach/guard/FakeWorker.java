package org.fulmarreach.guard;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import org.fulmarreach.core.exc.WorkerException;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.WorkerClient;
import org.fulmarreach.platform.WorkerStart;
import org.fulmarreach.platform.WorkerTask;

/** A worker agent without leases that answers at once; starts, stops and lists can be made to fail. */
final class FakeWorker implements WorkerClient {
    final Map<String, WorkerTask.State> tasks = new ConcurrentHashMap<>();
    final Map<String, Double> shares = new ConcurrentHashMap<>();
    final Map<String, Integer> renewals = new ConcurrentHashMap<>();
    volatile boolean failsStarts;
    volatile boolean losesStartAnswers;
    volatile boolean isSilent;

    @Override
    public CompletionStage<WorkerStart> start(
            String taskId, int leaseMs, Resources size, String task, String checkpoint) {
        if (failsStarts) {
            return CompletableFuture.completedStage(new WorkerStart.Failed("no image"));
        }
        tasks.put(taskId, WorkerTask.State.RUNNING);
        return losesStartAnswers ? silent() : CompletableFuture.completedStage(new WorkerStart.Started());
    }

    @Override
    public CompletionStage<Boolean> renew(String taskId, int leaseMs) {
        renewals.merge(taskId, 1, Integer::sum);
        return CompletableFuture.completedStage(tasks.get(taskId) == WorkerTask.State.RUNNING);
    }

    @Override
    public CompletionStage<Boolean> throttle(String taskId, double share) {
        shares.put(taskId, share);
        return CompletableFuture.completedStage(true);
    }

    @Override
    public CompletionStage<String> checkpoint(String taskId) {
        return CompletableFuture.completedStage("checkpoint-of-" + taskId);
    }

    @Override
    public CompletionStage<Void> stop(String taskId) {
        if (isSilent) {
            return silent();
        }
        tasks.replace(taskId, WorkerTask.State.STOPPED);
        return CompletableFuture.completedStage(null);
    }

    @Override
    public CompletionStage<List<WorkerTask>> list() {
        if (isSilent) {
            return silent();
        }
        List<WorkerTask> listed = new ArrayList<>();
        tasks.forEach((id, state) -> listed.add(new WorkerTask(id, state, 2_000, 1_000, 0, "")));
        return CompletableFuture.completedStage(listed);
    }

    @Override
    public CompletionStage<Resources> capacity() {
        return CompletableFuture.completedStage(new Resources(16_000, 60_000, 0));
    }

    private static <T> CompletionStage<T> silent() {
        return CompletableFuture.failedStage(new WorkerException("no answer"));
    }
}
