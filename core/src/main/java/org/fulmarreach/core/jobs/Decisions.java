package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Collects what one leader has decided and not yet handed out. Not thread-safe. */
final class Decisions {
    private final Set<Job> changed = new LinkedHashSet<>();
    private final Set<String> forgotten = new LinkedHashSet<>();
    private final Map<WorkerRef, Long> endsToAcknowledge = new LinkedHashMap<>();
    private List<JobOrder> afterCommit = new ArrayList<>();
    private List<JobOrder> immediate = new ArrayList<>();

    void change(Job job) {
        changed.add(job);
    }

    void forget(String jobId) {
        forgotten.add(jobId);
    }

    void start(JobTask task) {
        TaskState state = task.state();
        afterCommit.add(new JobOrder.Start(
                state.worker(), task.name(), state.run(), task.job().spec().payload(), state.checkpoint()));
    }

    void acknowledge(WorkerRef worker, long number) {
        endsToAcknowledge.merge(worker, number, Math::max);
    }

    void now(JobOrder order) {
        immediate.add(order);
    }

    List<JobOrder> takeImmediate() {
        List<JobOrder> taken = immediate;
        immediate = new ArrayList<>();
        return taken;
    }

    JobBatch takeBatch() {
        Map<String, JobSnapshot> progress = new LinkedHashMap<>();
        for (Job job : changed) {
            if (job.takeChanged()) {
                progress.put(job.spec().id(), job.snapshot());
            }
        }
        changed.clear();
        List<JobOrder> orders = afterCommit;
        afterCommit = new ArrayList<>();
        endsToAcknowledge.forEach((worker, number) -> orders.add(new JobOrder.Acknowledge(worker, number)));
        endsToAcknowledge.clear();
        Set<String> removed = new LinkedHashSet<>(forgotten);
        forgotten.clear();
        return new JobBatch(progress, removed, orders);
    }
}
