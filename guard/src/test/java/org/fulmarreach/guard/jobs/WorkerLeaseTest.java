package org.fulmarreach.guard.jobs;

import org.fulmarreach.platform.worker.WorkerCalls;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against tasks that are started elsewhere before the lease of their worker has expired. */
class WorkerLeaseTest {
    private static final long LEASE_MS = 6_000;

    @Test
    void leaseOfEarlierProcessIsAssumedUntilItExpires() {
        WorkerLease lease = new WorkerLease(LEASE_MS, 1_000);
        assertFalse(lease.hasExpired(1_000 + LEASE_MS));
        assertTrue(lease.hasExpired(1_000 + LEASE_MS + LEASE_MS / 50 + 301));
    }

    @Test
    void leaseCountsFromEchoedTick() {
        WorkerLease lease = new WorkerLease(LEASE_MS, 0);
        lease.updateClock(499_700, 9_700);
        assertEquals(WorkerCalls.NO_LEASE, lease.issueUntilMs(9_700), "no grant yet");
        lease.updateClock(500_000, 10_000);
        lease.grant(9_800);
        assertEquals(500_000 + 100 + 5_700, lease.issueUntilMs(10_100), "on the worker's clock");
        assertFalse(lease.hasExpired(9_800 + LEASE_MS));
    }

    @Test
    void restartedWorkerHasNoLeaseUntilItsClockIsRead() {
        WorkerLease lease = new WorkerLease(LEASE_MS, 0);
        lease.updateClock(500_000, 10_000);
        lease.grant(10_000);
        lease.resetClock();
        assertFalse(lease.isGranted(10_001));
    }

    /**
     * The next lifetime under the same id takes a lease that was sent to the former one for its own clock, so its runs
     * may go on for a whole lease. They were started elsewhere before.
     */
    @Test
    void leaseOfTheFormerLifetimeIsAssumedToLastAtTheNextOne() {
        WorkerLease lease = new WorkerLease(LEASE_MS, 0);
        lease.updateClock(500_000, 10_000);
        lease.grant(10_000);
        lease.issueUntilMs(10_001);
        lease.assumeReceived(15_000);
        lease.resetClock();
        assertFalse(lease.hasExpired(15_000 + LEASE_MS));
        assertTrue(lease.hasExpired(15_000 + LEASE_MS + LEASE_MS / 50 + 301));
    }

    /**
     * The monotonic clock does not count a suspension of the VM, so a guard extended the lease by it, while the leader
     * took the lease for expired and started the tasks elsewhere.
     */
    @Test
    void suspensionOfTheVmDoesNotExtendTheLease() {
        WorkerLease lease = new WorkerLease(LEASE_MS, 0);
        lease.updateClock(500_000, 10_000);
        lease.grant(10_000);
        // Of the 5,100 ms that have passed on the worker's clock, the VM was suspended for 5,000.
        lease.updateClock(505_100, 10_100);
        assertTrue(
                lease.issueUntilMs(10_100) <= 500_000 + LEASE_MS + LEASE_MS / 50,
                "lease until " + lease.issueUntilMs(10_100) + " on the worker's clock");
    }

    /** A grant that was echoed before the suspension and read after it counts from its tick, too. */
    @Test
    void grantThatWaitedDuringASuspensionCountsFromItsTick() {
        WorkerLease lease = new WorkerLease(LEASE_MS, 0);
        lease.updateClock(500_000, 10_000);
        lease.updateClock(505_100, 10_100);
        lease.grant(10_050);
        assertTrue(lease.issueUntilMs(10_100) <= 500_050 + LEASE_MS + LEASE_MS / 50);
    }

    /** A lease that ended on the worker's clock during a suspension must not be sent with a start. */
    @Test
    void leaseThatEndedDuringASuspensionIsNotGranted() {
        WorkerLease lease = new WorkerLease(LEASE_MS, 0);
        lease.updateClock(500_000, 10_000);
        lease.grant(10_000);
        lease.updateClock(507_000, 10_100);
        assertFalse(lease.isGranted(10_100));
        lease.grant(10_100);
        assertTrue(lease.isGranted(10_101), "the next grant counts");
    }

    /** Readings are kept for the next ticks only, so that a guard that runs for days does not collect them. */
    @Test
    void leaseIsRenewedWithEachGrant() {
        WorkerLease lease = new WorkerLease(LEASE_MS, 0);
        for (long nowMs = 0; nowMs < 3_600_000; nowMs += 500) {
            lease.updateClock(500_000 + nowMs, nowMs);
            lease.grant(nowMs);
            assertEquals(500_000 + nowMs + LEASE_MS, lease.issueUntilMs(nowMs));
        }
    }

    /**
     * A tick that no reading of the worker's clock preceded was converted by the first later one, so a suspension in
     * between extended the lease, too.
     */
    @Test
    void suspensionBeforeTheFirstReadingDoesNotExtendTheLease() {
        WorkerLease lease = new WorkerLease(LEASE_MS, 0);
        // The worker's clock is at 500,000 at the tick; of the 5,100 ms until the reading, 5,000 are a suspension.
        lease.updateClock(505_100, 10_100);
        lease.grant(10_000);
        assertTrue(
                lease.issueUntilMs(10_100) <= 500_000 + LEASE_MS + LEASE_MS / 50,
                "lease until " + lease.issueUntilMs(10_100) + " on the worker's clock");
        lease.grant(10_100);
        assertEquals(505_100 + LEASE_MS, lease.issueUntilMs(10_100), "the next tick counts");
    }
}
