package org.fulmarreach.guard.jobs;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.worker.CallResult;
import org.fulmarreach.platform.worker.WorkerHeartbeat;
import org.fulmarreach.protocol.thrift.JobWorkerRef;
import org.fulmarreach.protocol.thrift.WorkerStatus;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/**
 * Heartbeats and deregistrations of other writers. The guard reported the lifetimes that they name, and the leader gave
 * up all runs of the worker, which worked on, and started their tasks elsewhere.
 */
class StrangeHeartbeatTest extends RelayTestBase {
    private static final JobWorkerRef PRESENT = new JobWorkerRef("guard", "w", 1_000);
    private static final long YEAR_9999_UNIX_MS = 253_370_764_800_000L;
    private static final Resources ROOM = new Resources(1, 1, 0);

    private FakeLink link;

    @BeforeEach
    void connect() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1, false)));
        link = awaitReport();
        awaitStatus(link, WorkerStatus::isReachable);
    }

    @Test
    void newLifetimeThatTheWorkerDoesNotConfirmIsNotReported() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(2_000, 1, false)));
        assertOnlyPresentIsReported();
    }

    @Test
    void otherIdThatTheWorkerDoesNotConfirmIsNotReported() {
        relay.tell(new RelayCommand.HeartbeatReceived(described("other", 2_000, "s", ROOM, false, 1)));
        assertOnlyPresentIsReported();
    }

    /** The true heartbeats were refused for ever as those of a former lifetime. */
    @Test
    void startTimeInTheFutureDoesNotHideTheWorker() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(YEAR_9999_UNIX_MS, 1, false)));
        awaitPolls(3);
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 2, true)));
        awaitStatus(link, WorkerStatus::isDraining);
        assertOnlyPresentIsReported();
    }

    @Test
    void silentWorkerIsNotReplacedByALifetimeThatNobodyHasConfirmed() {
        worker.failure = new CallResult.Unanswered<>("timed out", false);
        awaitStatus(link, status -> !status.isReachable());
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(2_000, 1, false)));
        assertOnlyPresentIsReported();
    }

    /** A heartbeat that comes while nothing answers is believed as soon as the worker confirms it. */
    @Test
    void lifetimeIsReportedOnceItAnswers() {
        worker.failure = new CallResult.Unanswered<>("connection refused", true);
        awaitPolls(2);
        relay.tell(new RelayCommand.HeartbeatReceived(described("next", 2_000, "s", ROOM, false, 1)));
        awaitPolls(2);
        worker.lifetime = new Lifetime("next", 2_000);
        worker.failure = null;
        awaitStatus(link, status -> status.getRef().equals(new JobWorkerRef("guard", "next", 2_000)));
    }

    /** A worker whose clock was set back starts again with an earlier start time; it was never used again. */
    @Test
    void earlierStartTimeIsReportedOnceTheWorkerConfirmsIt() {
        worker.lifetime = new Lifetime("w", 500);
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(500, 1, false)));
        awaitStatus(link, status -> status.getRef().getBornMs() == 500 && status.isReachable());
    }

    /** What a worker is does not change during its lifetime, so the first description holds. */
    @Test
    void descriptionOfThePresentLifetimeDoesNotChange() {
        relay.tell(
                new RelayCommand.HeartbeatReceived(described("w", 1_000, "unknown", new Resources(9, 9, 0), false, 2)));
        awaitPolls(3);
        awaitStatus(link, WorkerStatus::isReachable);
        assertEquals("s", link.lastStatus().getServiceName());
        assertEquals(1, link.lastStatus().getCapacity().getMilliCores());
    }

    /** A number that the worker never reaches hid its own heartbeats, so that it was placed on while it drained. */
    @Test
    void largeNumberDoesNotHideThatTheWorkerDrains() {
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 1L << 50, false)));
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 2, true)));
        awaitStatus(link, WorkerStatus::isDraining);
    }

    /** One heartbeat of another writer must not keep a worker out of use for ever. */
    @Test
    void repeatedHeartbeatsOfTheWorkerPrevail() {
        relay.tell(new RelayCommand.HeartbeatReceived(described("w", 1_000, "unknown", ROOM, true, 1L << 50)));
        awaitStatus(link, WorkerStatus::isDraining);
        AtomicLong number = new AtomicLong(1);
        awaitStatus(link, status -> {
            relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, number.incrementAndGet(), false)));
            return !status.isDraining();
        });
        assertEquals("s", link.lastStatus().getServiceName());
    }

    /** The lease of a worker that works on was taken for over as soon as its port refused connections. */
    @Test
    void deregistrationOfAWorkerThatDoesNotDrainEndsNoLease() {
        order(link, 1, 1_000, List.of(), 0);
        relay.tell(new RelayCommand.Deregistered("w"));
        worker.failure = new CallResult.Unanswered<>("connection refused", true);
        awaitPolls(8);
        awaitStatus(link, status -> !status.isReachable());
        assertFalse(link.lastStatus().isLeaseLapsed());
    }

    @Test
    void deregistrationIsForgottenIfTheWorkerAnswersAfterIt() {
        order(link, 1, 1_000, List.of(), 0);
        relay.tell(new RelayCommand.HeartbeatReceived(heartbeat(1_000, 2, true)));
        relay.tell(new RelayCommand.Deregistered("w"));
        // A worker that ends answers no poll later than a second after its deregistration; each takes 50 ms.
        awaitPolls(25);
        worker.failure = new CallResult.Unanswered<>("connection refused", true);
        awaitPolls(8);
        awaitStatus(link, status -> !status.isReachable());
        assertFalse(link.lastStatus().isLeaseLapsed());
    }

    /** Waits for some polls and checks that no other lifetime was reported at any time. */
    private void assertOnlyPresentIsReported() {
        awaitPolls(6);
        awaitStatus(link, status -> true);
        for (JobWorkerRef ref : link.reports()) {
            assertEquals(PRESENT, ref);
        }
    }

    private static WorkerHeartbeat described(
            String id, long startedAtMs, String service, Resources capacity, boolean draining, long sequence) {
        return new WorkerHeartbeat(id, startedAtMs, service, "z", capacity, List.of(), draining, sequence);
    }
}
