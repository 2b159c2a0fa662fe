package org.fulmarreach.core.work;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** A simulated entry that follows or leads the only shard; it has its own clock offset. */
final class FakeEntry {
    final RegionSimulation simulation;
    final String id;
    final String zone;
    final long clockOffsetMs;
    final Set<String> blockedPeers = new HashSet<>();
    final Set<String> partitionedGuards = new HashSet<>();
    final List<Action.Notify> notices = new ArrayList<>();
    final List<Action> answers = new ArrayList<>();
    ShardLeader leader;
    long incarnation;
    long pausedUntilMs;
    boolean crashed;
    private final List<Runnable> inbox = new ArrayList<>();
    private boolean reading;

    FakeEntry(RegionSimulation simulation, String id, String zone, long clockOffsetMs) {
        this.simulation = simulation;
        this.id = id;
        this.zone = zone;
        this.clockOffsetMs = clockOffsetMs;
        restart();
    }

    void restart() {
        incarnation++;
        inbox.clear();
        reading = false;
        crashed = false;
        ShardId shard = new ShardId("sued", 0, 1, id, incarnation);
        leader = new ShardLeader(
                shard, zone, simulation.times, new Random(simulation.random.nextLong()), InvariantCheck.THROWING);
        leader.onRules(simulation.rules);
    }

    long clock() {
        return simulation.nowMs + clockOffsetMs;
    }

    boolean isRunning() {
        return !crashed && simulation.nowMs >= pausedUntilMs;
    }

    /** Delivers an input to the entry; it is queued while the process is paused and lost if the process has crashed. */
    void post(Runnable input) {
        long sentTo = incarnation;
        if (!crashed) {
            inbox.add(() -> {
                if (sentTo == incarnation) {
                    input.run();
                }
            });
        }
    }

    void step() {
        if (!isRunning()) {
            return;
        }
        List<Runnable> inputs = List.copyOf(inbox);
        inbox.clear();
        inputs.forEach(Runnable::run);
        if (simulation.nowMs % 100 == 0) {
            read();
        }
        if (simulation.nowMs % 250 == 0) {
            leader.tick(clock(), simulation.wallMs());
        }
        leader.drain().forEach(this::perform);
    }

    private void read() {
        if (reading) {
            return;
        }
        reading = true;
        long issuedMs = clock();
        ShardLeader reader = leader;
        simulation.after(simulation.delay(), () -> {
            boolean reached = simulation.log.reaches(id);
            long from = reader.nextOffset();
            int first = simulation.log.firstRetainedOffset;
            List<LoggedBatch> found = !reached || from < first ? List.of() : simulation.log.read(from);
            post(() -> {
                reading = false;
                if (!reached) {
                    reader.onReadFailed(clock());
                } else if (from < first) {
                    reader.onTruncated(first, clock());
                } else {
                    reader.onRead(issuedMs, found, true, clock());
                }
            });
        });
    }

    private void perform(Action action) {
        switch (action) {
            case Action.Append append -> append(append.batch());
            case Action.ToGuard message -> simulation.sendToGuard(this, message.vm(), message.message());
            case Action.ToPeer message -> simulation.sendToPeer(this, message.entryId(), message.message());
            case Action.ProbeStore probe -> {
                boolean reached = simulation.log.reaches(id);
                simulation.after(simulation.delay(), () -> post(() -> leader.onProbeResult(reached, clock())));
            }
            case Action.Notify notice -> notices.add(notice);
            default -> answers.add(action);
        }
    }

    private void append(WorkBatch batch) {
        boolean requestArrives = simulation.log.reaches(id);
        boolean answerArrives = requestArrives && simulation.random.nextDouble() >= simulation.lostAnswers;
        long takesEffectMs = simulation.random.nextDouble() < simulation.slowAppends ? 3_000 : simulation.delay();
        if (requestArrives) {
            simulation.after(takesEffectMs, () -> simulation.log.records.add(batch));
        }
        boolean success = answerArrives && takesEffectMs < 2_000;
        long answeredMs = success ? takesEffectMs : 2_000;
        simulation.after(answeredMs, () -> post(() -> leader.onAppendResult(batch.batchId(), success, clock())));
    }
}
