package org.fulmarreach.protocol.io;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.work.Predecessor;
import org.fulmarreach.core.work.WorkBatch;
import org.fulmarreach.core.work.WorkDecision;
import org.fulmarreach.core.work.WorkEntry;
import org.fulmarreach.core.work.WorkPhase;
import org.fulmarreach.protocol.thrift.WorkAssign;
import org.fulmarreach.protocol.thrift.WorkCancelled;
import org.fulmarreach.protocol.thrift.WorkClaim;
import org.fulmarreach.protocol.thrift.WorkEvictIntent;
import org.fulmarreach.protocol.thrift.WorkFinished;
import org.fulmarreach.protocol.thrift.WorkPredecessor;
import org.fulmarreach.protocol.thrift.WorkRenew;
import org.fulmarreach.protocol.thrift.WorkSnapshot;
import org.fulmarreach.protocol.thrift.WorkStopped;

/** Converts the records of the shard streams to and from Thrift. Stateless and thread-safe. */
public final class WorkRecords {
    private WorkRecords() {}

    /**
     * Encodes a batch.
     *
     * @throws FrameException if it is over the size limit of a record
     */
    public static byte[] encode(WorkBatch batch) {
        List<org.fulmarreach.protocol.thrift.WorkDecision> decisions = new ArrayList<>();
        batch.decisions().forEach(decision -> decisions.add(toThrift(decision)));
        return ThriftBytes.encode(
                new org.fulmarreach.protocol.thrift.WorkBatch(batch.batchId(), batch.term(), decisions));
    }

    /**
     * Decodes a batch.
     *
     * @throws FrameException if the bytes are malformed or a required field is missing
     */
    public static WorkBatch decode(byte[] bytes) {
        var struct = ThriftBytes.decode(bytes, new org.fulmarreach.protocol.thrift.WorkBatch());
        if (struct.getBatchId() == null || struct.getDecisions() == null) {
            throw new FrameException("work batch has no id or no decisions");
        }
        try {
            List<WorkDecision> decisions = new ArrayList<>();
            struct.getDecisions().forEach(decision -> decisions.add(fromThrift(decision)));
            return new WorkBatch(struct.getBatchId(), struct.getTerm(), decisions);
        } catch (NullPointerException | IllegalArgumentException e) {
            throw new FrameException(
                    "work batch " + struct.getBatchId() + " has a missing field or an unknown decision", e);
        }
    }

    /** Converts a task id to Thrift. */
    public static org.fulmarreach.protocol.thrift.TaskId toThrift(TaskId task) {
        return new org.fulmarreach.protocol.thrift.TaskId(task.work(), task.run(), task.epoch());
    }

    /** Converts a task id from Thrift. */
    public static TaskId fromThrift(org.fulmarreach.protocol.thrift.TaskId task) {
        return new TaskId(require(task.getWork()), task.getRun(), task.getEpoch());
    }

    // Helpers

    private static org.fulmarreach.protocol.thrift.WorkDecision toThrift(WorkDecision decision) {
        return switch (decision) {
            case WorkDecision.Claim c ->
                org.fulmarreach.protocol.thrift.WorkDecision.claim(
                        new WorkClaim(c.leader(), c.seenOffset(), c.witnesses()));
            case WorkDecision.Renew r ->
                org.fulmarreach.protocol.thrift.WorkDecision.renew(new WorkRenew(r.resign(), r.settled()));
            case WorkDecision.Assign a ->
                org.fulmarreach.protocol.thrift.WorkDecision.assign(
                        new WorkAssign(toThrift(a.task()), a.vm(), a.guardIncarnation()).setCheckpoint(a.checkpoint()));
            case WorkDecision.Stopped s ->
                org.fulmarreach.protocol.thrift.WorkDecision.stopped(new WorkStopped(toThrift(s.task()))
                        .setCheckpoint(s.checkpoint())
                        .setReason(s.reason()));
            case WorkDecision.Finished f ->
                org.fulmarreach.protocol.thrift.WorkDecision.finished(
                        new WorkFinished(toThrift(f.task()), f.success()).setReason(f.reason()));
            case WorkDecision.EvictIntent e ->
                org.fulmarreach.protocol.thrift.WorkDecision.evictIntent(new WorkEvictIntent(toThrift(e.task())));
            case WorkDecision.Cancelled c ->
                org.fulmarreach.protocol.thrift.WorkDecision.cancelled(
                        new WorkCancelled(c.work(), c.run()).setRule(c.rule()));
            case WorkDecision.Snapshot s -> org.fulmarreach.protocol.thrift.WorkDecision.snapshot(toThrift(s));
        };
    }

    private static WorkSnapshot toThrift(WorkDecision.Snapshot snapshot) {
        List<org.fulmarreach.protocol.thrift.WorkEntry> entries = new ArrayList<>();
        for (WorkEntry e : snapshot.entries()) {
            entries.add(new org.fulmarreach.protocol.thrift.WorkEntry(
                            toThrift(e.task()),
                            org.fulmarreach.protocol.thrift.WorkPhase.valueOf(
                                    e.phase().name()),
                            e.guardIncarnation(),
                            e.failedVms())
                    .setVm(e.vm())
                    .setCheckpoint(e.checkpoint())
                    .setCancelledRule(e.cancelledRule()));
        }
        List<WorkPredecessor> predecessors = new ArrayList<>();
        for (Predecessor p : snapshot.predecessors()) {
            predecessors.add(new WorkPredecessor(p.term(), p.witnesses(), p.resigned()));
        }
        return new WorkSnapshot(
                snapshot.term(),
                snapshot.leader(),
                entries,
                snapshot.basedOnOffset(),
                snapshot.witnesses(),
                snapshot.resigned(),
                predecessors);
    }

    private static WorkDecision fromThrift(org.fulmarreach.protocol.thrift.WorkDecision union) {
        if (union.getSetField() == null) {
            throw new IllegalArgumentException("decision of an unknown kind");
        }
        return switch (union.getSetField()) {
            case CLAIM ->
                new WorkDecision.Claim(
                        require(union.getClaim().getLeader()),
                        union.getClaim().getSeenOffset(),
                        require(union.getClaim().getWitnesses()));
            case RENEW ->
                new WorkDecision.Renew(
                        union.getRenew().isResign(), union.getRenew().isSettled());
            case ASSIGN -> {
                WorkAssign a = union.getAssign();
                yield new WorkDecision.Assign(
                        fromThrift(a.getTask()), require(a.getVm()), a.getGuardIncarnation(), a.getCheckpoint());
            }
            case STOPPED -> {
                WorkStopped s = union.getStopped();
                yield new WorkDecision.Stopped(fromThrift(s.getTask()), s.getCheckpoint(), s.getReason());
            }
            case FINISHED -> {
                WorkFinished f = union.getFinished();
                yield new WorkDecision.Finished(fromThrift(f.getTask()), f.isSuccess(), f.getReason());
            }
            case EVICT_INTENT ->
                new WorkDecision.EvictIntent(fromThrift(union.getEvictIntent().getTask()));
            case CANCELLED -> {
                WorkCancelled c = union.getCancelled();
                yield new WorkDecision.Cancelled(require(c.getWork()), c.getRun(), c.getRule());
            }
            case SNAPSHOT -> fromThrift(union.getSnapshot());
        };
    }

    private static WorkDecision fromThrift(WorkSnapshot s) {
        List<WorkEntry> entries = new ArrayList<>();
        for (var e : require(s.getEntries())) {
            entries.add(new WorkEntry(
                    fromThrift(e.getTask()),
                    WorkPhase.valueOf(e.getPhase().name()),
                    e.getVm(),
                    e.getGuardIncarnation(),
                    e.getCheckpoint(),
                    require(e.getFailedVms()),
                    e.getCancelledRule()));
        }
        List<Predecessor> predecessors = new ArrayList<>();
        for (WorkPredecessor p : require(s.getPredecessors())) {
            predecessors.add(new Predecessor(p.getTerm(), require(p.getWitnesses()), p.isResigned()));
        }
        return new WorkDecision.Snapshot(
                s.getTerm(),
                require(s.getLeader()),
                entries,
                s.getBasedOnOffset(),
                require(s.getWitnesses()),
                s.isResigned(),
                predecessors);
    }

    private static <T> T require(T field) {
        if (field == null) {
            throw new IllegalArgumentException("required field is missing");
        }
        return field;
    }
}
