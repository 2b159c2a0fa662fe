package org.fulmarreach.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.fulmarreach.core.model.AvailabilityZone;
import org.fulmarreach.core.model.TaskId;
import org.fulmarreach.core.model.Vm;
import org.fulmarreach.core.rules.ParseResult;
import org.fulmarreach.core.rules.Rules;
import org.fulmarreach.core.rules.RulesParser;
import org.fulmarreach.core.work.GuardReport;
import org.fulmarreach.core.work.RunKey;
import org.fulmarreach.core.work.WorkNotice;
import org.fulmarreach.protocol.io.ThriftBytes;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.PeerStatus;
import org.fulmarreach.protocol.thrift.ServiceSummary;

/** Simulation of one scenario under one policy: VMs, entries, log and region links in virtual time. */
final class Simulation {
    /** Wall-clock time at the start, in UTC milliseconds; a batch interval begins at it. */
    static final long START_WALL_MS = 1_800_000_000_000L;

    private static final double MEDIAN_SERVICE_MS = 80;
    private static final double SERVICE_LOG_SIGMA = 0.45;
    private static final double MEAN_SERVICE_MS =
            MEDIAN_SERVICE_MS * Math.exp(SERVICE_LOG_SIGMA * SERVICE_LOG_SIGMA / 2);
    private static final double NON_IDEMPOTENT_FRACTION = 0.3;
    private static final long DEADLINE_MS = 2_000;
    private static final long HOP_MS = 1;
    private static final long HEARTBEAT_MS = 500;
    private static final long ROUTER_TICK_MS = 20;
    private static final long WINDOW_MS = 2_000;
    private static final long P99_INTERVAL_MS = 10_000;
    private static final long STANDING_CHECK_MS = 1_000;
    /** Bytes of length prefix, TCP and IP around a frame. */
    private static final int FRAME_BYTES = 44;

    final Timeline timeline = new Timeline();
    final Measures measures = new Measures();
    final SimLog log = new SimLog();
    final Scenario scenario;
    final Policy policy;
    final Map<String, SimVm> vms = new LinkedHashMap<>();
    final List<SimCallRouter> callRouters = new ArrayList<>();
    final List<SimWorkNode> workNodes = new ArrayList<>();
    final Map<String, Work> works = new HashMap<>();
    final Random faultRandom;
    private final RegionLink homeToFar;
    private final RegionLink farToHome;
    private final Random arrivals;
    final Rules rules;
    final Set<String> cancelled = new HashSet<>();
    /** Virtual time at which the VM of a run was lost. */
    final Map<RunKey, Long> vmLostAtMs = new HashMap<>();

    private long workerFailedAtMs = Long.MAX_VALUE;

    Simulation(Scenario scenario, Policy policy, long seed) {
        this.scenario = scenario;
        this.policy = policy;
        Random seeds = new Random(seed);
        arrivals = new Random(seeds.nextLong());
        faultRandom = new Random(seeds.nextLong());
        homeToFar = new RegionLink(timeline, new Random(seeds.nextLong()));
        farToHome = new RegionLink(timeline, new Random(seeds.nextLong()));
        List<Work> mix = scenario.mix().construct(scenario.site(), seeds.nextLong());
        mix.forEach(work -> works.put(work.name(), work));
        List<String> lines = policy.hasBatch() ? mix.stream().map(Work::line).toList() : List.of();
        rules = switch (RulesParser.parse(lines)) {
            case ParseResult.Parsed parsed -> parsed.rules();
            case ParseResult.Faulty faulty ->
                throw new IllegalStateException("generated rules do not parse: " + faulty.faults());
        };
        Random lags = new Random(seeds.nextLong());
        for (Vm vm : scenario.site().constructVms()) {
            int lagMs = scenario.minLagMs() + lags.nextInt(scenario.maxLagMs() - scenario.minLagMs() + 1);
            vms.put(vm.id(), new SimVm(this, vm, lagMs));
        }
        int number = 0;
        for (AvailabilityZone zone : scenario.site().constructEntryZones()) {
            String region = zone.region().name();
            boolean home = region.equals(scenario.site().homeRegion());
            callRouters.add(new SimCallRouter(this, zone.name(), home, seeds.nextLong()));
            workNodes.add(new SimWorkNode(this, "entry-" + number++, region, zone.name(), rules, seeds.nextLong()));
        }
    }

    // Lifecycle

    Measures run() {
        vms.values().forEach(this::startVm);
        timeline.every(HEARTBEAT_MS, this::exchangePeers);
        callRouters.forEach(router -> timeline.every(ROUTER_TICK_MS, () -> {
            if (!router.crashed) {
                router.tick();
            }
        }));
        if (policy.hasBatch()) {
            workNodes.forEach(SimWorkNode::start);
            timeline.every(STANDING_CHECK_MS, this::checkStanding);
        }
        timeline.every(P99_INTERVAL_MS, measures::addP99Point);
        scenario.faults().accept(this);
        timeline.after(1_000, () -> scheduleNextCall(true));
        timeline.after(1_000, () -> scheduleNextCall(false));
        timeline.runUntil(scenario.durationMs());
        vms.values().forEach(vm -> measures.batchCoreMs += vm.tasks.computeUnfinishedCoreMs());
        measures.durationMs = scenario.durationMs();
        measures.appends = log.appends();
        measures.internalLinkBytes = Math.max(homeToFar.internalBytes(), farToHome.internalBytes());
        measures.callLinkBytes = Math.max(homeToFar.callBytes(), farToHome.callBytes());
        return measures;
    }

    private void startVm(SimVm vm) {
        whileAlive(vm, SimGuardTasks.STEP_MS, vm.tasks::advanceTasks);
        whileAlive(vm, 1_000, vm.tasks::sampleUsage);
        whileAlive(vm, WINDOW_MS, vm.tasks::closeWindow);
        whileAlive(vm, HEARTBEAT_MS, () -> sendHeartbeats(vm));
    }

    private void whileAlive(SimVm vm, long periodMs, Runnable action) {
        timeline.every(periodMs, () -> {
            if (!vm.crashed) {
                action.run();
            }
        });
    }

    private void sendHeartbeats(SimVm vm) {
        GuardReport report = vm.tasks.report();
        int inUse = vm.inUse();
        String region = vm.vm.zone().region().name();
        timeline.after(HOP_MS, () -> {
            for (int i = 0; i < workNodes.size(); i++) {
                SimWorkNode node = workNodes.get(i);
                if (node.region.equals(region) && !node.crashed) {
                    node.receiveHeartbeat(report);
                    callRouters.get(i).receiveHeartbeat(vm, inUse);
                }
            }
        });
    }

    private void exchangePeers() {
        for (int i = 0; i < workNodes.size(); i++) {
            for (int j = 0; j < workNodes.size(); j++) {
                if (i == j || workNodes.get(j).crashed) {
                    continue;
                }
                SimWorkNode from = workNodes.get(i);
                SimWorkNode to = workNodes.get(j);
                if (from.region.equals(to.region)) {
                    to.receivePeer(from);
                } else if (!from.crashed) {
                    SimCallRouter sender = callRouters.get(i);
                    SimCallRouter receiver = callRouters.get(j);
                    int freeSlots = sender.findFreeSlots();
                    link(sender.home)
                            .sendInternal(
                                    computeStatusBytes(from, freeSlots),
                                    () -> receiver.receiveSummary(sender, freeSlots));
                }
            }
        }
    }

    private int computeStatusBytes(SimWorkNode from, int freeSlots) {
        ServiceSummary summary = new ServiceSummary(scenario.site().service(), 8, 64, 64 - freeSlots);
        PeerStatus status =
                new PeerStatus(from.id, 1_000, List.of(summary), 8, 1_000, true, false, from.zone, from.region);
        return ThriftBytes.encode(new Frame(0, Body.peerStatus(status))).length + FRAME_BYTES;
    }

    private void checkStanding() {
        if (timeline.nowMs() < Scenario.WARM_UP_MS) {
            return;
        }
        Set<String> running = new HashSet<>();
        vms.values().forEach(vm -> vm.tasks.collectStanding(running));
        for (Work work : works.values()) {
            if (work.standing() && !running.contains(work.name())) {
                measures.standingDownMs += STANDING_CHECK_MS;
            }
        }
    }

    // Calls

    private void scheduleNextCall(boolean home) {
        double capacityPerMs = Site.VMS * Site.SLOTS / MEAN_SERVICE_MS;
        double perMs = scenario.load().ratioAt(timeline.nowMs(), home) * capacityPerMs;
        double gapMs = -Math.log(1 - arrivals.nextDouble()) / Math.max(1e-6, perMs);
        double baseMs = MEDIAN_SERVICE_MS * Math.exp(SERVICE_LOG_SIGMA * arrivals.nextGaussian());
        boolean idempotent = arrivals.nextDouble() >= NON_IDEMPOTENT_FRACTION;
        int entryPick = arrivals.nextInt(1_000);
        timeline.after(Math.round(Math.min(gapMs, 10_000)), () -> {
            submit(home, baseMs, idempotent, entryPick);
            scheduleNextCall(home);
        });
    }

    private void submit(boolean home, double baseMs, boolean idempotent, int entryPick) {
        long nowMs = timeline.nowMs();
        List<SimCallRouter> live = callRouters.stream()
                .filter(router -> router.home == home && !router.crashed)
                .toList();
        Call call = new Call(nowMs, nowMs + DEADLINE_MS, baseMs, idempotent);
        if (isMeasured(call)) {
            measures.offered++;
        }
        if (live.isEmpty()) {
            refuseCall(call);
        } else {
            SimCallRouter router = live.get(entryPick % live.size());
            timeline.after(HOP_MS, () -> router.submit(call));
        }
    }

    /** Excludes calls of the warm-up and calls whose deadline is after the end of the scenario. */
    private boolean isMeasured(Call call) {
        return call.startMs >= Scenario.WARM_UP_MS && call.deadlineMs < scenario.durationMs();
    }

    void endCall(Call call, boolean success, long serviceMs) {
        if (call.ended || !isMeasured(call)) {
            return;
        }
        call.ended = true;
        long nowMs = timeline.nowMs() + HOP_MS;
        measures.slotMs += serviceMs;
        measures.endedCalls++;
        if (!success) {
            measures.failed++;
        } else if (nowMs > call.deadlineMs) {
            measures.late++;
            measures.recordLatency(DEADLINE_MS);
        } else {
            measures.inTime++;
            measures.usefulSlotMs += serviceMs;
            measures.recordLatency(nowMs - call.startMs);
        }
    }

    void refuseCall(Call call) {
        if (!call.ended && isMeasured(call)) {
            call.ended = true;
            measures.refused++;
        }
    }

    // Work

    void countStart(RunKey key, SimVm simVm) {
        measures.countStart(key, simVm.vm.id());
        if (timeline.nowMs() - 30_000 >= workerFailedAtMs) {
            measures.startsWhileFailing++;
            measures.startsOnFailing += simVm.failing ? 1 : 0;
        }
    }

    void succeed(TaskId task, Work work) {
        measures.succeededWallMs.putIfAbsent(RunKey.of(task), wallMs());
        measures.batchCoreMs += work.runtimeMs() * (double) work.size().milliCores() / 1_000;
    }

    void recordNotice(WorkNotice notice) {
        if (SimWorkNode.isEviction(notice)) {
            measures.evictions++;
        }
    }

    // Faults

    void failWorker(String vm) {
        findVm(vm).failing = true;
        workerFailedAtMs = timeline.nowMs();
    }

    void loseVm(SimVm vm) {
        vm.crash();
        workNodes.forEach(node -> node.receiveGuardLost(vm.vm.id()));
    }

    /** Fails all VMs and entries of a zone. */
    void loseZone(String zone) {
        vms.values().stream().filter(vm -> vm.vm.zone().name().equals(zone)).forEach(this::loseVm);
        for (int i = 0; i < workNodes.size(); i++) {
            if (workNodes.get(i).zone.equals(zone)) {
                workNodes.get(i).crashed = true;
                callRouters.get(i).crashed = true;
            }
        }
    }

    void saturateLink() {
        homeToFar.saturated = true;
        farToHome.saturated = true;
    }

    // Lookups

    long wallMs() {
        return START_WALL_MS + timeline.nowMs();
    }

    /** Returns the link from the home region if {@code fromHome}, otherwise the link to it. */
    RegionLink link(boolean fromHome) {
        return fromHome ? homeToFar : farToHome;
    }

    long findFarReadDelayMs() {
        return homeToFar.saturated ? 110 : 10;
    }

    Work findWork(String name) {
        return works.get(name);
    }

    SimVm findVm(String id) {
        return vms.get(id);
    }

    SimWorkNode findWorkNode(String id) {
        return workNodes.stream().filter(node -> node.id.equals(id)).findFirst().orElseThrow();
    }

    /** Tells whether an entry reads the log for its region; the first live entry does. */
    boolean isLogReader(SimWorkNode node) {
        return workNodes.stream()
                .filter(other -> other.region.equals(node.region) && !other.crashed)
                .findFirst()
                .orElseThrow()
                .equals(node);
    }
}
