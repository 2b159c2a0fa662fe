package org.fulmarreach.guard.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorSystem;
import org.awaitility.Awaitility;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.core.jobs.RunEnd;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.worker.CallResult;
import org.fulmarreach.platform.worker.WorkerCalls;
import org.fulmarreach.platform.worker.WorkerHeartbeat;
import org.fulmarreach.platform.worker.WorkerSnapshot;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.JobWorkerRef;
import org.fulmarreach.protocol.thrift.LeaderOrders;
import org.fulmarreach.protocol.thrift.PaceRun;
import org.fulmarreach.protocol.thrift.StartRun;
import org.fulmarreach.protocol.thrift.StopRun;
import org.fulmarreach.protocol.thrift.WorkerStatus;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests a guard's relay with a fake worker and fake entries. */
class WorkerRelayTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** Time after an acknowledged cancellation from which the platform accepts no start of the job. */
    private static final long CANCEL_LIMIT_MS = 3_000;

    private final FakeCalls worker = new FakeCalls();
    private final FakeEntries entries = new FakeEntries();
    private final ActorSystem<RelayCommand> relay = ActorSystems.construct(
            WorkerRelay.create(
                    worker,
                    entries,
                    List.of(),
                    "guard",
                    new JobTimeLimits(6_000, 120_000, CANCEL_LIMIT_MS),
                    MonotonicClock.system(),
                    new EventLog("guard"),
                    new Random(1)),
            "relay",
            1);

    @AfterEach
    void stop() {
        relay.terminate();
    }

    @Test
    void reportsWorkerAndCarriesOutStart() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        FakeLink link = awaitReport();
        order(link, 1, 1_000, start("job.0.0.0"), 0);
        Awaitility.await().atMost(TIMEOUT).until(() -> worker.started.contains("job.0.0.0"));
    }

    /**
     * A guard that keeps retrying a start may start a task seconds after its job was cancelled. The leader repeats a
     * start that is still needed.
     */
    @Test
    void unansweredStartIsRetriedOnlyOnce() {
        worker.answering = false;
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        FakeLink link = awaitReport();
        order(link, 1, 1_000, start("job.0.0.0"), 0);
        Awaitility.await().atMost(TIMEOUT).until(() -> worker.started.size() == 2);
        Awaitility.await().pollDelay(Duration.ofMillis(500)).atMost(TIMEOUT).until(() -> worker.polls.get() > 5);
        assertEquals(2, worker.started.size());
    }

    /**
     * A start for a worker that had crashed was retried at the restarted worker. The leader abandons the runs of the
     * former lifetime and places their tasks elsewhere, so the task ran twice at once.
     */
    @Test
    void unansweredStartIsNotRetriedAtRestartedWorker() {
        CompletableFuture<CallResult<Void>> held = new CompletableFuture<>();
        worker.heldStart = held;
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        FakeLink link = awaitReport();
        order(link, 1, 1_000, start("former.0.0.0"), 0);
        Awaitility.await().atMost(TIMEOUT).until(() -> worker.started.contains("former.0.0.0"));
        worker.heldStart = null;
        worker.lifetime = new Lifetime("w", 2_000);
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(2_000, 1, false)));
        // The clock of a new lifetime is known only after a poll; nothing is started before that.
        awaitPolls(3);
        held.complete(new CallResult.Unanswered<>("no answer", false));
        awaitPolls(5);
        order(link, 1, 2_000, start("next.0.0.0"), 0);
        Awaitility.await().atMost(TIMEOUT).until(() -> worker.started.contains("next.0.0.0"));
        assertEquals(List.of("former.0.0.0", "next.0.0.0"), worker.started);
    }

    /** A start that was delayed for seconds took effect after the cancellation of its job had been acknowledged. */
    @Test
    void delayedStartIsDropped() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        FakeLink link = awaitReport();
        order(link, 1, 1_000, start("fresh.0.0.0"), 0, 0);
        Awaitility.await().atMost(TIMEOUT).until(() -> worker.started.contains("fresh.0.0.0"));
        order(link, 1, 1_000, start("late.0.0.0"), 0, CANCEL_LIMIT_MS);
        order(link, 1, 1_000, start("fresh.0.0.1"), 0, 0);
        Awaitility.await().atMost(TIMEOUT).until(() -> worker.started.contains("fresh.0.0.1"));
        assertEquals(List.of("fresh.0.0.0", "fresh.0.0.1"), worker.started);
    }

    /**
     * The leader repeats a stop every 500 ms until the run has ended. While the worker left calls unanswered, each
     * repeat and its retries took a connection of their own, so that hundreds of stops waited for four connections.
     */
    @Test
    void repeatedStopIsNotSentTwiceAtOnce() {
        CompletableFuture<CallResult<Void>> held = new CompletableFuture<>();
        worker.heldStop = held;
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        FakeLink link = awaitReport();
        for (int i = 0; i < 5; i++) {
            stop(link, "job.0.0.0");
        }
        awaitPolls(3);
        assertEquals(1, worker.stopped.size());
        worker.heldStop = null;
        held.complete(new CallResult.Done<>(null));
        awaitPolls(1);
        stop(link, "job.0.0.0");
        Awaitility.await().atMost(TIMEOUT).until(() -> worker.stopped.size() == 2);
    }

    /** A stop whose run has ended needs no further attempt. */
    @Test
    void unansweredStopOfAnEndedRunIsNotRetried() {
        CompletableFuture<CallResult<Void>> held = new CompletableFuture<>();
        worker.heldStop = held;
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        FakeLink link = awaitReport();
        stop(link, "job.0.0.0");
        Awaitility.await().atMost(TIMEOUT).until(() -> worker.stopped.size() == 1);
        worker.lifetime.ended = List.of(new WorkerReport.Ended(1, "job.0.0.0", 1, RunEnd.STOPPED, ""));
        awaitPolls(3);
        held.complete(new CallResult.Unanswered<>("no answer", false));
        awaitPolls(5);
        assertEquals(1, worker.stopped.size());
    }

    /** A retry of an older CPU share overtook the newer share and slowed the task down again. */
    @Test
    void unansweredCpuShareIsNotRetriedAfterANewerOne() {
        CompletableFuture<CallResult<Void>> held = new CompletableFuture<>();
        worker.heldShare = held;
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        FakeLink link = awaitReport();
        setCpuShare(link, "job.0.0.0", 40);
        Awaitility.await().atMost(TIMEOUT).until(() -> worker.shares.size() == 1);
        worker.heldShare = null;
        setCpuShare(link, "job.0.0.0", 90);
        Awaitility.await().atMost(TIMEOUT).until(() -> worker.shares.size() == 2);
        held.complete(new CallResult.Unanswered<>("no answer", false));
        awaitPolls(5);
        assertEquals(List.of(40, 90), worker.shares);
    }

    /** A frame without required fields stopped the actor, and with it the process. */
    @Test
    void frameWithoutFieldsDoesNotStopTheGuard() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        FakeLink link = awaitReport();
        link.listener.accept(new LinkEvent.Received(link, new Frame(0, Body.leaderOrders(new LeaderOrders()))));
        Awaitility.await().atMost(TIMEOUT).until(() -> entries.links.size() > 1);
        order(entries.links.get(entries.links.size() - 1), 1, 1_000, start("job.0.0.0"), 0);
        Awaitility.await().atMost(TIMEOUT).until(() -> worker.started.contains("job.0.0.0"));
    }

    /** A heartbeat may arrive after its worker has crashed and was restarted at the same address. */
    @Test
    void heartbeatOfFormerLifetimeIsIgnored() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        FakeLink link = awaitReport();
        worker.lifetime = new Lifetime("w", 2_000);
        int polls = worker.polls.get();
        Awaitility.await().atMost(TIMEOUT).until(() -> worker.polls.get() >= polls + 3);
        int before = link.reports().size();
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 9, false)));
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(2_000, 1, false)));
        Awaitility.await().atMost(TIMEOUT).until(() -> link.reports().size() >= before + 2);
        link.reports().subList(before, link.reports().size()).forEach(ref -> assertEquals(2_000, ref.getBornMs()));
    }

    /** A poll for a worker that had been replaced made the next one forget an end that nobody had read. */
    @Test
    void endOfTheNextWorkerIsNotAcknowledgedByAPollForTheFormerOne() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        FakeLink link = awaitReport();
        LeaderOrders orders = emptyOrders();
        orders.setAcknowledgedEnd(9);
        link.listener.accept(new LinkEvent.Received(link, new Frame(0, Body.leaderOrders(orders))));
        awaitPolls(3);
        worker.lifetime = new Lifetime("next", 2_000, new WorkerReport.Ended(1, "job.0.0.0", 1, RunEnd.DONE, ""));
        awaitPolls(5);
        assertEquals(1, worker.lifetime.ended.size(), "ends that the next worker lists");
        relay.tell(new RelayCommand.HeartbeatReceived(
                new WorkerHeartbeat("next", 2_000, "s", "z", new Resources(1, 1, 0), List.of(), false, 1)));
        Awaitility.await().atMost(TIMEOUT).until(() -> link.ends().contains("job.0.0.0"));
    }

    /**
     * As before, but the worker starts again under its id, so that it carries out a poll for its former lifetime. An
     * end before that poll was taken note of without having been read, and its task was started again.
     */
    @Test
    void endOfTheNextLifetimeIsNotAcknowledgedByAPollForTheFormerOne() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        FakeLink link = awaitReport();
        worker.lifetime.ended = List.of(new WorkerReport.Ended(9, "job.0.0.9", 1, RunEnd.DONE, ""));
        Awaitility.await().atMost(TIMEOUT).until(() -> link.ends().contains("job.0.0.9"));
        LeaderOrders orders = emptyOrders();
        orders.setAcknowledgedEnd(9);
        link.listener.accept(new LinkEvent.Received(link, new Frame(0, Body.leaderOrders(orders))));
        Awaitility.await().atMost(TIMEOUT).until(() -> worker.lifetime.ended.isEmpty());
        awaitPolls(2);
        worker.lifetime = new Lifetime("w", 2_000, new WorkerReport.Ended(1, "job.0.0.0", 1, RunEnd.DONE, ""));
        awaitPolls(5);
        assertEquals(1, worker.lifetime.ended.size(), "ends that the next lifetime lists");
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(2_000, 1, false)));
        Awaitility.await().atMost(TIMEOUT).until(() -> link.ends().contains("job.0.0.0"));
    }

    /** Without this the leader cannot tell a crash, for which a task may be to blame, from a silence. */
    @Test
    void closedPortIsReportedAsACrash() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        FakeLink link = awaitReport();
        worker.failure = new CallResult.Unanswered<>("connection refused", true);
        Awaitility.await().atMost(TIMEOUT).until(() -> link.lastStatus().isCrashed());
        assertTrue(link.lastStatus().isLeaseLapsed());
    }

    /** A silent worker may still run its tasks, and one that announced its end has not crashed. */
    @Test
    void silenceAndAnnouncedEndsAreNotReportedAsCrashes() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        FakeLink link = awaitReport();
        worker.failure = new CallResult.Unanswered<>("timed out", false);
        awaitPolls(8);
        assertFalse(link.lastStatus().isCrashed(), "silent");
        relay.tell(new RelayCommand.Deregistered("w"));
        worker.failure = new CallResult.Unanswered<>("connection refused", true);
        Awaitility.await().atMost(TIMEOUT).until(() -> link.lastStatus().isLeaseLapsed());
        assertFalse(link.lastStatus().isCrashed(), "deregistered");
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(2_000, 1, true)));
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(() -> link.lastStatus().getRef().getBornMs() == 2_000
                        && link.lastStatus().isLeaseLapsed());
        assertFalse(link.lastStatus().isCrashed(), "draining");
    }

    @Test
    void startAtDrainingWorkerIsRefused() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, true)));
        FakeLink link = awaitReport();
        order(link, 1, 1_000, start("job.0.0.0"), 0);
        Awaitility.await().atMost(TIMEOUT).until(() -> link.outcomes().contains("draining"));
        assertTrue(worker.started.isEmpty());
    }

    @Test
    void ordersOfOlderTermAreIgnored() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        FakeLink link = awaitReport();
        order(link, 5, 1_000, start("new.0.0.0"), 0);
        order(link, 4, 1_000, start("old.0.0.0"), 0);
        order(link, 5, 1_000, start("newer.0.0.0"), 0);
        Awaitility.await().atMost(TIMEOUT).until(() -> worker.started.contains("newer.0.0.0"));
        assertEquals(List.of("new.0.0.0", "newer.0.0.0"), worker.started);
    }

    /** A leader that could not write kept granting leases, and guards stayed connected to it for five seconds. */
    @Test
    void guardLeavesLeaderThatCannotWriteForTheOneInTheStore() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        FakeLink link = awaitReport();
        order(link, 1, 1_000, List.of(), 0);
        entries.leader = "10.0.0.2:1";
        order(link, 1, 1_000, List.of(), 2_500);
        Awaitility.await().atMost(TIMEOUT).until(() -> entries.connected.contains("10.0.0.2:1"));
    }

    /** A leader that failed without closing its connections was left only when the connection timed out. */
    @Test
    void silentLeaderIsLeftForTheOneInTheStore() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        awaitReport();
        entries.leader = "10.0.0.2:1";
        Awaitility.await().atMost(TIMEOUT).until(() -> entries.connected.contains("10.0.0.2:1"));
    }

    /** Guards that left an overloaded leader and connected again kept it overloaded. */
    @Test
    void slowLeaderThatTheStoreStillNamesIsKept() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        awaitReport();
        Awaitility.await()
                .during(Duration.ofMillis(4_000))
                .atMost(TIMEOUT)
                .until(() -> entries.connected.equals(List.of("10.0.0.1:1")));
    }

    /*
     * Helpers
     */

    private FakeLink awaitReport() {
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(() -> !entries.links.isEmpty()
                        && !entries.links.get(0).reports().isEmpty());
        return entries.links.get(0);
    }

    private void awaitPolls(int count) {
        int before = worker.polls.get();
        Awaitility.await().atMost(TIMEOUT).until(() -> worker.polls.get() >= before + count);
    }

    private void order(FakeLink link, long term, long startedAtMs, List<StartRun> starts, long writeAgeMs) {
        order(link, term, startedAtMs, starts, writeAgeMs, 0);
    }

    private void order(
            FakeLink link, long term, long startedAtMs, List<StartRun> starts, long writeAgeMs, long delayMs) {
        LeaderOrders orders = new LeaderOrders(
                term,
                MonotonicClock.system().nowMs() - delayMs,
                new JobWorkerRef("guard", "w", startedAtMs),
                starts,
                List.of(),
                List.of(),
                0,
                writeAgeMs);
        link.listener.accept(new LinkEvent.Received(link, new Frame(0, Body.leaderOrders(orders))));
    }

    private static void stop(FakeLink link, String task) {
        LeaderOrders orders = emptyOrders();
        orders.setStops(List.of(new StopRun(task, 1)));
        link.listener.accept(new LinkEvent.Received(link, new Frame(0, Body.leaderOrders(orders))));
    }

    private static void setCpuShare(FakeLink link, String task, int percent) {
        LeaderOrders orders = emptyOrders();
        orders.setPaces(List.of(new PaceRun(task, 1, percent)));
        link.listener.accept(new LinkEvent.Received(link, new Frame(0, Body.leaderOrders(orders))));
    }

    private static LeaderOrders emptyOrders() {
        return new LeaderOrders(
                1,
                MonotonicClock.system().nowMs(),
                new JobWorkerRef("guard", "w", 1_000),
                List.of(),
                List.of(),
                List.of(),
                0,
                0);
    }

    private static List<StartRun> start(String task) {
        return List.of(new StartRun(task, 1, "text", ""));
    }

    private static WorkerHeartbeat heartbeat(long startedAtMs, long sequence, boolean draining) {
        return new WorkerHeartbeat("w", startedAtMs, "s", "z", new Resources(1, 1, 0), List.of(), draining, sequence);
    }

    /** Worker that accepts every order, or leaves starts unanswered. */
    private static final class FakeCalls implements WorkerCalls {
        private final List<String> started = new CopyOnWriteArrayList<>();
        private final AtomicInteger polls = new AtomicInteger();
        private volatile Lifetime lifetime = new Lifetime("w", 1_000);
        private volatile boolean answering = true;
        private volatile CallResult<WorkerSnapshot> failure;
        private final List<String> stopped = new CopyOnWriteArrayList<>();
        private final List<Integer> shares = new CopyOnWriteArrayList<>();
        private volatile CompletableFuture<CallResult<Void>> heldStart;
        private volatile CompletableFuture<CallResult<Void>> heldStop;
        private volatile CompletableFuture<CallResult<Void>> heldShare;

        @Override
        public CompletionStage<CallResult<Void>> start(
                String workerId, RunStartCall start, long leaseUntilMs, long term, long validForMs) {
            started.add(start.task());
            if (heldStart != null) {
                return heldStart;
            }
            return CompletableFuture.completedFuture(
                    answering ? new CallResult.Done<>(null) : new CallResult.Unanswered<>("no answer", false));
        }

        @Override
        public CompletionStage<CallResult<Void>> stop(String workerId, String task, int run, long term) {
            stopped.add(task);
            return heldStop != null ? heldStop : CompletableFuture.completedFuture(new CallResult.Done<>(null));
        }

        @Override
        public CompletionStage<CallResult<Void>> setCpuShare(
                String workerId, String task, int run, int percent, long term) {
            shares.add(percent);
            return heldShare != null ? heldShare : CompletableFuture.completedFuture(new CallResult.Done<>(null));
        }

        @Override
        public CompletionStage<CallResult<WorkerSnapshot>> poll(
                String workerId, long leaseUntilMs, long term, long acknowledgedEnd, int waitMs) {
            polls.incrementAndGet();
            return CompletableFuture.supplyAsync(
                    () -> failure != null ? failure : answerPoll(workerId, acknowledgedEnd),
                    CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS));
        }

        private CallResult<WorkerSnapshot> answerPoll(String workerId, long acknowledgedEnd) {
            Lifetime answering = lifetime;
            if (!workerId.isEmpty() && !workerId.equals(answering.id)) {
                return new CallResult.Refused<>(OTHER_WORKER);
            }
            List<WorkerReport.Ended> ended = answering.forget(acknowledgedEnd);
            return new CallResult.Done<>(new WorkerSnapshot(answering.id, answering.startedAtMs, 1, List.of(), ended));
        }
    }

    /** One lifetime of the fake worker, with the ends that it lists. */
    private static final class Lifetime {
        private final String id;
        private final long startedAtMs;
        private volatile List<WorkerReport.Ended> ended;

        Lifetime(String id, long startedAtMs, WorkerReport.Ended... ended) {
            this.id = id;
            this.startedAtMs = startedAtMs;
            this.ended = List.of(ended);
        }

        List<WorkerReport.Ended> forget(long upToNumber) {
            ended = ended.stream().filter(end -> end.number() > upToNumber).toList();
            return ended;
        }
    }

    /** Accepts a connection to any address; the store names one address as the leader. */
    private static final class FakeEntries implements RelayLinks {
        private final List<FakeLink> links = new CopyOnWriteArrayList<>();
        private final List<String> connected = new CopyOnWriteArrayList<>();
        private volatile String leader = "10.0.0.1:1";

        @Override
        public void connect(String address, Consumer<LinkEvent> listener) {
            connected.add(address);
            FakeLink link = new FakeLink(address, listener);
            links.add(link);
            listener.accept(new LinkEvent.Opened(link));
        }

        @Override
        public void findLeader(Consumer<String> answer) {
            answer.accept(leader);
        }
    }

    /** Connection that records the messages sent on it. */
    private static final class FakeLink implements FrameLink {
        private final String address;
        private final Consumer<LinkEvent> listener;
        private final List<Body> sent = new CopyOnWriteArrayList<>();

        FakeLink(String address, Consumer<LinkEvent> listener) {
            this.address = address;
            this.listener = listener;
        }

        List<JobWorkerRef> reports() {
            List<JobWorkerRef> refs = new ArrayList<>();
            for (Body body : sent) {
                if (body.getGuardReport().isSetWorker()) {
                    refs.add(body.getGuardReport().getWorker().getRef());
                }
            }
            return refs;
        }

        List<String> ends() {
            List<String> ends = new ArrayList<>();
            for (Body body : sent) {
                if (body.getGuardReport().isSetWorker()) {
                    body.getGuardReport().getWorker().getEnded().forEach(end -> ends.add(end.getTask()));
                }
            }
            return ends;
        }

        WorkerStatus lastStatus() {
            return sent.get(sent.size() - 1).getGuardReport().getWorker();
        }

        List<String> outcomes() {
            List<String> outcomes = new ArrayList<>();
            for (Body body : sent) {
                body.getGuardReport().getOutcomes().forEach(outcome -> outcomes.add(outcome.getOutcome()));
            }
            return outcomes;
        }

        @Override
        public void send(long correlationId, Body body) {
            sent.add(body);
        }

        @Override
        public void close() {
            listener.accept(new LinkEvent.Closed(this, "closed"));
        }

        @Override
        public String remoteAddress() {
            return address;
        }
    }
}
