package org.fulmarreach.guard;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.fulmarreach.core.admission.CallAdmission;
import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.InvariantViolationException;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.model.Target;
import org.fulmarreach.core.request.Execution;
import org.fulmarreach.core.request.ExecutionTable;
import org.fulmarreach.core.request.RequestId;
import org.fulmarreach.core.request.TableLimits;
import org.fulmarreach.platform.HttpField;
import org.fulmarreach.platform.TargetReply;
import org.fulmarreach.platform.TargetRequest;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Call;
import org.fulmarreach.protocol.thrift.CallResult;
import org.fulmarreach.protocol.thrift.Header;
import org.fulmarreach.protocol.thrift.Outcome;
import org.fulmarreach.protocol.thrift.Resolve;
import org.fulmarreach.protocol.thrift.ResolveResult;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.util.Invariants;
import org.fulmarreach.runtime.util.MonotonicClock;

import io.micrometer.core.instrument.MeterRegistry;

/**
 * Owns the execution table, the slots of the target and the running calls. A call holds its slot until its exchange
 * with the target has ended. Its result goes to every connection that sent the call and has not cancelled it.
 */
final class CallActor extends AbstractBehavior<CallCommand> {
    /** A call whose echoed heartbeat tick is older than this is refused. */
    static final long MAX_TICK_AGE_MS = 5_000;

    /** Largest number of connections to the target; further slots are not used. */
    static final int MAX_CONNECTIONS = 256;

    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);
    private static final Duration WINDOW = Duration.ofMillis(2_000);
    private static final int FAILED_POLLS_UNTIL_UNREADY = 3;
    private static final int MAX_WAITERS_PER_CALL = 16;

    private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(50);
    private static final String REQUEST_ID_HEADER = "Request-Id";

    private final Dependencies dependencies;
    private final ExecutionTable<CachedAnswer> table;
    private final CallAdmission admission = new CallAdmission();
    private final LatencyWindow window = new LatencyWindow();
    private final Map<RequestId, RunningCall> running = new HashMap<>();
    private final QueuedCalls queued = new QueuedCalls();
    private final TimerScheduler<CallCommand> timers;
    private Target target;
    private int failedPolls;
    private int lastP99Ms;
    private boolean draining;

    /**
     * Settings and collaborators of the actor.
     *
     * @param guardId id of this guard
     * @param incarnation incarnation of this guard
     * @param heartbeatMs interval of heartbeats; a call that echoes a tick up to two intervals old counts as just sent
     * @param maxBodyBytes largest body of a call, in bytes
     * @param limits limits of the execution table
     * @param gateway client of the target
     * @param clock clock of this guard
     * @param log events
     * @param meters metrics
     * @param guardian receives changes of state and the steps of a planned stop
     * @param tasks receives the latency windows
     */
    record Dependencies(
            String guardId,
            long incarnation,
            long heartbeatMs,
            int maxBodyBytes,
            TableLimits limits,
            TargetGateway gateway,
            MonotonicClock clock,
            EventLog log,
            MeterRegistry meters,
            ActorRef<GuardCommand> guardian,
            ActorRef<TaskCommand> tasks) {}

    private record RunningCall(long startedMs, String member, List<Waiter> waiters) {}

    private CallActor(
            ActorContext<CallCommand> context, TimerScheduler<CallCommand> timers, Dependencies dependencies) {
        super(context);
        this.timers = timers;
        this.dependencies = dependencies;
        this.table = new ExecutionTable<>(
                dependencies.guardId, dependencies.incarnation, dependencies.limits, CachedAnswer::sizeBytes);
    }

    static Behavior<CallCommand> create(Dependencies dependencies) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> {
            timers.startTimerWithFixedDelay(CallCommand.Timer.POLL, Duration.ZERO, POLL_INTERVAL);
            timers.startTimerAtFixedRate(CallCommand.Timer.WINDOW, WINDOW);
            return new CallActor(context, timers, dependencies);
        }));
    }

    @Override
    public Receive<CallCommand> createReceive() {
        return newReceiveBuilder().onAnyMessage(this::apply).build();
    }

    private Behavior<CallCommand> apply(CallCommand command) {
        try {
            applyCommand(command);
            return this;
        } catch (InvariantViolationException e) {
            InvariantReports.report(new Invariants(dependencies.meters, dependencies.log), e);
            return Behaviors.stopped();
        }
    }

    private void applyCommand(CallCommand command) {
        switch (command) {
            case CallCommand.CallReceived received -> receiveCall(received);
            case CallCommand.ResolveReceived received -> answerResolve(received);
            case CallCommand.CancelReceived received -> removeWaiter(received);
            case CallCommand.LinkClosed closed -> removeWaitersOf(closed.link());
            case CallCommand.TargetReplied replied -> finishCall(replied.id(), replied.reply());
            case CallCommand.PollCompleted polled -> applyPoll(polled.announcement());
            case CallCommand.ReportStatus report ->
                report.replyTo().tell(new LinksCommand.CallsReported(currentStatus(), false));
            case CallCommand.StartLeaving leave -> startDrain(leave.cause());
            case CallCommand.Timer timer -> applyTimer(timer);
        }
    }

    /*
     * Calls
     */

    private void receiveCall(CallCommand.CallReceived received) {
        Call call = received.call();
        switch (RequestId.parse(call.getRequestId())) {
            case Result.Err<RequestId> malformed -> {
                // A malformed id is never accepted, so the call has not run and never will.
                reply(
                        new Waiter(received.link(), received.correlationId(), false),
                        CallResults.withoutAnswer(call.getRequestId(), Outcome.NOT_RUN, malformed.problem()));
            }
            case Result.Ok<RequestId> ok -> handleCall(received, ok.value());
        }
    }

    private void handleCall(CallCommand.CallReceived received, RequestId id) {
        long nowMs = dependencies.clock.nowMs();
        Waiter firstWaiter = new Waiter(received.link(), received.correlationId(), false);
        Waiter repeatWaiter = new Waiter(received.link(), received.correlationId(), true);
        switch (table.find(id, nowMs)) {
            case Execution.Fresh<CachedAnswer> fresh -> acceptCall(received.call(), id, firstWaiter, nowMs);
            case Execution.Running<CachedAnswer> present -> addWaiter(findWaiters(id), repeatWaiter);
            case Execution.Done<CachedAnswer> done -> reply(repeatWaiter, id, done);
            case Execution.Refused<CachedAnswer> refused -> reply(repeatWaiter, id, refused);
            case Execution.Unknown<CachedAnswer> unknown -> reply(repeatWaiter, id, unknown);
        }
    }

    private List<Waiter> findWaiters(RequestId id) {
        RunningCall call = running.get(id);
        return call == null ? queued.findWaiters(id) : call.waiters;
    }

    private void acceptCall(Call call, RequestId id, Waiter waiter, long nowMs) {
        Problem rejection = findRejection(call, nowMs);
        if (rejection != null) {
            reply(waiter, id, table.refuse(id, rejection, nowMs));
            return;
        }
        List<Waiter> waiters = new ArrayList<>(1);
        waiters.add(waiter);
        if (!queued.isEmpty()) {
            enqueue(call, id, waiters, nowMs, admission.createFullProblem());
            return;
        }
        switch (admission.acquire()) {
            case Result.Ok<Integer> ok -> {
                Execution<CachedAnswer> begun = table.begin(id, nowMs);
                if (begun instanceof Execution.Running<CachedAnswer>) {
                    run(call, id, waiters, nowMs);
                } else {
                    admission.cancel();
                    reply(waiter, id, begun);
                }
            }
            case Result.Err<Integer> full -> enqueue(call, id, waiters, nowMs, full.problem());
        }
    }

    /** Queues a call for a slot if it can still meet its deadline; otherwise refuses it at once. */
    private void enqueue(Call call, RequestId id, List<Waiter> waiters, long nowMs, Problem full) {
        long deadlineMs = nowMs + call.getRemainingMs() - estimateTransitMs(call, nowMs);
        boolean isQueued = queued.offer(id, new QueuedCalls.Queued(call, waiters), deadlineMs, admission, nowMs);
        Execution<CachedAnswer> known = isQueued ? table.begin(id, nowMs) : table.refuse(id, full, nowMs);
        if (known instanceof Execution.Running<CachedAnswer>) {
            timers.startSingleTimer(CallCommand.Timer.EXPIRY, EXPIRY_INTERVAL);
            return;
        }
        queued.remove(id);
        waiters.forEach(waiter -> reply(waiter, id, known));
    }

    private void run(Call call, RequestId id, List<Waiter> waiters, long nowMs) {
        running.put(id, new RunningCall(nowMs, call.getMember(), waiters));
        getContext().pipeToSelf(dependencies.gateway.send(toRequest(call)), (reply, failure) -> {
            // The gateway reports failures as replies; after any other failure it is not known whether the call ran.
            TargetReply known = failure == null ? reply : new TargetReply.Broken(String.valueOf(failure));
            return new CallCommand.TargetReplied(id, known);
        });
    }

    private void runQueued() {
        refuseOverdue();
        while (admission.inUse() < admission.maxConcurrentCalls()) {
            RequestId id = queued.poll();
            if (id == null || !(admission.acquire() instanceof Result.Ok<Integer>)) {
                return;
            }
            QueuedCalls.Queued next = queued.remove(id);
            run(next.call(), id, next.waiters(), dependencies.clock.nowMs());
        }
    }

    private void refuseOverdue() {
        for (RequestId id : queued.expire(admission.serviceMs(), dependencies.clock.nowMs())) {
            refuseQueued(id);
        }
        if (!queued.isEmpty()) {
            timers.startSingleTimer(CallCommand.Timer.EXPIRY, EXPIRY_INTERVAL);
        }
    }

    /** Answers a queued call as not run; a later call with the same id does not run either. */
    private void refuseQueued(RequestId id) {
        QueuedCalls.Queued call = queued.remove(id);
        if (call == null) {
            return;
        }
        table.completeNotRun(id, admission.createFullProblem());
        Execution<CachedAnswer> known = table.find(id, dependencies.clock.nowMs());
        call.waiters().forEach(waiter -> reply(waiter, id, known));
        reportIfIdle();
    }

    /** Returns why the call cannot run here even with a free slot; null if it can run. */
    private Problem findRejection(Call call, long nowMs) {
        if (call.getGuardIncarnation() != dependencies.incarnation) {
            return Problem.of(
                    ErrorCode.GUARD_RESTARTED, "The guard incarnation in the call differs from the one in its id.");
        }
        if (isLeaving()) {
            return Problem.of(ErrorCode.LEAVING, "The target or its guard is leaving.")
                    .withRetryAfterMs(1);
        }
        if (call.bufferForBody() != null && call.bufferForBody().remaining() > dependencies.maxBodyBytes) {
            return Problem.of(ErrorCode.TOO_LARGE, "The body is larger than " + dependencies.maxBodyBytes + " bytes.");
        }
        long ageMs = nowMs - call.getTickEchoMs();
        if (ageMs < 0 || ageMs > MAX_TICK_AGE_MS || call.getRemainingMs() - estimateTransitMs(call, nowMs) <= 0) {
            return Problem.of(
                            ErrorCode.DEADLINE_EXCEEDED,
                            "The call had " + call.getRemainingMs() + " ms left and echoes a heartbeat " + ageMs
                                    + " ms old.")
                    .withRetryAfterMs(1);
        }
        return null;
    }

    /** Returns how long the call may have been in transit; its echoed tick is up to two heartbeats old at sending. */
    private long estimateTransitMs(Call call, long nowMs) {
        return Math.max(0, nowMs - call.getTickEchoMs() - 2 * dependencies.heartbeatMs);
    }

    private static TargetRequest toRequest(Call call) {
        List<HttpField> headers = new ArrayList<>();
        if (call.getHeaders() != null) {
            for (Header header : call.getHeaders()) {
                if (!REQUEST_ID_HEADER.equalsIgnoreCase(header.getName())) {
                    headers.add(new HttpField(header.getName(), header.getValue()));
                }
            }
        }
        headers.add(new HttpField(REQUEST_ID_HEADER, call.getRequestId()));
        byte[] body = call.getBody() == null ? new byte[0] : call.getBody();
        return new TargetRequest(call.getMethod(), call.getPath(), headers, body);
    }

    private void finishCall(RequestId id, TargetReply reply) {
        RunningCall call = running.remove(id);
        int durationMs = (int) Math.min(Integer.MAX_VALUE, dependencies.clock.nowMs() - call.startedMs);
        admission.release(durationMs);
        window.add(durationMs);
        recordReply(id, reply, durationMs);
        recordMetric(call.member, reply, durationMs);
        Execution<CachedAnswer> known = table.find(id, dependencies.clock.nowMs());
        if (reply instanceof TargetReply.Whole whole) {
            // The table may not have kept the answer or, after a very long call, the id.
            known = new Execution.Done<>(new CachedAnswer(whole, durationMs));
        }
        for (Waiter waiter : call.waiters) {
            reply(waiter, id, known);
        }
        runQueued();
        reportIfIdle();
    }

    private void recordReply(RequestId id, TargetReply reply, int durationMs) {
        switch (reply) {
            case TargetReply.Whole whole -> table.complete(id, new CachedAnswer(whole, durationMs));
            case TargetReply.NotSent notSent ->
                table.completeNotRun(
                        id,
                        Problem.of(ErrorCode.NO_TARGET, "The target was not reached: " + notSent.reason())
                                .withRetryAfterMs(admission.estimateRetryDelayMs()));
            case TargetReply.Broken broken -> {
                dependencies.log.emit(GuardEvent.CALL_UNKNOWN, "request", id.format(), "reason", broken.reason());
                table.completeUnknown(
                        id,
                        Problem.of(ErrorCode.TARGET_FAILED, "The target gave no complete answer: " + broken.reason()));
            }
        }
    }

    private void recordMetric(String member, TargetReply reply, int durationMs) {
        String outcome = reply.getClass().getSimpleName();
        dependencies
                .meters
                .timer("fulmarreach.guard.calls", "member", String.valueOf(member), "outcome", outcome)
                .record(Duration.ofMillis(durationMs));
    }

    private static void addWaiter(List<Waiter> waiters, Waiter waiter) {
        if (waiters.size() == MAX_WAITERS_PER_CALL) {
            waiters.remove(0);
        }
        waiters.add(waiter);
    }

    private void removeWaiter(CallCommand.CancelReceived received) {
        if (!(RequestId.parse(received.cancel().getRequestId()) instanceof Result.Ok<RequestId>(RequestId id))) {
            return;
        }
        List<Waiter> waiters = findWaiters(id);
        if (waiters != null) {
            waiters.removeIf(waiter -> waiter.link() == received.link());
            if (waiters.isEmpty()) {
                refuseQueued(id);
            }
        }
    }

    private void removeWaitersOf(FrameLink link) {
        for (RunningCall call : running.values()) {
            call.waiters.removeIf(waiter -> waiter.link() == link);
        }
        queued.removeWaitersOf(link);
    }

    private static void reply(Waiter waiter, RequestId id, Execution<CachedAnswer> known) {
        reply(waiter, CallResults.toResult(id.format(), known, waiter.repeated()));
    }

    private static void reply(Waiter waiter, CallResult result) {
        waiter.link().send(waiter.correlationId(), Body.callResult(result));
    }

    /*
     * Resolve
     */

    private void answerResolve(CallCommand.ResolveReceived received) {
        Resolve resolve = received.resolve();
        String text = resolve.getRequestId();
        if (resolve.isRefuseIfAbsent() && RequestId.parse(text) instanceof Result.Ok<RequestId>(RequestId id)) {
            // A queued call counts as absent, because no part of it has been sent to the target.
            refuseQueued(id);
        }
        Execution<CachedAnswer> known = switch (RequestId.parse(text)) {
            case Result.Err<RequestId> malformed -> new Execution.Refused<>(malformed.problem());
            case Result.Ok<RequestId> ok ->
                table.resolve(ok.value(), resolve.isRefuseIfAbsent(), dependencies.clock.nowMs());
        };
        ResolveResult result = new ResolveResult(text, CallResults.toState(known));
        CallResult detail = CallResults.toResult(text, known, true);
        if (detail != null) {
            result.setResult(detail);
        }
        received.link().send(received.correlationId(), Body.resolveResult(result));
    }

    /*
     * Target and planned stop
     */

    private void applyTimer(CallCommand.Timer timer) {
        switch (timer) {
            case POLL ->
                getContext()
                        .pipeToSelf(
                                dependencies.gateway.poll(),
                                (announcement, failure) -> new CallCommand.PollCompleted(
                                        failure == null
                                                ? announcement
                                                : Result.err(ErrorCode.TARGET_FAILED, String.valueOf(failure))));
            case EXPIRY -> runQueued();
            default -> closeWindow();
        }
    }

    private void applyPoll(Result<Target> announcement) {
        switch (announcement) {
            case Result.Ok<Target> ok -> applyTarget(ok.value());
            case Result.Err<Target> failed -> {
                failedPolls++;
                if (failedPolls == FAILED_POLLS_UNTIL_UNREADY) {
                    admission.markUnready();
                    dependencies.log.emit(
                            GuardEvent.TARGET_UNREADY,
                            "reason",
                            failed.problem().message());
                }
            }
        }
    }

    private void applyTarget(Target announced) {
        boolean wasLeaving = isLeaving();
        if (target == null || failedPolls >= FAILED_POLLS_UNTIL_UNREADY) {
            dependencies.log.emit(GuardEvent.TARGET_READY, "service", announced.service(), "slots", announced.slots());
        }
        failedPolls = 0;
        target = announced;
        admission.applyTarget(new Target(
                announced.service(),
                announced.slots(),
                Math.min(MAX_CONNECTIONS, announced.connections()),
                announced.leaving()));
        runQueued();
        if (!wasLeaving && announced.leaving()) {
            startLeaving("target leaves");
        }
        if (wasLeaving && !isLeaving()) {
            dependencies.log.emit(GuardEvent.RETURNED);
            dependencies.guardian.tell(GuardCommand.Step.TARGET_RETURNED);
            dependencies.guardian.tell(new GuardCommand.CallsChanged(currentStatus()));
        }
    }

    private void startDrain(String cause) {
        boolean wasLeaving = isLeaving();
        draining = true;
        if (wasLeaving) {
            reportIfIdle();
        } else {
            startLeaving(cause);
        }
    }

    private void startLeaving(String cause) {
        dependencies.log.emit(GuardEvent.LEAVING, "cause", cause, "running", running.size(), "queued", queued.size());
        dependencies.guardian.tell(new GuardCommand.CallsChanged(currentStatus()));
        reportIfIdle();
    }

    private void reportIfIdle() {
        if (isLeaving() && running.isEmpty() && queued.isEmpty()) {
            dependencies.guardian.tell(GuardCommand.Step.CALLS_ENDED);
        }
    }

    private boolean isLeaving() {
        return draining || target != null && target.leaving();
    }

    private CallStatus currentStatus() {
        Target shown = target == null
                ? null
                : new Target(target.service(), admission.slots(), admission.connections(), target.leaving());
        return new CallStatus(shown, isLeaving(), admission.inUse(), lastP99Ms);
    }

    private void closeWindow() {
        long nowMs = dependencies.clock.nowMs();
        for (RunningCall call : running.values()) {
            // Calls that last longer than a window count with their age; otherwise a stuck target would appear idle.
            if (nowMs - call.startedMs > WINDOW.toMillis()) {
                window.add((int) Math.min(Integer.MAX_VALUE, nowMs - call.startedMs));
            }
        }
        lastP99Ms = window.p99Ms();
        String service = target == null ? "" : target.service();
        dependencies.tasks.tell(
                new TaskCommand.WindowClosed(lastP99Ms, window.count(), admission.inUse(), admission.slots(), service));
        window.reset();
    }
}
