package org.fulmarreach.entry.jobs;

import java.util.Optional;
import java.util.OptionalLong;

import org.fulmarreach.core.jobs.JobRegistry;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.core.overload.AdmissionDecision;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.thrift.ForwardedRequest;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Stores the submissions and cancellations of callers. A caller is told that there is no job to cancel only after the
 * cancellation is stored: the submission may be on its way, at an entry that stands still, in an append without an
 * answer, or forwarded, and must not run when it is stored later. Confined to one actor.
 */
final class CallerRequests {
    /**
     * Bound on the cancellations that are kept for jobs that are not known. Each takes about 100 bytes at every entry,
     * and an entry that starts loads them all.
     */
    private static final int MAX_UNKNOWN_CANCELLATIONS = 20_000;

    private final JobRegistry registry;
    private final JobQueries queries;
    private final RequestWriter writer;
    private final RecordApplier applier;
    private final PoolLoadView poolLoad;
    private final SubmissionsOnTheWay onTheWay = new SubmissionsOnTheWay();
    private final long statusRetentionMs;
    private final Runnable decide;
    private final MonotonicClock clock;

    /**
     * Constructs the handler.
     *
     * @param queries reads the log to its end before a job counts as unknown
     * @param poolLoad decides whether there is room for a job
     * @param limits tell how long the status of a settled job is kept
     * @param decide runs after each request that was stored
     */
    CallerRequests(
            JobRegistry registry,
            JobQueries queries,
            RequestWriter writer,
            RecordApplier applier,
            PoolLoadView poolLoad,
            JobTimeLimits limits,
            Runnable decide,
            MonotonicClock clock) {
        this.registry = registry;
        this.queries = queries;
        this.writer = writer;
        this.applier = applier;
        this.poolLoad = poolLoad;
        this.statusRetentionMs = limits.statusRetentionMs();
        this.decide = decide;
        this.clock = clock;
    }

    /**
     * Stores a submission, unless the job is known already, or there is too little room or memory for it. A request may
     * repeat one whose answer was lost, at this entry or another, so a job is refused only after the log was read to
     * its end.
     */
    void submit(JobsCommand.Submit submit) {
        String id = submit.job().id();
        if (registry.find(id).isPresent()) {
            submit.reply().complete(new WriteOutcome.Stored());
        } else if (findRefusal(submit).isEmpty()) {
            store(submit);
        } else {
            // The load may change during the read, so it is asked again.
            queries.find(id, problem -> {
                if (registry.find(id).isPresent()) {
                    submit.reply().complete(new WriteOutcome.Stored());
                    return;
                }
                Optional<WriteOutcome> refusal = problem.isPresent() ? Optional.empty() : findRefusal(submit);
                refusal.ifPresentOrElse(submit.reply()::complete, () -> store(submit));
            });
        }
    }

    private Optional<WriteOutcome> findRefusal(JobsCommand.Submit submit) {
        if (onTheWay.contains(submit.job().id(), clock.nowMs())) {
            return Optional.empty();
        }
        if (!registry.memory().admits(submit.job())) {
            return Optional.of(new WriteOutcome.TooManyJobs(findMemoryRetryMs()));
        }
        return submit.refusable() && poolLoad.decide(submit.job()) instanceof AdmissionDecision.Refuse refuse
                ? Optional.of(new WriteOutcome.Overloaded(refuse))
                : Optional.empty();
    }

    /** Memory becomes free when the retention of a settled job ends. */
    private long findMemoryRetryMs() {
        OptionalLong settledAtMs = registry.findFirstSettledAtMs();
        return settledAtMs.isPresent()
                ? Math.clamp(
                        settledAtMs.getAsLong() + statusRetentionMs - System.currentTimeMillis(), 0, statusRetentionMs)
                : statusRetentionMs;
    }

    private void store(JobsCommand.Submit submit) {
        String id = submit.job().id();
        KeyedRecord entry = new KeyedRecord(JobTopics.jobKey(id), JobRecords.encode(submit.job()));
        if (!writer.limits().admit(entry)) {
            submit.reply()
                    .complete(new WriteOutcome.TooLarge("the submission takes " + entry.contentBytes()
                            + " bytes in the store, at most " + writer.limits().recordBytes()
                            + " are allowed; submit fewer steps at once"));
            return;
        }
        onTheWay.begin(id);
        registry.memory().add(submit.job());
        writer.write(entry, submit.deadlineAtMs(), outcome -> {
            onTheWay.end(id, outcome, clock.nowMs());
            registry.memory().remove(submit.job());
            if (outcome instanceof WriteOutcome.Stored) {
                applier.addJob(submit.job());
                decide.run();
            }
            submit.reply().complete(outcome);
        });
    }

    /** Stores a cancellation, unless the job is known to have settled. */
    void cancel(JobsCommand.Cancel cancel) {
        String id = cancel.jobId();
        if (registry.find(id).isPresent()) {
            cancelKnown(cancel);
            return;
        }
        queries.find(id, problem -> {
            if (problem.isPresent()) {
                cancel.reply().complete(new WriteOutcome.Refused(problem.get()));
            } else if (registry.find(id).isPresent()) {
                cancelKnown(cancel);
            } else if (registry.countCancelledUnknownJobs() >= MAX_UNKNOWN_CANCELLATIONS) {
                cancel.reply()
                        .complete(new WriteOutcome.Refused("too many cancellations of unknown jobs are kept; cancel "
                                + "jobs that were submitted, or try again after the retention time"));
            } else {
                store(cancel);
            }
        });
    }

    /** Stores a request for an entry that cannot reach the store. */
    void storeForwarded(FrameLink link, long correlationId, ForwardedRequest request) {
        KeyedRecord entry = RequestForwarder.toRecord(request);
        String id = JobTopics.jobId(entry.key());
        onTheWay.begin(id);
        writer.writeForwarded(entry, clock.nowMs() + request.getTimeoutMs(), outcome -> {
            onTheWay.end(id, outcome, clock.nowMs());
            if (outcome instanceof WriteOutcome.Stored) {
                applier.applyRequest(entry);
                decide.run();
            }
            link.send(correlationId, RequestForwarder.toFrame(outcome));
        });
    }

    /*
     * Helpers
     */

    private void cancelKnown(JobsCommand.Cancel cancel) {
        boolean settled = registry.find(cancel.jobId())
                .map(job -> job.acknowledgedStatus().isFinal())
                .orElse(false);
        if (settled) {
            cancel.reply().complete(new WriteOutcome.Stored());
        } else {
            store(cancel);
        }
    }

    private void store(JobsCommand.Cancel cancel) {
        String id = cancel.jobId();
        long cancelledAtMs = System.currentTimeMillis();
        KeyedRecord entry = new KeyedRecord(JobTopics.cancelKey(id), JobRecords.encodeCancellation(cancelledAtMs));
        writer.write(entry, cancel.deadlineAtMs(), outcome -> {
            boolean stored = outcome instanceof WriteOutcome.Stored;
            if (stored) {
                applier.cancelJob(id, cancelledAtMs);
                decide.run();
            }
            boolean known = registry.find(id).isPresent();
            cancel.reply().complete(stored && !known ? new WriteOutcome.Missing() : outcome);
        });
    }
}
