package org.fulmarreach.entry.jobs;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.core.jobs.DecisionLog;
import org.fulmarreach.core.jobs.Job;
import org.fulmarreach.core.jobs.JobBook;
import org.fulmarreach.core.jobs.JobConfig;
import org.fulmarreach.core.jobs.JobScheduler;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.jobs.JobTimes;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.platform.ingress.JobCodec;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.ReadResult;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.io.GuardMessages;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.GuardReport;
import org.fulmarreach.protocol.thrift.JobLeader;
import org.fulmarreach.protocol.thrift.JobState;
import org.fulmarreach.protocol.thrift.OrderOutcome;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Owner of all that an entry knows of jobs. It follows the log, stores callers' requests, answers about states, and
 * leads while it holds the newest term.
 */
public final class JobsActor extends AbstractBehavior<JobsCommand> {
    private static final Duration TICK = Duration.ofMillis(100);

    /** An entry whose reads of the log have failed for this long sends callers elsewhere. */
    private static final long UNREADY_AFTER_MS = 1_500;

    private static final LogTail.Times REQUEST_TIMES = new LogTail.Times(2_000, 20);

    /**
     * The leader starts nothing on knowledge of cancellations that is older than a second. Two reads fit into it, also
     * when the store needs 240 ms for each.
     */
    private static final LogTail.Times LEADER_REQUEST_TIMES = new LogTail.Times(250, 20);

    private static final LogTail.Times PROGRESS_TIMES = new LogTail.Times(500, 120);
    private static final LogTail.Times CONFIG_TIMES = new LogTail.Times(2_000, 0);

    private final StoreClient store;
    private final Identity identity;
    private final JobTimes times;
    private final MonotonicClock clock;
    private final EventLog log;
    private final DecisionLog decisionLog;
    private final AtomicReference<JobsCommand.View> view;
    private final Election election;
    private final JobBook book = new JobBook();
    private final LogTail requests;
    private final LogTail progress;
    private final LogTail config;
    private final RequestWriter writer;
    private final GuardSessions sessions;
    private JobConfig configInForce;
    private LeaderTerm leading;
    private boolean draining;
    private long readableAtMs;
    private CompletableFuture<Void> drained;

    /**
     * Who this entry is.
     *
     * @param node name of its VM
     * @param guardAddress {@code host:port} on which it takes guards
     */
    public record Identity(String node, String guardAddress) {}

    private JobsActor(
            ActorContext<JobsCommand> context,
            TimerScheduler<JobsCommand> timers,
            StoreClient store,
            Identity identity,
            JobTimes times,
            MonotonicClock clock,
            EventLog log,
            AtomicReference<JobsCommand.View> view,
            Random random) {
        super(context);
        this.store = store;
        this.identity = identity;
        this.times = times;
        this.clock = clock;
        this.log = log;
        this.view = view;
        this.decisionLog = (decision, subject, fields) -> emitDecision(log, decision, subject, fields);
        this.writer = new RequestWriter(JobPartitions.REQUESTS, store, context, clock);
        this.sessions = new GuardSessions(log);
        this.requests = follow(JobPartitions.REQUESTS, REQUEST_TIMES, this::onRequests);
        this.progress = follow(JobPartitions.PROGRESS, PROGRESS_TIMES, this::onProgress);
        this.config = follow(TopicPartition.OPERATOR, CONFIG_TIMES, this::onConfig);
        this.readableAtMs = clock.nowMs();
        this.election = new Election(identity, store, context.getSelf(), clock, log, random);
        config.reload();
        requests.reload();
        progress.reload();
        timers.startTimerWithFixedDelay(new JobsCommand.Tick(), TICK);
    }

    /**
     * Constructs the behavior.
     *
     * @param store the log
     * @param identity who this entry is
     * @param times bounds of decisions
     * @param clock monotonic clock
     * @param log events
     * @param view is kept up to date for other threads
     * @param random spreads elections
     */
    public static Behavior<JobsCommand> create(
            StoreClient store,
            Identity identity,
            JobTimes times,
            MonotonicClock clock,
            EventLog log,
            AtomicReference<JobsCommand.View> view,
            Random random) {
        return Behaviors.setup(context -> Behaviors.withTimers(
                timers -> new JobsActor(context, timers, store, identity, times, clock, log, view, random)));
    }

    @Override
    public Receive<JobsCommand> createReceive() {
        return newReceiveBuilder().onMessage(JobsCommand.class, this::onCommand).build();
    }

    private Behavior<JobsCommand> onCommand(JobsCommand command) {
        switch (command) {
            case JobsCommand.Submit submit -> onSubmit(submit);
            case JobsCommand.Cancel cancel -> onCancel(cancel);
            case JobsCommand.Query query -> onQuery(query);
            case JobsCommand.CountWaiting count -> count.reply().complete(book.countWaiting(count.queue()));
            case JobsCommand.Describe describe -> describe.reply().complete(describe());
            case JobsCommand.TailRead read -> read.tail().onRead(read.generation(), read.result(), read.knownUpToMs());
            case JobsCommand.TailDue due -> due.tail().onDue(due.generation());
            case JobsCommand.Refreshed refreshed -> onRefreshed(refreshed);
            case JobsCommand.RequestsWritten written -> writer.onWritten(written.result());
            case JobsCommand.WriteDue due -> writer.onDue();
            case JobsCommand.BatchWritten written -> onBatchWritten(written);
            case JobsCommand.RetryDue due -> {
                if (leading != null && leading.term() == due.term()) {
                    leading.onRetryDue();
                }
            }
            case JobsCommand.ElectionEnded ended -> election.onEnded(ended);
            case JobsCommand.TermBegun begun -> onTermBegun(begun);
            case JobsCommand.GuardLink link -> onGuardLink(link.event());
            case JobsCommand.Tick tick -> onTick();
            case JobsCommand.FlushDue due -> {
                if (leading != null) {
                    leading.onFlushDue();
                }
            }
            case JobsCommand.DecisionDue due -> {
                if (leading != null && leading.term() == due.term()) {
                    leading.onDecisionDue();
                }
            }
            case JobsCommand.Drain drain -> onDrain(drain);
        }
        return this;
    }

    /*
     * Callers
     */

    private void onSubmit(JobsCommand.Submit submit) {
        String id = submit.job().id();
        if (book.find(id).isPresent()) {
            submit.reply().complete(new WriteOutcome.Stored());
            return;
        }
        if (requests.isFailing() && clock.nowMs() - readableAtMs > UNREADY_AFTER_MS) {
            submit.reply().complete(new WriteOutcome.Refused("the store does not answer"));
            return;
        }
        KeyedRecord entry = new KeyedRecord(JobTopics.jobKey(id), JobRecords.encode(submit.job()));
        writer.write(entry, submit.giveUpAtMs(), outcome -> {
            if (outcome instanceof WriteOutcome.Stored) {
                addJob(submit.job());
                decide();
            }
            submit.reply().complete(outcome);
        });
    }

    private void onCancel(JobsCommand.Cancel cancel) {
        String id = cancel.jobId();
        boolean settled =
                book.find(id).map(job -> job.acknowledgedStatus().isFinal()).orElse(false);
        if (settled) {
            cancel.reply().complete(new WriteOutcome.Stored());
            return;
        }
        if (book.find(id).isEmpty()) {
            CompletableFuture<JobsCommand.StatusAnswer> looked = new CompletableFuture<>();
            refresh(id, looked);
            var self = getContext().getSelf();
            looked.thenAccept(answer -> {
                switch (answer) {
                    case JobsCommand.StatusAnswer.Known known -> self.tell(cancel);
                    case JobsCommand.StatusAnswer.Missing missing ->
                        cancel.reply().complete(new WriteOutcome.Missing());
                    case JobsCommand.StatusAnswer.Unavailable unavailable ->
                        cancel.reply().complete(new WriteOutcome.Refused(unavailable.reason()));
                }
            });
            return;
        }
        KeyedRecord entry =
                new KeyedRecord(JobTopics.cancelKey(id), JobRecords.encodeCancellation(System.currentTimeMillis()));
        writer.write(entry, cancel.giveUpAtMs(), outcome -> {
            if (outcome instanceof WriteOutcome.Stored) {
                cancelJob(id);
                decide();
            }
            cancel.reply().complete(outcome);
        });
    }

    private void onQuery(JobsCommand.Query query) {
        book.find(query.jobId())
                .ifPresentOrElse(
                        job -> query.reply().complete(new JobsCommand.StatusAnswer.Known(job.acknowledgedStatus())),
                        () -> refresh(query.jobId(), query.reply()));
    }

    /** Another entry may have stored the job a moment ago, so the log is read to its end before a job is missing. */
    private void refresh(String jobId, CompletableFuture<JobsCommand.StatusAnswer> reply) {
        if (!requests.isLoaded()) {
            reply.complete(new JobsCommand.StatusAnswer.Unavailable("the log is not read yet"));
            return;
        }
        var self = getContext().getSelf();
        store.read(JobPartitions.REQUESTS, requests.nextOffset(), 0)
                .thenAccept(result -> self.tell(new JobsCommand.Refreshed(jobId, result, reply)));
    }

    private void onRefreshed(JobsCommand.Refreshed refreshed) {
        switch (refreshed.result()) {
            case ReadResult.Records read -> {
                read.records().forEach(this::foldRequest);
                refreshed
                        .reply()
                        .complete(book.find(refreshed.jobId())
                                .<JobsCommand.StatusAnswer>map(
                                        job -> new JobsCommand.StatusAnswer.Known(job.acknowledgedStatus()))
                                .orElseGet(JobsCommand.StatusAnswer.Missing::new));
            }
            case ReadResult.Expired expired -> {
                requests.reload();
                refreshed.reply().complete(new JobsCommand.StatusAnswer.Unavailable("the log is read anew"));
            }
            case ReadResult.Failed failed ->
                refreshed.reply().complete(new JobsCommand.StatusAnswer.Unavailable(failed.reason()));
        }
    }

    /*
     * The log
     */

    private LogTail follow(TopicPartition partition, LogTail.Times tailTimes, Consumer<LogTail.Update> consumer) {
        return new LogTail(partition, store, getContext(), log, clock, tailTimes, consumer);
    }

    private void onRequests(LogTail.Update update) {
        if (!update.failed()) {
            readableAtMs = clock.nowMs();
        }
        update.records().forEach(this::foldRequest);
        if (leading != null && !update.failed()) {
            leading.sendHeld();
            decide();
        }
        publishView();
    }

    private void foldRequest(KeyedRecord entry) {
        String key = entry.key();
        try {
            if (JobTopics.isCancel(key) && !entry.isRemoval()) {
                cancelJob(JobTopics.jobId(key));
            } else if (JobTopics.isJob(key) && entry.isRemoval()) {
                book.forget(JobTopics.jobId(key));
            } else if (JobTopics.isJob(key) && book.find(JobTopics.jobId(key)).isEmpty()) {
                addJob(JobRecords.decodeJob(JobTopics.jobId(key), entry.value()));
            }
        } catch (FrameException e) {
            log.emit(JobEvent.RECORD_SKIPPED, "key", key, "reason", e.getMessage());
        }
    }

    private void addJob(JobSpec spec) {
        if (book.submit(spec) && leading != null) {
            book.find(spec.id()).ifPresent(leading.scheduler()::takeUp);
        }
    }

    private void cancelJob(String id) {
        book.cancel(id);
        if (leading != null) {
            book.find(id).ifPresent(leading.scheduler()::takeUp);
        }
    }

    private void onProgress(LogTail.Update update) {
        if (update.failed() || !update.records().isEmpty()) {
            election.interruptSilence();
        }
        for (KeyedRecord entry : update.records()) {
            try {
                foldProgress(entry);
            } catch (FrameException | IllegalArgumentException e) {
                log.emit(JobEvent.RECORD_SKIPPED, "key", entry.key(), "reason", e.getMessage());
            }
        }
        publishView();
        considerElection(update.failed());
    }

    private void foldProgress(KeyedRecord entry) {
        if (JobTopics.isProgress(entry.key())) {
            String id = JobTopics.jobId(entry.key());
            if (!entry.isRemoval()) {
                JobState state = JobRecords.decodeState(entry.value());
                book.restore(id, JobRecords.fromThrift(state.getProgress()));
            }
        } else if (entry.key().equals(JobTopics.LEADER_KEY) && !entry.isRemoval()) {
            election.observe(JobRecords.decodeState(entry.value()).getLeader(), progress.nextOffset());
        }
    }

    private void onConfig(LogTail.Update update) {
        for (KeyedRecord entry : update.records()) {
            if (entry.key().equals(TopicPartition.CONFIG_KEY) && !entry.isRemoval()) {
                try {
                    putInForce(JobCodec.decodeConfig(entry.value()));
                } catch (IOException e) {
                    log.emit(JobEvent.CONFIG_UNREADABLE, "reason", e.getMessage());
                }
            }
        }
        publishView();
    }

    private void putInForce(JobConfig read) {
        if (configInForce != null && read.version() <= configInForce.version()) {
            return;
        }
        configInForce = read;
        log.emit(
                JobEvent.CONFIG_IN_FORCE,
                "version",
                read.version(),
                "queues",
                read.queues().size());
        if (leading != null) {
            leading.scheduler().configure(read);
            decide();
        }
    }

    private void publishView() {
        boolean readable = !requests.isFailing() || clock.nowMs() - readableAtMs <= UNREADY_AFTER_MS;
        boolean ready = configInForce != null
                && requests.isLoaded()
                && (leading != null || progress.isLoaded())
                && readable
                && !draining;
        view.set(new JobsCommand.View(configInForce, ready));
    }

    /*
     * Leadership
     */

    private void considerElection(boolean failed) {
        boolean able = !failed
                && leading == null
                && !draining
                && configInForce != null
                && requests.isLoaded()
                && progress.isLoaded();
        if (able) {
            election.consider(progress.nextOffset());
        }
    }

    private void onTermBegun(JobsCommand.TermBegun begun) {
        if (election.onOpened(begun) && leading == null && !draining) {
            lead(begun.term());
        }
    }

    private void lead(long term) {
        progress.pause();
        election.observe(new JobLeader(term, identity.node(), identity.guardAddress()), progress.nextOffset());
        long nowMs = clock.nowMs();
        JobScheduler scheduler = new JobScheduler(book, configInForce, times, decisionLog, nowMs);
        requests.change(LEADER_REQUEST_TIMES);
        leading = new LeaderTerm(
                term,
                election.recordOf(term),
                scheduler,
                sessions,
                new CancellationView(requests, times, log),
                store,
                getContext(),
                clock);
        log.emit(
                JobEvent.LEADER_ELECTED,
                "term",
                term,
                "jobs",
                book.jobs().size(),
                "active",
                scheduler.activeJobs(),
                "config",
                configInForce.version());
        // Only a hint, so a lost append costs guards a detour at most.
        store.append(JobPartitions.LEADER_HINT, List.of(election.recordOf(term)), new AppendCondition.None());
        leading.decide();
        publishView();
    }

    private void onBatchWritten(JobsCommand.BatchWritten written) {
        if (leading == null || leading.term() != written.term()) {
            return;
        }
        if (!leading.onWritten(written.result())) {
            stepDown(String.valueOf(written.result()));
        } else if (leading.hasResigned()) {
            log.emit(JobEvent.LEADER_RESIGNED, "term", leading.term());
            stepDown("resigned");
        }
    }

    private void stepDown(String reason) {
        log.emit(JobEvent.LEADER_REPLACED, "term", leading.term(), "reason", reason);
        leading = null;
        requests.change(REQUEST_TIMES);
        sessions.close();
        book.rollBack();
        election.interruptSilence();
        progress.reload();
        if (drained != null) {
            drained.complete(null);
        }
    }

    private void onTick() {
        writer.expire();
        if (leading != null) {
            leading.decide();
        } else if (election.isVacant()) {
            // Nobody's record has to be waited for, so the term is asked for before the read under way ends.
            considerElection(progress.isFailing());
        }
        publishView();
    }

    private void decide() {
        if (leading != null) {
            leading.decide();
        }
    }

    private void onDrain(JobsCommand.Drain drain) {
        draining = true;
        drained = drain.reply();
        publishView();
        if (leading == null) {
            drained.complete(null);
        } else {
            leading.resign();
        }
    }

    /*
     * Guards
     */

    private void onGuardLink(LinkEvent event) {
        switch (event) {
            case LinkEvent.Opened opened -> {
                // The first report tells who it is.
            }
            case LinkEvent.Received received -> {
                Body body = received.frame().getBody();
                if (body.isSetGuardReport()) {
                    onGuardReport(received.link(), body.getGuardReport());
                } else {
                    received.link().close();
                }
            }
            case LinkEvent.Closed closed -> sessions.onClosed(closed.link(), closed.reason());
        }
    }

    private void onGuardReport(FrameLink link, GuardReport message) {
        if (leading == null || message.getTerm() > leading.term()) {
            return;
        }
        WorkerReport report = message.isSetWorker() ? GuardMessages.fromThrift(message.getWorker()) : null;
        sessions.onReport(message.getGuard(), link, message.getTickMs(), report == null ? null : report.ref());
        if (report == null) {
            return;
        }
        long nowMs = clock.nowMs();
        for (OrderOutcome outcome : message.getOutcomes()) {
            leading.scheduler()
                    .outcome(
                            report.ref(),
                            outcome.getTask(),
                            outcome.getRun(),
                            outcome.isStart(),
                            outcome.getOutcome(),
                            nowMs);
        }
        leading.report(report, !report.ended().isEmpty() || message.getOutcomesSize() > 0);
    }

    /*
     * Helpers
     */

    private String describe() {
        StringBuilder text = new StringBuilder();
        text.append("node=").append(identity.node());
        text.append(" leads=").append(leading != null);
        text.append(" leader=").append(election.leader().getNode());
        text.append(" term=").append(election.leader().getTerm());
        text.append(" config=").append(configInForce == null ? "none" : configInForce.version());
        text.append(" jobs=").append(book.jobs().size());
        text.append(" guards=").append(sessions.size()).append('\n');
        if (leading != null) {
            leading.scheduler()
                    .describeWorkers()
                    .forEach(line -> text.append(line).append('\n'));
        }
        for (Job job : book.jobs()) {
            text.append(job.spec().id())
                    .append(" queue=")
                    .append(job.spec().queue())
                    .append(" status=")
                    .append(job.acknowledgedStatus())
                    .append('\n');
        }
        return text.toString();
    }

    private static void emitDecision(EventLog log, DecisionLog.Decision decision, String subject, Object... fields) {
        Object[] all = new Object[fields.length + 2];
        all[0] = "id";
        all[1] = subject;
        System.arraycopy(fields, 0, all, 2, fields.length);
        log.emit(JobEvent.of(decision), all);
    }
}
