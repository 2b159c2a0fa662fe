package org.fulmarreach.bench.policy;

import java.util.ArrayDeque;
import java.util.Deque;

import org.HdrHistogram.Histogram;
import org.fulmarreach.core.admission.CallAdmission;
import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.model.Target;
import org.fulmarreach.core.model.Vm;

/** A VM with its target and the call admission of its guard. Running tasks increase the latency of calls. */
final class SimVm {
    private static final long HOP_MS = 1;
    private static final long FAILED_CALL_MS = 5;
    private static final double SLOT_MILLI_CORES = 1_000;

    final Vm vm;
    final SimGuardTasks tasks;
    final Histogram latencyWindow = new Histogram(60_000, 3);
    boolean crashed;
    boolean failing;
    private final Simulation simulation;
    private final CallAdmission admission = new CallAdmission();
    private final Deque<Call> waiting = new ArrayDeque<>();
    private int inUse;

    SimVm(Simulation simulation, Vm vm, int lagMs) {
        this.simulation = simulation;
        this.vm = vm;
        this.tasks = new SimGuardTasks(simulation, this, lagMs);
        admission.applyTarget(new Target(simulation.scenario.site().service(), Site.SLOTS, Site.CONNECTIONS, false));
    }

    int inUse() {
        return inUse;
    }

    /** Receives a call from an entry. */
    void receive(Call call) {
        if (crashed) {
            return;
        }
        if (!simulation.policy.admitsCalls()) {
            if (inUse < Site.SLOTS) {
                run(call);
            } else {
                waiting.addLast(call);
            }
        } else if (admission.acquire() instanceof Result.Ok<Integer>) {
            run(call);
        } else {
            SimCallRouter handler = call.handler;
            simulation.timeline.after(HOP_MS, () -> handler.receiveRefusal(this, call));
        }
    }

    void crash() {
        crashed = true;
        waiting.clear();
        tasks.crash();
    }

    private void run(Call call) {
        inUse++;
        simulation.measures.maxCallsOnVm = Math.max(simulation.measures.maxCallsOnVm, inUse);
        boolean fails = failing;
        double slowdown = tasks.findServiceSlowdown() * tasks.computeCpuDemandRatio(inUse * SLOT_MILLI_CORES);
        long serviceMs = fails ? FAILED_CALL_MS : Math.max(1, Math.round(call.baseMs * slowdown));
        simulation.timeline.after(serviceMs, () -> end(call, serviceMs, fails));
    }

    private void end(Call call, long serviceMs, boolean fails) {
        if (crashed) {
            return;
        }
        inUse--;
        if (simulation.policy.admitsCalls()) {
            admission.release(serviceMs);
        }
        latencyWindow.recordValue(serviceMs);
        SimCallRouter handler = call.handler;
        simulation.timeline.after(HOP_MS, () -> handler.receiveResult(this, call, serviceMs, !fails));
        if (!waiting.isEmpty()) {
            run(waiting.pollFirst());
        }
    }
}
