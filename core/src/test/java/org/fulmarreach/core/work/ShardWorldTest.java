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
class ShardWorldTest {
    private static final String STANDING = "packer-sync";

    @Property(seed = "41", tries = 60)
    void noRunExecutesTwiceAtOnceUnderFaults(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        World world = new World(seed, WorkTimes.DEFAULT.withRetentionMs(40_000));
        world.run(30_000);
        Random faults = new Random(seed + 1);
        world.loss = faults.nextInt(3) * 0.1;
        world.lateMessages = faults.nextInt(3) * 0.1;
        world.lostAnswers = faults.nextInt(3) * 0.2;
        world.slowAppends = faults.nextInt(3) * 0.1;
        for (int i = 0; i < 25; i++) {
            injectFault(world, faults);
            world.run(2_000 + faults.nextInt(25_000));
        }
        heal(world);
        world.run(60_000);
        assertNotNull(world.findLeader(), "no leader after the faults were healed");
        for (FakeGuard guard : world.guards.values()) {
            assertTrue(guard.report().tasks().size() < 20, "too many final reports are unacknowledged");
        }
    }

    @Property(seed = "47", tries = 60)
    void noRunExecutesTwiceAtOnceUnderPartitions(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        World world = new World(seed, WorkTimes.DEFAULT);
        world.run(30_000);
        Random faults = new Random(seed + 1);
        for (int i = 0; i < 3; i++) {
            partition(world, faults);
            world.run(100_000);
            heal(world);
            world.run(20_000);
        }
        assertNotNull(world.findVm(STANDING), "standing work does not run after the partitions were healed");
    }

    @Property(seed = "42", tries = 30)
    void standingWorkRestartsAfterLossOfVmAndLeader(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        World world = new World(seed, WorkTimes.DEFAULT);
        world.run(40_000);
        FakeGuard lost = world.guards.get(world.findVm(STANDING));
        lost.loseVm();
        FakeEntry leader = world.findLeader();
        if (seed % 2 == 0) {
            leader.crashed = true;
            world.after(3_000, leader::restart);
        }
        long startedMs = world.nowMs;
        while (world.findVm(STANDING) == null && world.nowMs - startedMs < 60_000) {
            world.run(50);
        }
        long boundMs = seed % 2 == 0 ? 39_000 : 19_000;
        long tookMs = world.nowMs - startedMs;
        assertTrue(tookMs <= boundMs, "restarted after " + tookMs + " ms, limit " + boundMs);
    }

    @Property(seed = "43", tries = 6)
    void standingWorkSurvivesOneHourStoreOutage(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        World world = new World(seed, WorkTimes.DEFAULT);
        world.run(40_000);
        long epoch = findEpoch(world);
        world.log.down = true;
        world.run(3_600_000);
        world.log.down = false;
        world.run(60_000);
        assertEquals(epoch, findEpoch(world), "epoch of the standing work");
        assertEquals(
                1, world.starts.stream().filter(s -> s.startsWith(STANDING)).count(), "starts");
    }

    @Property(seed = "44", tries = 20)
    void leaderPartitionedFromStoreIsReplacedWithoutStoppingWork(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        World world = new World(seed, WorkTimes.DEFAULT);
        world.run(40_000);
        FakeEntry oldLeader = world.findLeader();
        world.log.partitionedClients.add(oldLeader.id);
        world.run(300_000);
        FakeEntry current = world.findLeader();
        assertTrue(current != null && current != oldLeader, "no other entry became leader");
        assertEquals(
                1, world.starts.stream().filter(s -> s.startsWith(STANDING)).count(), "starts");
    }

    @Property(seed = "46", tries = 40)
    void lossOfLeaderAloneStopsNoWork(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        World world = new World(seed, WorkTimes.DEFAULT);
        world.run(40_000 + seed % 3_000 / 50 * 50);
        FakeEntry oldLeader = world.findLeader();
        oldLeader.crashed = true;
        world.run(60_000);
        assertTrue(world.findLeader() != null, "no other entry became leader");
        assertEquals(
                1, world.starts.stream().filter(s -> s.startsWith(STANDING)).count(), "starts");
    }

    @Property(seed = "45", tries = 20)
    void evictedRunResumesExactlyOnceFromCheckpoint(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        World world = new World(seed, WorkTimes.DEFAULT);
        world.guards.values().forEach(guard -> guard.batchMs = 100_000);
        world.run(15_000);
        FakeGuard evictingGuard = world.guards.get(world.findVm("farbplan"));
        world.run(30_000);
        evictingGuard.requestsEviction = true;
        if (seed % 2 == 0) {
            world.run(seed % 1_000 / 50 * 50);
            world.findLeader().crashed = true;
        }
        while (world.findVm("farbplan") != null && world.nowMs < 120_000) {
            world.run(50);
        }
        evictingGuard.requestsEviction = false;
        world.run(60_000);
        List<String> resumed = new ArrayList<>();
        for (String start : world.starts) {
            if (start.startsWith("farbplan") && !start.endsWith("from null")) {
                resumed.add(start);
            }
        }
        assertEquals(1, resumed.size(), "resumed starts: " + world.starts);
        long checkpointMs = Long.parseLong(resumed.get(0).replaceAll(".* from ", ""));
        assertTrue(checkpointMs >= 30_000, "progress at the checkpoint: " + checkpointMs);
    }

    private static long findEpoch(World world) {
        return world.findLeader()
                .leader
                .state()
                .find(new RunKey(STANDING, 0))
                .task()
                .epoch();
    }

    private static void injectFault(World world, Random faults) {
        List<FakeEntry> entries = List.copyOf(world.entries.values());
        List<FakeGuard> guards = List.copyOf(world.guards.values());
        FakeEntry entry = entries.get(faults.nextInt(entries.size()));
        FakeEntry leader = world.findLeader() == null ? entry : world.findLeader();
        FakeGuard guard = guards.get(faults.nextInt(guards.size()));
        String standingVm = world.findVm(STANDING);
        FakeGuard busy = standingVm == null ? guard : world.guards.get(standingVm);
        switch (faults.nextInt(14)) {
            case 0 -> leader.pausedUntilMs = world.nowMs + faults.nextInt(60_000);
            case 1 -> leader.restart();
            case 2 -> world.log.down = !world.log.down;
            case 3 -> world.log.partitionedClients.add(leader.id);
            case 4 -> world.log.partitionedClients.clear();
            case 5 -> busy.pausedUntilMs = world.nowMs + faults.nextInt(40_000);
            case 6 -> busy.restart();
            case 7 -> world.guardsWithoutInbound.add(busy.vm.id());
            case 8 -> world.guardsWithoutOutbound.add(busy.vm.id());
            case 9 -> {
                world.guardsWithoutInbound.clear();
                world.guardsWithoutOutbound.clear();
            }
            case 10 -> entry.blockedPeers.add(leader.id);
            case 11 -> world.entries.values().forEach(e -> e.blockedPeers.clear());
            case 12 -> busy.requestsEviction = !busy.requestsEviction;
            default ->
                world.log.firstRetainedOffset = Math.max(world.log.firstRetainedOffset, world.log.records.size() - 60);
        }
    }

    /**
     * Creates random partitions: probably between the leader and the store and between the standing work's VM and the
     * other entries, less often between other entries and the store and between entries.
     */
    private static void partition(World world, Random faults) {
        FakeEntry leader = world.findLeader();
        String busyVm = world.findVm(STANDING);
        for (FakeEntry entry : world.entries.values()) {
            if (faults.nextDouble() < (entry == leader ? 0.8 : 0.35)) {
                world.log.partitionedClients.add(entry.id);
            }
            if (entry != leader && busyVm != null && faults.nextDouble() < 0.8) {
                entry.partitionedGuards.add(busyVm);
            }
            for (FakeEntry other : world.entries.values()) {
                if (other != entry && faults.nextDouble() < 0.3) {
                    entry.blockedPeers.add(other.id);
                }
            }
        }
    }

    private static void heal(World world) {
        world.loss = 0;
        world.lateMessages = 0;
        world.log.down = false;
        world.log.partitionedClients.clear();
        world.guardsWithoutInbound.clear();
        world.guardsWithoutOutbound.clear();
        world.entries.values().forEach(entry -> {
            entry.blockedPeers.clear();
            entry.partitionedGuards.clear();
            entry.pausedUntilMs = 0;
        });
        world.guards.values().forEach(guard -> guard.pausedUntilMs = 0);
    }
}
