package org.fulmarreach.entry.jobs;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.core.jobs.DecisionLog;
import org.fulmarreach.core.jobs.EntryLifetime;
import org.fulmarreach.core.jobs.Job;
import org.fulmarreach.core.jobs.JobRegistry;
import org.fulmarreach.core.jobs.JobScheduler;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.HttpStoreClient;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.io.GuardMessages;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.GuardReport;
import org.fulmarreach.protocol.thrift.JobLeader;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameHandling;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Owns an entry's state of jobs. It follows the log, stores callers' requests, answers queries about the status of
 * jobs, and schedules jobs while it is the leader.
 */
public final class JobsActor extends AbstractBehavior<JobsCommand> {
    private static final Duration TICK = Duration.ofMillis(100);

    /** A read may be silent for as long as the client allows; loads also while the process is busy starting. */
    private static final LogTail.Retry RETRY = new LogTail.Retry(HttpStoreClient.CALL_TIMEOUT_MS, 2_000, 800);

    private static final LogTail.Times REQUEST_TIMES = new LogTail.Times(2_000, 20, RETRY);

    /**
     * The leader starts nothing while its view of cancellations is older than a second. That allows for two reads, even
     * if the store needs 240 ms for each.
     */
    private static final LogTail.Times LEADER_REQUEST_TIMES = new LogTail.Times(250, 20, RETRY);

    private static final LogTail.Times PROGRESS_TIMES = new LogTail.Times(500, 120, RETRY);

    private final StoreClient store;
    private final Identity identity;
    private final JobTimeLimits limits;
    private final MonotonicClock clock;
    private final EventLog log;
    private final DecisionLog decisionLog;
    private final ViewPublisher publisher;
    private final Random random;
    private final LifetimeAnnouncer announcer;
    private final Election election;
    private final FormerLeaders formerLeaders;
    private final JobRegistry registry = new JobRegistry();
    private final RecordApplier applier;
    private final LogTail requests;
    private final LogTail progress;
    private final ConfigFollower config;
    private final RequestForwarder forwarder;
    private final RequestWriter writer;
    private final JobQueries queries;
    private final CallerRequests callers;
    private final GuardSessions sessions;
    private final GuardRedirects redirects;
    private final PoolLoadView poolLoad;
    private final HandedOnRecords handedOn;
    private LeaderTerm leaderTerm;
    private boolean followsJobs;
    private boolean draining;
    private CompletableFuture<Void> drained;

    /**
     * Identity of this entry.
     *
     * @param node name of its VM
     * @param guardAddress {@code host:port} on which it accepts connections of guards
     */
    public record Identity(String node, String guardAddress) {}

    private JobsActor(
            ActorContext<JobsCommand> context,
            TimerScheduler<JobsCommand> timers,
            StoreClient store,
            EntryLinks links,
            Identity identity,
            JobTimeLimits limits,
            ConfigReadBudget configBudget,
            MonotonicClock clock,
            EventLog log,
            AtomicReference<JobsCommand.View> view,
            Random random) {
        super(context);
        this.store = store;
        this.random = random;
        this.identity = identity;
        this.limits = limits;
        this.clock = clock;
        this.log = log;
        this.decisionLog = (decision, subject, fields) -> JobEvent.emitDecision(log, decision, subject, fields);
        this.sessions = new GuardSessions(log);
        this.redirects = new GuardRedirects(log);
        this.poolLoad = new PoolLoadView(this::leadingScheduler, clock, log);
        this.handedOn = new HandedOnRecords(poolLoad, log);
        this.applier = new RecordApplier(registry, this::onJobChanged, this::onJobRemoved, clock, log);
        this.requests = follow(JobPartitions.REQUESTS, REQUEST_TIMES, applier::requestKeys, this::onRequests);
        this.progress = follow(JobPartitions.PROGRESS, PROGRESS_TIMES, applier::progressKeys, this::onProgress);
        this.config = new ConfigFollower(
                store, TailMailbox.of(context), configBudget, random, this::onConfigRead, clock, log);
        this.formerLeaders = new FormerLeaders(limits);
        this.announcer = new LifetimeAnnouncer(identity.guardAddress(), requests, store, context, clock);
        this.election = new Election(
                identity, announcer::lifetime, formerLeaders, store, links, context.getSelf(), clock, log, random);
        this.forwarder = new RequestForwarder(
                links, identity.guardAddress(), election::otherLeaderAddress, context.getSelf(), clock, log);
        this.writer =
                new RequestWriter(JobPartitions.REQUESTS, store, forwarder, requests::wasAnsweredSince, context, clock);
        this.queries = new JobQueries(
                registry,
                requests,
                progress,
                this::leaderAgeMs,
                store,
                context.getSelf(),
                applier::applyRequest,
                clock,
                log);
        this.callers = new CallerRequests(registry, queries, writer, applier, poolLoad, limits, this::decide, clock);
        this.publisher = new ViewPublisher(view, config, requests, queries::reads, clock, log);
        config.load();
        timers.startTimerWithFixedDelay(new JobsCommand.Tick(), TICK);
    }

    /**
     * Constructs the behavior.
     *
     * @param store client of the store that holds the log
     * @param links connections to other entries
     * @param identity identity of this entry
     * @param limits timeouts of job scheduling
     * @param configBudget time limits of reading the configuration
     * @param clock monotonic clock
     * @param log event log
     * @param view updated by the actor, for other threads to read
     * @param random source of election delays
     */
    public static Behavior<JobsCommand> create(
            StoreClient store,
            EntryLinks links,
            Identity identity,
            JobTimeLimits limits,
            ConfigReadBudget configBudget,
            MonotonicClock clock,
            EventLog log,
            AtomicReference<JobsCommand.View> view,
            Random random) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> new JobsActor(
                context, timers, store, links, identity, limits, configBudget, clock, log, view, random)));
    }

    @Override
    public Receive<JobsCommand> createReceive() {
        return newReceiveBuilder().onMessage(JobsCommand.class, this::onCommand).build();
    }

    private Behavior<JobsCommand> onCommand(JobsCommand command) {
        switch (command) {
            case JobsCommand.Submit submit -> callers.submit(submit);
            case JobsCommand.Cancel cancel -> callers.cancel(cancel);
            case JobsCommand.Query query -> queries.answerStatus(query.jobId(), query.reply());
            case JobsCommand.CountWaiting count -> queries.answerCount(count.queue(), count.reply());
            case JobsCommand.Describe describe -> describe.reply().complete(describe());
            case JobsCommand.TailRead read ->
                read.tail().onRead(read.generation(), read.number(), read.result(), read.times());
            case JobsCommand.TailOverdue overdue ->
                overdue.tail().onOverdue(overdue.generation(), overdue.number(), overdue.times());
            case JobsCommand.TailDue due -> due.tail().onDue(due.generation());
            case JobsCommand.CatchUpReadEnded ended -> queries.onReadEnded(ended.result());
            case JobsCommand.RequestsWritten written -> writer.onWritten(written.result());
            case JobsCommand.LifetimeWritten written -> announcer.onWritten(written.result());
            case JobsCommand.Listening listening -> announcer.onListening(listening.processStartedAtMs());
            case JobsCommand.WriteDue due -> writer.onDue();
            case JobsCommand.BatchWritten written -> onBatchWritten(written);
            case JobsCommand.RequestsRemoved ended ->
                inTerm(ended.term(), leader -> leader.onRequestsRemoved(ended.result()));
            case JobsCommand.CancellationsRemoved ended ->
                inTerm(ended.term(), leader -> leader.onCancellationsRemoved(ended.result()));
            case JobsCommand.RetryDue due -> inTerm(due.term(), LeaderTerm::onRetryDue);
            case JobsCommand.TermAppendEnded ended -> election.onTermAppendEnded(ended);
            case JobsCommand.EpochAppendEnded ended -> onEpochAppendEnded(ended);
            case JobsCommand.GuardLink link -> onGuardLink(link.event());
            case JobsCommand.GuardReportDue due -> due.connection().takeReport().ifPresent(this::onGuardLink);
            case JobsCommand.ReportTurnDue due -> due.turns().handle(this::onGuardLink);
            case JobsCommand.LeaderProbed probed -> election.onLeaderProbed(probed.term(), probed.refused());
            case JobsCommand.ForwardLink link -> forwarder.onLink(link.attempt(), link.event());
            case JobsCommand.Tick tick -> onTick();
            case JobsCommand.FlushDue due -> {
                if (leaderTerm != null) {
                    leaderTerm.onFlushDue();
                }
            }
            case JobsCommand.DecisionDue due -> inTerm(due.term(), LeaderTerm::onDecisionDue);
            case JobsCommand.Drain drain -> onDrain(drain);
        }
        return this;
    }

    /** Passes a message of a term on if this entry still leads in that term. */
    private void inTerm(long term, Consumer<LeaderTerm> action) {
        if (leaderTerm != null && leaderTerm.term() == term) {
            action.accept(leaderTerm);
        }
    }

    /*
     * Log records
     */

    private LogTail follow(
            TopicPartition partition,
            LogTail.Times tailTimes,
            Supplier<Set<String>> knownKeys,
            Consumer<LogTail.Update> consumer) {
        return new LogTail(
                partition, store, TailMailbox.of(getContext()), log, clock, tailTimes, random, knownKeys, consumer);
    }

    private void onRequests(LogTail.Update update) {
        if (!update.failed()) {
            publisher.onRequestsRead();
        }
        for (KeyedRecord entry : update.records()) {
            if (JobTopics.isEntry(entry.key())) {
                onEntryStarted(entry);
            } else {
                applier.applyRequest(entry);
            }
        }
        announcer.announceIfDue();
        applier.dropRemovedProgress(requests::covers);
        if (leaderTerm != null && !update.failed()) {
            leaderTerm.releaseHeld();
            decide();
        }
        publishView();
    }

    private void onEntryStarted(KeyedRecord entry) {
        if (entry.isRemoval()) {
            return;
        }
        try {
            EntryLifetime started = JobRecords.decodeEntryLifetime(entry.value());
            announcer.onRead(started);
            formerLeaders.onEntryStarted(started, clock.nowMs());
        } catch (FrameException e) {
            log.emit(JobEvent.RECORD_SKIPPED, "key", entry.key(), "reason", e.getMessage());
        }
        if (leaderTerm != null) {
            leaderTerm.boundFormerGrants(formerLeaders);
        }
    }

    private void onJobChanged(Job job) {
        if (leaderTerm != null) {
            leaderTerm.activate(job);
        }
    }

    private void onJobRemoved(Job job) {
        if (leaderTerm != null) {
            leaderTerm.drop(job);
        }
    }

    private void onProgress(LogTail.Update update) {
        if (update.failed() || !update.records().isEmpty()) {
            election.restartTimeout();
        }
        for (KeyedRecord entry : update.records()) {
            try {
                applyProgress(entry);
            } catch (FrameException e) {
                log.emit(JobEvent.RECORD_SKIPPED, "key", entry.key(), "reason", e.getMessage());
            }
        }
        publishView();
        startElectionIfDue(update.failed());
    }

    private void applyProgress(KeyedRecord entry) {
        if (JobTopics.isProgress(entry.key()) || JobTopics.isPart(entry.key())) {
            applier.applyProgress(entry);
        } else if (entry.key().equals(JobTopics.LEADER_KEY) && !entry.isRemoval()) {
            formerLeaders.onLeader(JobRecords.decodeLeader(entry.value()), clock.nowMs());
            election.onLeaderRecord(entry.value(), progress.nextOffset());
            if (election.hasOtherLeader()) {
                redirects.redirectWaiting(election.leader());
            }
        } else if (entry.key().equals(JobTopics.WITHHELD_KEY) && !entry.isRemoval()) {
            formerLeaders.onWithheld(JobRecords.decodeWithheld(entry.value()), clock.nowMs());
        } else {
            handedOn.onRecord(entry);
        }
    }

    private void onConfigRead(LogTail.Update update) {
        if (!update.failed() && !followsJobs) {
            // Nothing can be served without the configuration, so on a narrow link its load goes first.
            followsJobs = true;
            requests.reload();
            progress.reload();
        }
        publishView();
    }

    private void publishView() {
        publisher.publish(
                draining,
                leaderTerm == null ? 0 : leaderTerm.scheduler().longestStandingWaitMs(clock.nowMs()),
                leaderTerm == null ? 0 : leaderTerm.scheduler().headroomMilliCores());
    }

    /*
     * Leadership
     */

    private void startElectionIfDue(boolean failed) {
        boolean able = !failed
                && leaderTerm == null
                && !draining
                && config.active() != null
                && requests.isLoaded()
                && progress.isLoaded();
        if (able) {
            election.startIfTimedOut(progress.nextOffset());
        }
    }

    private void onEpochAppendEnded(JobsCommand.EpochAppendEnded ended) {
        if (election.onEpochAppendEnded(ended) && leaderTerm == null && !draining) {
            startTerm(ended.term());
        }
    }

    private void startTerm(long term) {
        progress.pause();
        election.onLeaderRecord(new JobLeader(term, identity.node(), identity.guardAddress()), progress.nextOffset());
        long nowMs = clock.nowMs();
        JobScheduler scheduler = new JobScheduler(
                registry, config.active(), limits, formerLeaders.findLeases(term, nowMs), decisionLog, nowMs);
        handedOn.restore(scheduler);
        requests.setTimes(LEADER_REQUEST_TIMES);
        leaderTerm = new LeaderTerm(
                term,
                () -> election.recordOf(term, formerLeaders.listGranting(term, nowMs, clock.nowMs())),
                scheduler,
                limits,
                sessions,
                requests,
                new CancellationView(requests, config, limits, log),
                new CancellationRemover(term, registry, requests, limits, store, getContext(), clock, log),
                store,
                getContext(),
                clock,
                log);
        config.startLeading(leaderTerm, limits);
        leaderTerm.logElected(registry.jobs().size(), config.active().version());
        redirects.clear();
        // Only a hint: without this record, guards need longer to find the leader.
        store.append(JobPartitions.LEADER_HINT, List.of(election.recordOf(term)), new AppendCondition.None());
        leaderTerm.decide();
        publishView();
    }

    private void onBatchWritten(JobsCommand.BatchWritten written) {
        if (leaderTerm == null || leaderTerm.term() != written.term()) {
            return;
        }
        if (!leaderTerm.onWritten(written.result())) {
            stepDown(String.valueOf(written.result()));
        } else if (leaderTerm.hasResigned()) {
            log.emit(JobEvent.LEADER_RESIGNED, "term", leaderTerm.term());
            stepDown("resigned");
        }
    }

    private void stepDown(String reason) {
        log.emit(JobEvent.LEADER_REPLACED, "term", leaderTerm.term(), "reason", reason);
        leaderTerm = null;
        config.stopLeading();
        requests.setTimes(REQUEST_TIMES);
        sessions.close();
        registry.rollBack();
        election.restartTimeout();
        progress.reload();
        if (drained != null) {
            drained.complete(null);
        }
    }

    private void onTick() {
        writer.expire();
        forwarder.expire();
        announcer.announceIfDue();
        config.checkAge();
        if (leaderTerm != null) {
            leaderTerm.decide();
        } else if (election.isVacant()) {
            // There is no leader whose records could arrive, so the election need not wait for the pending read.
            startElectionIfDue(progress.isFailing());
        }
        if (leaderTerm == null && !progress.isFailing()) {
            election.probeSilentLeader();
        }
        publishView();
    }

    private void decide() {
        if (leaderTerm != null) {
            leaderTerm.decide();
        }
    }

    private void onDrain(JobsCommand.Drain drain) {
        draining = true;
        drained = drain.reply();
        publishView();
        if (leaderTerm == null) {
            drained.complete(null);
        } else {
            leaderTerm.resign();
        }
    }

    /*
     * Guards
     */

    private void onGuardLink(LinkEvent event) {
        switch (event) {
            case LinkEvent.Opened opened -> {
                // The first report identifies the guard.
            }
            case LinkEvent.Received received ->
                FrameHandling.handle(received.link(), log, () -> onFrame(received.link(), received.frame()));
            case LinkEvent.Closed closed -> {
                sessions.onClosed(closed.link(), closed.reason());
                redirects.onClosed(closed.link());
            }
        }
    }

    private void onFrame(FrameLink link, Frame frame) {
        Body body = frame.getBody();
        if (body.isSetGuardReport()) {
            onGuardReport(link, body.getGuardReport());
        } else if (body.isSetForwardedRequest()) {
            callers.storeForwarded(link, frame.getCorrelationId(), body.getForwardedRequest());
        } else {
            link.close();
        }
    }

    private void onGuardReport(FrameLink link, GuardReport message) {
        if (leaderTerm == null) {
            redirect(link);
            return;
        }
        if (message.getTerm() > leaderTerm.term()) {
            // The guard has orders of a later term, which this entry will learn of from the log.
            redirects.await(link);
            return;
        }
        if (message.getGuard() == null || message.getGuard().isEmpty()) {
            throw new FrameException("a report names no guard");
        }
        WorkerReport report = message.isSetWorker() ? GuardMessages.fromThrift(message.getWorker()) : null;
        if (report != null && !report.ref().guard().equals(message.getGuard())) {
            throw new FrameException("guard " + message.getGuard() + " reports on a worker of guard "
                    + report.ref().guard());
        }
        sessions.onReport(message.getGuard(), link, message.getTickMs(), report == null ? null : report.ref());
        if (report == null) {
            leaderTerm.onGuardWithoutWorker(message.getGuard());
            return;
        }
        leaderTerm.onOutcomes(report.ref(), message.getOutcomes());
        boolean decide = !report.ended().isEmpty() || message.getOutcomesSize() > 0;
        leaderTerm.onReport(report, message.getTerm(), decide);
    }

    /** Sends a guard to the leader, or lets it wait for the next one if the leader may have failed. */
    private void redirect(FrameLink link) {
        if (election.hasOtherLeader() && !election.isLeaderSilent() && !progress.isFailing()) {
            redirects.redirect(link, election.leader());
        } else {
            redirects.await(link);
        }
    }

    /*
     * Helpers
     */

    private Optional<JobScheduler> leadingScheduler() {
        return leaderTerm == null ? Optional.empty() : Optional.of(leaderTerm.scheduler());
    }

    private OptionalLong leaderAgeMs() {
        return leaderTerm == null ? OptionalLong.empty() : OptionalLong.of(leaderTerm.writeAgeMs());
    }

    private String describe() {
        StateText text = new StateText()
                .add("node", identity.node())
                .add("leads", leaderTerm != null)
                .add("leader", election.leader().getNode())
                .add("term", election.leader().getTerm())
                .add(
                        "config",
                        config.active() == null ? "none" : config.active().version())
                .add("configLoaded", config.isLoaded())
                .add("evacuatedZones", config.evacuatedZones().sorted())
                .add("configAgeMs", clock.nowMs() - config.knownUpToMs())
                .add("requestsLoaded", requests.isLoaded())
                .add("progressLoaded", leaderTerm != null || progress.isLoaded())
                .add("requestsAgeMs", requests.ageMs())
                .add("jobs", registry.jobs().size())
                .add("guards", sessions.size())
                .add("poolLoad", poolLoad.describe())
                .endLine();
        if (leaderTerm != null) {
            leaderTerm.scheduler().describeHeadroom().forEach(text::addLine);
            leaderTerm.scheduler().describeWorkers().forEach(text::addLine);
        }
        return text.addJobs(registry).toString();
    }
}
