package org.fulmarreach.protocol.io;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.core.jobs.EntryLifetime;
import org.fulmarreach.core.jobs.JobSnapshot;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.jobs.JobStep;
import org.fulmarreach.core.jobs.LearnedInterference;
import org.fulmarreach.core.jobs.QueuePolicy;
import org.fulmarreach.core.jobs.TaskPhase;
import org.fulmarreach.core.jobs.TaskState;
import org.fulmarreach.core.jobs.TaskStates;
import org.fulmarreach.core.jobs.WithheldLeases;
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.TimeBounds;
import org.fulmarreach.protocol.thrift.EntryStarted;
import org.fulmarreach.protocol.thrift.FormerLeader;
import org.fulmarreach.protocol.thrift.ImageFactor;
import org.fulmarreach.protocol.thrift.JobCancelled;
import org.fulmarreach.protocol.thrift.JobLeader;
import org.fulmarreach.protocol.thrift.JobProgress;
import org.fulmarreach.protocol.thrift.JobQueuePolicy;
import org.fulmarreach.protocol.thrift.JobRequest;
import org.fulmarreach.protocol.thrift.JobState;
import org.fulmarreach.protocol.thrift.JobSubmitted;
import org.fulmarreach.protocol.thrift.JobTaskState;
import org.fulmarreach.protocol.thrift.JobWorkerRef;
import org.fulmarreach.protocol.thrift.LeaseBound;
import org.fulmarreach.protocol.thrift.ServingInterference;

import static org.fulmarreach.protocol.io.RecordFields.require;
import static org.fulmarreach.protocol.io.RecordFields.requireCount;
import static org.fulmarreach.protocol.io.RecordFields.requireRange;

/**
 * Encodes and decodes the job records in the log. Stateless and thread-safe; malformed bytes throw
 * {@link FrameException}.
 */
public final class JobRecords {
    /**
     * Largest term of a leader that is read. Terms count elections. An election follows on the largest term that was
     * read, so a record of another writer with exactly this term would leave none for it. Hence it is no number that
     * others use as a limit: the largest values of integers and doubles are far above, times in milliseconds far below.
     */
    public static final long MAX_TERM = 3L << 40;

    private static final int NO_WORKER = -1;
    private static final int THOUSANDTHS = 1_000;

    private JobRecords() {}

    /*
     * Requests of callers
     */

    /** Encodes a submitted job; its id is the key of the record. */
    public static byte[] encode(JobSpec job) {
        List<org.fulmarreach.protocol.thrift.JobStep> steps = new ArrayList<>();
        for (JobStep step : job.steps()) {
            steps.add(toThrift(step));
        }
        JobSubmitted submitted = new JobSubmitted(
                job.queue(),
                job.payload(),
                steps,
                job.firstRunMs(),
                job.intervalMs(),
                job.repetitions(),
                job.acceptedAtMs());
        if (job.queuePolicy() != null) {
            submitted.setQueuePolicy(toThrift(job.queuePolicy()));
        }
        return ThriftBytes.encode(JobRequest.submitted(submitted));
    }

    /** Encodes a cancellation. */
    public static byte[] encodeCancellation(long cancelledAtMs) {
        return ThriftBytes.encode(JobRequest.cancelled(new JobCancelled(cancelledAtMs)));
    }

    /** Encodes the start of a process of an entry. */
    public static byte[] encode(EntryLifetime started) {
        return ThriftBytes.encode(
                JobRequest.started(new EntryStarted(started.address(), started.lifetime(), started.runningMs())));
    }

    /**
     * Decodes the start of a process of an entry.
     *
     * @throws FrameException if it is malformed, another record or has impossible values
     */
    public static EntryLifetime decodeEntryLifetime(byte[] bytes) {
        JobRequest request = ThriftBytes.decode(bytes, new JobRequest());
        if (!request.isSetStarted()) {
            throw new FrameException("record of an entry holds " + request.getSetField());
        }
        EntryStarted started = request.getStarted();
        return new EntryLifetime(
                require(started.getAddress(), "address"),
                requireRange(started.getLifetime(), 1, Long.MAX_VALUE, "lifetime"),
                requireRange(started.getRunningMs(), 0, TimeBounds.MAX_UNIX_MS, "runningMs"));
    }

    /** Decodes a submitted job. */
    public static JobSpec decodeJob(String id, byte[] bytes) {
        JobRequest request = ThriftBytes.decode(bytes, new JobRequest());
        if (!request.isSetSubmitted()) {
            throw new FrameException("record of job " + id + " is not a submission");
        }
        JobSubmitted submitted = request.getSubmitted();
        List<JobStep> steps = new ArrayList<>();
        long tasks = 0;
        for (org.fulmarreach.protocol.thrift.JobStep step : require(submitted.getSteps(), "steps")) {
            steps.add(fromThrift(step, steps.size()));
            tasks += step.getTaskCount();
        }
        int repetitions = requireRange(submitted.getRepetitions(), 0, JobSpec.MAX_TASKS, "repetitions");
        requireRange(tasks * Math.max(1, repetitions), 1, JobSpec.MAX_TASKS, "number of tasks");
        return new JobSpec(
                id,
                require(submitted.getQueue(), "queue"),
                require(submitted.getPayload(), "payload"),
                steps,
                requireRange(submitted.getFirstRunMs(), 0, TimeBounds.MAX_UNIX_MS, "firstRunMs"),
                requireRange(submitted.getIntervalMs(), 0, TimeBounds.MAX_DURATION_MS, "intervalMs"),
                repetitions,
                submitted.getAcceptedAtMs(),
                submitted.isSetQueuePolicy() ? fromThrift(submitted.getQueuePolicy()) : null);
    }

    private static JobQueuePolicy toThrift(QueuePolicy policy) {
        return new JobQueuePolicy(
                policy.service(),
                policy.priority(),
                policy.maxAttempts(),
                policy.targetLatencyMs(),
                policy.criticalPathFactor());
    }

    private static QueuePolicy fromThrift(JobQueuePolicy policy) {
        return new QueuePolicy(
                require(policy.getServiceName(), "serviceName"),
                requireCount(policy.getPriority(), "priority"),
                requireRange(policy.getMaxAttempts(), 1, Integer.MAX_VALUE, "maxAttempts"),
                requireRange(policy.getTargetLatencyMs(), 0, TimeBounds.MAX_DURATION_MS, "targetLatencyMs"),
                requireRange(
                        policy.getCriticalPathFactor(), 0, QueuePolicy.MAX_CRITICAL_PATH_FACTOR, "criticalPathFactor"));
    }

    /**
     * Decodes a cancellation.
     *
     * @return when the job was cancelled, in Unix milliseconds
     * @throws FrameException if it is malformed, another record or has an impossible time
     */
    public static long decodeCancellation(byte[] bytes) {
        JobRequest request = ThriftBytes.decode(bytes, new JobRequest());
        if (!request.isSetCancelled()) {
            throw new FrameException("record of a cancellation holds " + request.getSetField());
        }
        return requireRange(request.getCancelled().getCancelledAtMs(), 0, TimeBounds.MAX_UNIX_MS, "cancelledAtMs");
    }

    /*
     * Progress and leadership
     */

    /** Encodes the progress of a job with the states of its tasks. */
    public static byte[] encode(JobSnapshot snapshot) {
        return encode(snapshot.tasks(), snapshot);
    }

    /** Encodes the progress of a job the states of whose tasks are stored apart. */
    public static byte[] encodeDivided(JobSnapshot snapshot) {
        JobProgress progress = new JobProgress(List.of(), List.of(), snapshot.settledAtMs());
        progress.setBegun(snapshot.begun());
        progress.setParts(snapshot.states().countParts());
        return ThriftBytes.encode(JobState.progress(progress));
    }

    /** Encodes the states of a part of the tasks of a job. */
    public static byte[] encodePart(List<TaskState> states) {
        return encode(states, new JobSnapshot(List.of(), 0, false));
    }

    private static byte[] encode(List<TaskState> states, JobSnapshot snapshot) {
        Map<WorkerRef, Integer> workers = new LinkedHashMap<>();
        List<JobTaskState> tasks = new ArrayList<>();
        for (TaskState task : states) {
            int worker = NO_WORKER;
            if (task.worker() != null) {
                worker = workers.computeIfAbsent(task.worker(), ref -> workers.size());
            }
            JobTaskState state = new JobTaskState();
            state.setPhase(task.phase().ordinal());
            state.setRun(task.run());
            state.setWorker(worker);
            state.setFailures(task.failures());
            if (!task.checkpoint().isEmpty()) {
                state.setCheckpoint(task.checkpoint());
            }
            if (task.crashes() > 0) {
                state.setCrashes(task.crashes());
                state.setSoleCrashes(task.soleCrashes());
            }
            if (task.stopConfirmed()) {
                state.setStopConfirmed(true);
            }
            if (task.endForgotten()) {
                state.setEndForgotten(true);
            }
            tasks.add(state);
        }
        List<JobWorkerRef> refs = new ArrayList<>();
        workers.keySet().forEach(ref -> refs.add(toThrift(ref)));
        JobProgress progress = new JobProgress(refs, tasks, snapshot.settledAtMs());
        if (snapshot.begun()) {
            progress.setBegun(true);
        }
        return ThriftBytes.encode(JobState.progress(progress));
    }

    /** Encodes the term, node and address of the leader. */
    public static byte[] encodeLeader(long term, String node, String address) {
        return ThriftBytes.encode(JobState.leader(new JobLeader(term, node, address)));
    }

    /** Encodes the leader's term. */
    public static byte[] encode(JobLeader leader) {
        return ThriftBytes.encode(JobState.leader(leader));
    }

    /** Encodes the guards from which a leader withholds leases. */
    public static byte[] encode(WithheldLeases withheld) {
        List<LeaseBound> guards = new ArrayList<>();
        withheld.remainingMs().forEach((guard, remainingMs) -> guards.add(new LeaseBound(guard, remainingMs)));
        return ThriftBytes.encode(
                JobState.withheld(new org.fulmarreach.protocol.thrift.WithheldLeases(withheld.term(), guards)));
    }

    /**
     * Decodes a record of withheld leases.
     *
     * @throws FrameException if the record is malformed
     */
    public static WithheldLeases decodeWithheld(byte[] bytes) {
        JobState state = decodeState(bytes);
        if (!state.isSetWithheld()) {
            throw new FrameException("record of withheld leases holds " + state.getSetField());
        }
        Map<String, Long> remainingMs = new HashMap<>();
        for (LeaseBound bound : require(state.getWithheld().getGuards(), "guards")) {
            remainingMs.put(
                    require(bound.getGuard(), "guard"),
                    requireRange(bound.getRemainingMs(), 0, TimeBounds.MAX_DURATION_MS, "remainingMs"));
        }
        return new WithheldLeases(requireRange(state.getWithheld().getTerm(), 1, MAX_TERM, "term"), remainingMs);
    }

    /** Encodes what a leader has learned of interference. */
    public static byte[] encode(LearnedInterference learned) {
        List<ServingInterference> serving = new ArrayList<>();
        learned.servingByImage().forEach((image, known) -> {
            List<ImageFactor> factors = new ArrayList<>();
            known.factors()
                    .forEach((bestEffort, factor) -> factors.add(new ImageFactor(
                            bestEffort, toThousandths(factor.mean()), toThousandths(factor.variance()))));
            serving.add(new ServingInterference(
                    image, toThousandths(known.baseMs()), toThousandths(known.load()), factors));
        });
        return ThriftBytes.encode(
                JobState.interference(new org.fulmarreach.protocol.thrift.LearnedInterference(serving)));
    }

    private static int toThousandths(double value) {
        return (int) Math.round(value * THOUSANDTHS);
    }

    /**
     * Decodes what a leader has learned of interference.
     *
     * @throws FrameException if the record is malformed
     */
    public static LearnedInterference decodeInterference(byte[] bytes) {
        JobState state = decodeState(bytes);
        if (!state.isSetInterference()) {
            throw new FrameException("record of learned interference holds " + state.getSetField());
        }
        Map<String, LearnedInterference.Serving> serving = new HashMap<>();
        for (ServingInterference known : require(state.getInterference().getServing(), "serving")) {
            Map<String, LearnedInterference.Factor> factors = new HashMap<>();
            for (ImageFactor factor : require(known.getFactors(), "factors")) {
                factors.put(
                        require(factor.getImage(), "image"),
                        new LearnedInterference.Factor(
                                fromThousandths(factor.getMeanPermille(), LearnedInterference.MAX_MEAN, "meanPermille"),
                                fromThousandths(
                                        factor.getVariancePermille(),
                                        LearnedInterference.MAX_VARIANCE,
                                        "variancePermille")));
            }
            serving.put(
                    require(known.getImage(), "image"),
                    new LearnedInterference.Serving(
                            requireRange(known.getBaseMicros(), 0, TimeBounds.MAX_DURATION_MS, "baseMicros")
                                    / (double) THOUSANDTHS,
                            fromThousandths(known.getLoadPermille(), LearnedInterference.MAX_MEAN, "loadPermille"),
                            factors));
        }
        return new LearnedInterference(serving);
    }

    private static double fromThousandths(int value, double max, String name) {
        return requireRange(value, 0, (int) (max * THOUSANDTHS), name) / (double) THOUSANDTHS;
    }

    /** Decodes a record of the progress partition. */
    public static JobState decodeState(byte[] bytes) {
        return ThriftBytes.decode(bytes, new JobState());
    }

    /**
     * Decodes a record of the leader.
     *
     * @return the leader; its node and address are set, but empty if it has resigned, and its term is from 1 to
     *     {@link #MAX_TERM}
     * @throws FrameException if the record is malformed
     */
    public static JobLeader decodeLeader(byte[] bytes) {
        JobState state = decodeState(bytes);
        if (!state.isSetLeader()) {
            throw new FrameException("record of the leader holds " + state.getSetField());
        }
        JobLeader leader = state.getLeader();
        boolean named = leader.getNode() != null && leader.getAddress() != null;
        if (!named || leader.getTerm() < 1 || leader.getTerm() > MAX_TERM) {
            throw new FrameException("record of the leader lacks a node, an address or a valid term: " + leader);
        }
        if (leader.isSetFormerLeaders()) {
            for (FormerLeader former : leader.getFormerLeaders()) {
                require(former.getAddress(), "address");
                requireRange(former.getTerm(), 0, MAX_TERM, "term");
                requireRange(former.getRemainingMs(), 0, TimeBounds.MAX_UNIX_MS, "remainingMs");
            }
        }
        return leader;
    }

    /**
     * Decodes a record of the progress of a job.
     *
     * @throws FrameException if the record is malformed
     */
    public static JobSnapshot decodeProgress(byte[] bytes) {
        JobState state = decodeState(bytes);
        if (!state.isSetProgress()) {
            throw new FrameException("record of the progress of a job holds " + state.getSetField());
        }
        return fromThrift(state.getProgress());
    }

    /**
     * Decodes a record of the states of a part of the tasks of a job.
     *
     * @throws FrameException if the record is malformed
     */
    public static List<TaskState> decodePart(byte[] bytes) {
        JobState state = decodeState(bytes);
        if (!state.isSetProgress() || state.getProgress().isSetParts()) {
            throw new FrameException("record of a part of the tasks of a job holds " + state.getSetField());
        }
        List<TaskState> tasks = fromThrift(state.getProgress()).tasks();
        requireRange(tasks.size(), 1, TaskStates.PART_TASKS, "number of tasks");
        return tasks;
    }

    /**
     * Converts the progress of a job from Thrift.
     *
     * @return without tasks if their states are stored apart
     * @throws FrameException if fields are missing or have impossible values
     */
    public static JobSnapshot fromThrift(JobProgress progress) {
        List<WorkerRef> workers = new ArrayList<>();
        require(progress.getWorkers(), "workers").forEach(ref -> workers.add(fromThrift(ref)));
        List<TaskState> tasks = new ArrayList<>();
        for (JobTaskState state : require(progress.getTasks(), "tasks")) {
            tasks.add(fromThrift(state, workers));
        }
        // Every job has a task; without any, all of them would count as done.
        boolean divided = progress.isSetParts();
        requireRange(tasks.size(), divided ? 0 : 1, divided ? 0 : JobSpec.MAX_TASKS, "number of tasks");
        long settledAtMs = requireRange(progress.getSettledAtMs(), 0, TimeBounds.MAX_UNIX_MS, "settledAtMs");
        return new JobSnapshot(tasks, settledAtMs, progress.isBegun() || hasBegun(tasks));
    }

    /** Records of the former version do not tell, but a task that has ended or saved its progress has begun. */
    private static boolean hasBegun(List<TaskState> tasks) {
        return tasks.stream()
                .anyMatch(task -> task.phase() == TaskPhase.DONE
                        || task.failures() > 0
                        || !task.checkpoint().isEmpty());
    }

    private static TaskState fromThrift(JobTaskState state, List<WorkerRef> workers) {
        TaskPhase phase = TaskPhase.of(requireRange(state.getPhase(), 0, TaskPhase.values().length - 1, "phase"));
        int worker = requireRange(state.getWorker(), NO_WORKER, workers.size() - 1, "worker");
        if (phase == TaskPhase.ASSIGNED && worker == NO_WORKER) {
            throw new FrameException("a task is assigned to no worker");
        }
        return new TaskState(
                phase,
                requireCount(state.getRun(), "run"),
                worker == NO_WORKER ? null : workers.get(worker),
                requireCount(state.getFailures(), "failures"),
                state.isSetCheckpoint() ? state.getCheckpoint() : "",
                requireCount(state.getCrashes(), "crashes"),
                requireCount(state.getSoleCrashes(), "soleCrashes"),
                state.isStopConfirmed(),
                state.isEndForgotten());
    }

    /** Converts the lifetime of a worker to Thrift. */
    public static JobWorkerRef toThrift(WorkerRef ref) {
        return new JobWorkerRef(ref.guard(), ref.id(), ref.startedAtMs());
    }

    /**
     * Converts the lifetime of a worker from Thrift.
     *
     * @throws FrameException if its guard or id is missing
     */
    public static WorkerRef fromThrift(JobWorkerRef ref) {
        require(ref, "worker");
        return new WorkerRef(require(ref.getGuard(), "guard"), require(ref.getId(), "id"), ref.getBornMs());
    }

    static org.fulmarreach.protocol.thrift.Resources toThrift(Resources resources) {
        return new org.fulmarreach.protocol.thrift.Resources(
                resources.milliCores(), resources.memoryMb(), resources.accelerators());
    }

    static Resources fromThrift(org.fulmarreach.protocol.thrift.Resources resources) {
        require(resources, "resources");
        return new Resources(
                requireRange(resources.getMilliCores(), 0, Resources.MAX_MILLI_CORES, "milliCores"),
                requireRange(resources.getMemoryMb(), 0, Resources.MAX_MEMORY_MB, "memoryMb"),
                requireRange(resources.getAccelerators(), 0, Resources.MAX_ACCELERATORS, "accelerators"));
    }

    private static org.fulmarreach.protocol.thrift.JobStep toThrift(JobStep step) {
        return new org.fulmarreach.protocol.thrift.JobStep(
                step.taskCount(),
                toThrift(step.demand()),
                step.estimatedMs(),
                step.predecessors(),
                step.checkpoints(),
                step.gang(),
                step.rackLocal(),
                step.requiredLabel(),
                step.dataRack(),
                step.maxPerWorker(),
                step.speculative(),
                step.longRunning(),
                step.image(),
                step.targetLatencyMs(),
                step.bestEffort(),
                step.maxUnavailable());
    }

    private static JobStep fromThrift(org.fulmarreach.protocol.thrift.JobStep step, int number) {
        for (int predecessor : require(step.getAfter(), "after")) {
            requireRange(predecessor, 0, number - 1, "after");
        }
        return new JobStep(
                requireRange(step.getTaskCount(), 1, JobSpec.MAX_TASKS, "taskCount"),
                fromThrift(step.getDemand()),
                requireRange(step.getEstimatedMs(), 0, TimeBounds.MAX_DURATION_MS, "estimatedMs"),
                step.getAfter(),
                step.isCheckpoints(),
                step.isGang(),
                step.isRackLocal(),
                require(step.getRequiredLabel(), "requiredLabel"),
                require(step.getDataRack(), "dataRack"),
                requireCount(step.getMaxPerWorker(), "maxPerWorker"),
                step.isSpeculative(),
                step.isLongRunning(),
                require(step.getImage(), "image"),
                requireCount(step.getTargetLatencyMs(), "targetLatencyMs"),
                step.isFillsIdleCapacity(),
                requireCount(step.getMaxAbsent(), "maxAbsent"));
    }
}
