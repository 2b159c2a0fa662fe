package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Buffers a leader's decisions until they are written to the log or sent to guards. Not thread-safe. */
final class DecisionBuffer {
    private final Set<Job> changed = new LinkedHashSet<>();
    private final List<StoredProgress> removed = new ArrayList<>();
    private final Map<WorkerRef, Long> endsToAcknowledge = new LinkedHashMap<>();
    private List<JobOrder> afterCommit = new ArrayList<>();
    private List<JobOrder> immediate = new ArrayList<>();

    void markChanged(Job job) {
        changed.add(job);
    }

    void remove(StoredProgress job) {
        removed.add(job);
    }

    void addStart(JobTask task) {
        TaskState state = task.state();
        afterCommit.add(new JobOrder.Start(
                state.worker(), task.name(), state.run(), task.job().spec().payload(), state.checkpoint()));
    }

    void acknowledgeEnds(WorkerRef worker, long number) {
        endsToAcknowledge.merge(worker, number, Math::max);
    }

    void addImmediate(JobOrder order) {
        immediate.add(order);
    }

    List<JobOrder> takeImmediate() {
        List<JobOrder> taken = immediate;
        immediate = new ArrayList<>();
        return taken;
    }

    /**
     * Returns the buffered decisions and clears them.
     *
     * @param forgotten ids of jobs whose records are being removed; their progress must not be written again
     */
    JobBatch takeBatch(Set<String> forgotten) {
        Map<String, JobChange> progress = new LinkedHashMap<>();
        for (Job job : changed) {
            JobChange change = job.takeChange();
            if (change != null && !forgotten.contains(job.spec().id())) {
                progress.put(job.spec().id(), change);
            }
        }
        changed.clear();
        List<JobOrder> orders = afterCommit;
        afterCommit = new ArrayList<>();
        endsToAcknowledge.forEach((worker, number) -> orders.add(new JobOrder.Acknowledge(worker, number)));
        endsToAcknowledge.clear();
        JobBatch batch = new JobBatch(progress, removed, orders);
        removed.clear();
        return batch;
    }
}
