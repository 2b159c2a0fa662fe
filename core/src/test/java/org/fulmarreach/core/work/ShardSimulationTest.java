package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against two simultaneous executions of one run, against lost work that is not restarted, and against standing
 * work that stops during an outage of the store.
 */
class ShardSimulationTest {
    private static final String STANDING = "packer-sync";

    @Property(seed = "41", tries = 60)
    void noRunExecutesTwiceAtOnceUnderFaults(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        RegionSimulation simulation = new RegionSimulation(seed, WorkTimes.DEFAULT.withRetentionMs(40_000));
        simulation.run(30_000);
        Random faults = new Random(seed + 1);
        simulation.loss = faults.nextInt(3) * 0.1;
        simulation.lateMessages = faults.nextInt(3) * 0.1;
        simulation.lostAnswers = faults.nextInt(3) * 0.2;
        simulation.slowAppends = faults.nextInt(3) * 0.1;
        for (int i = 0; i < 25; i++) {
            injectFault(simulation, faults);
            simulation.run(2_000 + faults.nextInt(25_000));
        }
        heal(simulation);
        simulation.run(60_000);
        assertNotNull(simulation.findLeader(), "no leader after the faults were healed");
        for (FakeGuard guard : simulation.guards.values()) {
            assertTrue(guard.report().tasks().size() < 20, "too many final reports are unacknowledged");
        }
    }

    @Property(seed = "47", tries = 60)
    void noRunExecutesTwiceAtOnceUnderPartitions(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        RegionSimulation simulation = new RegionSimulation(seed, WorkTimes.DEFAULT);
        simulation.run(30_000);
        Random faults = new Random(seed + 1);
        for (int i = 0; i < 3; i++) {
            partition(simulation, faults);
            simulation.run(100_000);
            heal(simulation);
            simulation.run(20_000);
        }
        assertNotNull(simulation.findVm(STANDING), "standing work does not run after the partitions were healed");
    }

    @Property(seed = "42", tries = 30)
    void standingWorkRestartsAfterLossOfVmAndLeader(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        RegionSimulation simulation = new RegionSimulation(seed, WorkTimes.DEFAULT);
        simulation.run(40_000);
        FakeGuard lost = simulation.guards.get(simulation.findVm(STANDING));
        lost.loseVm();
        FakeEntry leader = simulation.findLeader();
        if (seed % 2 == 0) {
            leader.crashed = true;
            simulation.after(3_000, leader::restart);
        }
        long startedMs = simulation.nowMs;
        while (simulation.findVm(STANDING) == null && simulation.nowMs - startedMs < 60_000) {
            simulation.run(50);
        }
        long boundMs = seed % 2 == 0 ? 39_000 : 19_000;
        long tookMs = simulation.nowMs - startedMs;
        assertTrue(tookMs <= boundMs, "restarted after " + tookMs + " ms, limit " + boundMs);
    }

    @Property(seed = "43", tries = 6)
    void standingWorkSurvivesOneHourStoreOutage(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        RegionSimulation simulation = new RegionSimulation(seed, WorkTimes.DEFAULT);
        simulation.run(40_000);
        long epoch = findEpoch(simulation);
        simulation.log.down = true;
        simulation.run(3_600_000);
        simulation.log.down = false;
        simulation.run(60_000);
        assertEquals(epoch, findEpoch(simulation), "epoch of the standing work");
        assertEquals(
                1,
                simulation.starts.stream().filter(s -> s.startsWith(STANDING)).count(),
                "starts");
    }

    @Property(seed = "44", tries = 20)
    void leaderPartitionedFromStoreIsReplacedWithoutStoppingWork(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        RegionSimulation simulation = new RegionSimulation(seed, WorkTimes.DEFAULT);
        simulation.run(40_000);
        FakeEntry oldLeader = simulation.findLeader();
        simulation.log.partitionedClients.add(oldLeader.id);
        simulation.run(300_000);
        FakeEntry current = simulation.findLeader();
        assertTrue(current != null && current != oldLeader, "no other entry became leader");
        assertEquals(
                1,
                simulation.starts.stream().filter(s -> s.startsWith(STANDING)).count(),
                "starts");
    }

    @Property(seed = "46", tries = 40)
    void lossOfLeaderAloneStopsNoWork(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        RegionSimulation simulation = new RegionSimulation(seed, WorkTimes.DEFAULT);
        simulation.run(40_000 + seed % 3_000 / 50 * 50);
        FakeEntry oldLeader = simulation.findLeader();
        oldLeader.crashed = true;
        simulation.run(60_000);
        assertTrue(simulation.findLeader() != null, "no other entry became leader");
        assertEquals(
                1,
                simulation.starts.stream().filter(s -> s.startsWith(STANDING)).count(),
                "starts");
    }

    @Property(seed = "45", tries = 20)
    void evictedRunResumesExactlyOnceFromCheckpoint(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        RegionSimulation simulation = new RegionSimulation(seed, WorkTimes.DEFAULT);
        simulation.guards.values().forEach(guard -> guard.batchMs = 100_000);
        simulation.run(15_000);
        FakeGuard evictingGuard = simulation.guards.get(simulation.findVm("farbplan"));
        simulation.run(30_000);
        evictingGuard.requestsEviction = true;
        if (seed % 2 == 0) {
            simulation.run(seed % 1_000 / 50 * 50);
            simulation.findLeader().crashed = true;
        }
        while (simulation.findVm("farbplan") != null && simulation.nowMs < 120_000) {
            simulation.run(50);
        }
        evictingGuard.requestsEviction = false;
        simulation.run(60_000);
        List<String> resumed = new ArrayList<>();
        for (String start : simulation.starts) {
            if (start.startsWith("farbplan") && !start.endsWith("from null")) {
                resumed.add(start);
            }
        }
        assertEquals(1, resumed.size(), "resumed starts: " + simulation.starts);
        long checkpointMs = Long.parseLong(resumed.get(0).replaceAll(".* from ", ""));
        assertTrue(checkpointMs >= 30_000, "progress at the checkpoint: " + checkpointMs);
    }

    private static long findEpoch(RegionSimulation simulation) {
        return simulation
                .findLeader()
                .leader
                .state()
                .find(new RunKey(STANDING, 0))
                .task()
                .epoch();
    }

    private static void injectFault(RegionSimulation simulation, Random faults) {
        List<FakeEntry> entries = List.copyOf(simulation.entries.values());
        List<FakeGuard> guards = List.copyOf(simulation.guards.values());
        FakeEntry entry = entries.get(faults.nextInt(entries.size()));
        FakeEntry leader = simulation.findLeader() == null ? entry : simulation.findLeader();
        FakeGuard guard = guards.get(faults.nextInt(guards.size()));
        String standingVm = simulation.findVm(STANDING);
        FakeGuard busy = standingVm == null ? guard : simulation.guards.get(standingVm);
        switch (faults.nextInt(14)) {
            case 0 -> leader.pausedUntilMs = simulation.nowMs + faults.nextInt(60_000);
            case 1 -> leader.restart();
            case 2 -> simulation.log.down = !simulation.log.down;
            case 3 -> simulation.log.partitionedClients.add(leader.id);
            case 4 -> simulation.log.partitionedClients.clear();
            case 5 -> busy.pausedUntilMs = simulation.nowMs + faults.nextInt(40_000);
            case 6 -> busy.restart();
            case 7 -> simulation.guardsWithoutInbound.add(busy.vm.id());
            case 8 -> simulation.guardsWithoutOutbound.add(busy.vm.id());
            case 9 -> {
                simulation.guardsWithoutInbound.clear();
                simulation.guardsWithoutOutbound.clear();
            }
            case 10 -> entry.blockedPeers.add(leader.id);
            case 11 -> simulation.entries.values().forEach(e -> e.blockedPeers.clear());
            case 12 -> busy.requestsEviction = !busy.requestsEviction;
            default ->
                simulation.log.firstRetainedOffset =
                        Math.max(simulation.log.firstRetainedOffset, simulation.log.records.size() - 60);
        }
    }

    /**
     * Creates random partitions: probably between the leader and the store and between the standing work's VM and the
     * other entries, less often between other entries and the store and between entries.
     */
    private static void partition(RegionSimulation simulation, Random faults) {
        FakeEntry leader = simulation.findLeader();
        String busyVm = simulation.findVm(STANDING);
        for (FakeEntry entry : simulation.entries.values()) {
            if (faults.nextDouble() < (entry == leader ? 0.8 : 0.35)) {
                simulation.log.partitionedClients.add(entry.id);
            }
            if (entry != leader && busyVm != null && faults.nextDouble() < 0.8) {
                entry.partitionedGuards.add(busyVm);
            }
            for (FakeEntry other : simulation.entries.values()) {
                if (other != entry && faults.nextDouble() < 0.3) {
                    entry.blockedPeers.add(other.id);
                }
            }
        }
    }

    private static void heal(RegionSimulation simulation) {
        simulation.loss = 0;
        simulation.lateMessages = 0;
        simulation.log.down = false;
        simulation.log.partitionedClients.clear();
        simulation.guardsWithoutInbound.clear();
        simulation.guardsWithoutOutbound.clear();
        simulation.entries.values().forEach(entry -> {
            entry.blockedPeers.clear();
            entry.partitionedGuards.clear();
            entry.pausedUntilMs = 0;
        });
        simulation.guards.values().forEach(guard -> guard.pausedUntilMs = 0);
    }
}
