package org.fulmarreach.it.site;

import java.io.PrintStream;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.fulmarreach.standin.site.PlatformStore;
import org.fulmarreach.standin.site.PlatformWorker;
import org.fulmarreach.standin.site.StrangeHeartbeat;
import org.fulmarreach.standin.site.Workload;

/** Draws faults and lets them act on a deployment, and records when each was active. Not thread-safe. */
final class FaultInjector {
    /** Shorter than a lease, so that the worker is back while its runs go on. */
    private static final int MAX_REFUSAL_MS = 4_000;

    /** The platform's {@code drain_ms}. */
    private static final int DRAIN_MS = 2_500;

    /** The longest delay with which a worker carries out an order that it holds back, and answers a poll. */
    private static final int LATE_ORDER_MS = 2_000;

    private static final int LATE_POLL_MS = 800;

    /** Time in which a worker leaves orders unanswered that are carried out after it has started again. */
    private static final int DELAYED_ORDERS_MS = 2_000;

    /** Time after which a caller leaves an entry that does not answer. */
    private static final int CALLER_LEAVES_MS = 800;

    private static final int STRANGE_HEARTBEATS = 3;
    private static final int STRANGE_INTERVAL_MS = 700;

    /** A process that was killed must be ready again in this time, and a leader must be elected in it. */
    private static final int READY_MS = 20_000;

    private static final int LEADERS_IN_A_ROW = 3;

    /** A leader that is killed answers no longer after this time. */
    private static final int KILLED_MS = 100;

    private final PlatformSite site;
    private final int entries;
    private final Fault[] kinds;
    private final PrintStream out;
    private final ExecutorService executor;
    private final DisruptionLog disruptions = new DisruptionLog();
    private final List<String> cancelledJobs = new CopyOnWriteArrayList<>();
    private final AtomicInteger submissions = new AtomicInteger();

    /** Kinds of faults. */
    enum Fault {
        RESTART_WORKER,
        RESTART_WORKER_LATE,
        REFUSE_CONNECTIONS,
        HOLD_ORDERS,
        HOLD_POLLS,
        PAUSE_GUARD,
        KILL_GUARD,
        PAUSE_ENTRY,
        KILL_ENTRY,
        STRANGE_HEARTBEATS,
        DRAIN_WORKER,
        RENAME_WORKER,
        STORE_SILENT,
        STORE_REFUSES,
        STORE_REFUSES_ENTRY,
        STORE_LOSES_ANSWERS,
        /** A worker says that it drains; soon after, its machine is gone. */
        MACHINE_LEAVES,
        /** A worker and its guard are killed at once, and another machine comes. */
        MACHINE_LOST,
        /** One leader after the other is killed. */
        KILL_LEADERS,
        /** Leaders are killed from shortly after the notice of a machine that leaves. */
        MACHINE_LEAVES_AND_LEADERS,
        /** A worker starts again under its id before orders for its former lifetime are carried out. */
        LATE_ORDERS_AND_RESTART,
        /** A caller leaves an entry that stands still with a submission, and cancels it elsewhere. */
        LEAVE_AND_CANCEL,
        /** A worker and its guard are killed at the moment at which the leader is killed. */
        MACHINE_AND_LEADER;

        /** Machines that are gone are recorded as faults only when they are killed. */
        private boolean isPlanned() {
            return switch (this) {
                case DRAIN_WORKER, MACHINE_LEAVES, MACHINE_LOST, MACHINE_LEAVES_AND_LEADERS, MACHINE_AND_LEADER -> true;
                default -> false;
            };
        }
    }

    FaultInjector(PlatformSite site, int entries, Fault[] kinds, PrintStream out, ExecutorService executor) {
        this.site = site;
        this.entries = entries;
        this.kinds = kinds;
        this.out = out;
        this.executor = executor;
    }

    /** Returns the jobs of which a caller was told that they are cancelled or do not exist. */
    List<String> cancelledJobs() {
        return List.copyOf(cancelledJobs);
    }

    /** Returns when which fault was active. */
    DisruptionLog disruptions() {
        return disruptions;
    }

    /** Draws a fault and starts it; the caller does not wait for its end. */
    void inject(SplittableRandom random) {
        Fault fault = draw(kinds, random);
        int index = random.nextInt(site.workers.size());
        PlatformWorker worker = site.workers.get(index);
        String guard = site.guardName(index);
        int entry = random.nextInt(entries);
        String entryStore = site.storeHosts().get(1 + entry);
        int shortMs = random.nextInt(50, 900);
        int longMs = random.nextInt(900, 8_000);
        int heartbeatMs = random.nextInt(0, 1_100);
        out.println((System.currentTimeMillis() - site.history.beganAtMs()) + " ms " + fault + " worker " + index + " ("
                + guard + ") " + site.entryName(entry) + " " + shortMs + " " + longMs + " " + heartbeatMs);
        Runnable action = switch (fault) {
            case RESTART_WORKER -> () -> restart(worker, shortMs, () -> worker.start(heartbeatMs));
            case RESTART_WORKER_LATE -> () -> restart(worker, longMs, () -> worker.start(heartbeatMs));
            case REFUSE_CONNECTIONS -> () -> refuse(worker, Math.min(longMs, MAX_REFUSAL_MS));
            case HOLD_ORDERS ->
                () -> {
                    worker.holdOrders(longMs);
                    PlatformSite.sleep(longMs + LATE_ORDER_MS);
                };
            case HOLD_POLLS ->
                () -> {
                    worker.holdPolls(longMs);
                    PlatformSite.sleep(longMs + LATE_POLL_MS);
                };
            case LATE_ORDERS_AND_RESTART ->
                () -> {
                    worker.delayOrders(DELAYED_ORDERS_MS, DELAYED_ORDERS_MS + shortMs + longMs);
                    PlatformSite.sleep(DELAYED_ORDERS_MS);
                    restart(worker, shortMs, () -> worker.start(heartbeatMs));
                    PlatformSite.sleep(longMs);
                };
            case LEAVE_AND_CANCEL -> () -> leaveAndCancel(entry, longMs);
            case PAUSE_GUARD -> () -> pause(guard, longMs);
            case KILL_GUARD -> () -> killGuard(worker, guard, shortMs);
            case PAUSE_ENTRY -> () -> pause(site.entryName(entry), longMs);
            case KILL_ENTRY -> () -> killEntry(entry, shortMs);
            case STRANGE_HEARTBEATS -> {
                SplittableRandom draws = random.split();
                StrangeHeartbeat strange = draw(StrangeHeartbeat.values(), draws);
                out.println(strange);
                yield () -> sendStrange(worker, strange, draws);
            }
            case DRAIN_WORKER -> () -> drain(worker, DRAIN_MS + longMs, shortMs, heartbeatMs);
            case RENAME_WORKER -> () -> restart(worker, shortMs, () -> worker.startRenamed(heartbeatMs));
            case STORE_SILENT -> () -> failStore(PlatformStore.Fault.SILENT, site.storeHosts(), longMs);
            case STORE_REFUSES -> () -> failStore(PlatformStore.Fault.REFUSING, site.storeHosts(), longMs);
            case STORE_REFUSES_ENTRY -> () -> failStore(PlatformStore.Fault.REFUSING, List.of(entryStore), longMs);
            case STORE_LOSES_ANSWERS -> () -> failStore(PlatformStore.Fault.LOSING_ANSWERS, site.storeHosts(), longMs);
            case MACHINE_LEAVES -> leave(index, longMs, heartbeatMs, random.split());
            case MACHINE_LOST -> () -> loseMachine(index, worker, guard, longMs, heartbeatMs);
            case MACHINE_AND_LEADER ->
                () -> site.findLeader()
                        .ifPresent(leader -> together(
                                () -> loseMachine(index, worker, guard, longMs, heartbeatMs),
                                () -> record(
                                        "KILL_LEADER " + site.entryName(leader),
                                        false,
                                        () -> killEntry(leader, shortMs))));
            case KILL_LEADERS -> killLeaders(shortMs, random.split());
            case MACHINE_LEAVES_AND_LEADERS -> {
                SplittableRandom draws = random.split();
                Runnable leave = leave(index, longMs, heartbeatMs, draws);
                Runnable kill = killLeaders(shortMs, draws);
                yield () -> together(leave, kill);
            }
        };
        executor.submit(() -> record(fault.name(), fault.isPlanned(), action));
    }

    private static <T> T draw(T[] values, SplittableRandom random) {
        return values[random.nextInt(values.length)];
    }

    private void record(String name, boolean planned, Runnable action) {
        try (DisruptionLog.Entry entry = disruptions.begin(name, planned)) {
            action.run();
        } catch (RuntimeException e) {
            out.println("FAULT NOT INJECTED " + name + ": " + e);
        }
    }

    private static void together(Runnable first, Runnable second) {
        Thread thread = Thread.ofVirtual().start(first);
        second.run();
        join(thread);
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean await(BooleanSupplier condition) {
        long untilMs = System.currentTimeMillis() + READY_MS;
        while (!condition.getAsBoolean()) {
            if (System.currentTimeMillis() > untilMs) {
                return false;
            }
            PlatformSite.sleep(20);
        }
        return true;
    }

    /*
     * Workers
     */

    /** Sends the same a few times, between the worker's own heartbeats. */
    private static void sendStrange(PlatformWorker worker, StrangeHeartbeat strange, SplittableRandom random) {
        for (int i = 0; i < STRANGE_HEARTBEATS; i++) {
            worker.sendStrange(strange, random);
            PlatformSite.sleep(STRANGE_INTERVAL_MS);
        }
    }

    private static void restart(PlatformWorker worker, int downMs, Runnable start) {
        synchronized (worker) {
            if (!worker.isUp()) {
                return;
            }
            worker.crash();
        }
        PlatformSite.sleep(downMs);
        start.run();
        awaitKnown(worker);
    }

    /** Waits until the guard accepts heartbeats of the worker, which a worker that has ended again does not send. */
    private static void awaitKnown(PlatformWorker worker) {
        long sinceMs = System.currentTimeMillis();
        await(() -> !worker.isUp() || worker.isKnownSince(sinceMs));
    }

    /** A worker that has left comes back under its id or, as often, under another one. */
    private static void drain(PlatformWorker worker, int serveOnMs, int downMs, int heartbeatMs) {
        if (worker.drain(serveOnMs)) {
            PlatformSite.sleep(downMs);
            if (heartbeatMs % 2 == 0) {
                worker.start(heartbeatMs);
            } else {
                worker.startRenamed(heartbeatMs);
            }
        }
    }

    private static void refuse(PlatformWorker worker, int forMs) {
        worker.refuse();
        PlatformSite.sleep(forMs);
        worker.accept();
    }

    /*
     * Machines
     */

    /** The notice is shorter than the platform's {@code drain_ms} at times, as that of machines that are taken away. */
    private Runnable leave(int index, int replaceMs, int heartbeatMs, SplittableRandom draws) {
        PlatformWorker worker = site.workers.get(index);
        String guard = site.guardName(index);
        int noticeMs = draws.nextInt(100, 4_000);
        out.println("  notice " + noticeMs + " ms");
        return () -> {
            Thread.ofVirtual().start(() -> worker.drain(noticeMs));
            PlatformSite.sleep(noticeMs);
            loseMachine(index, worker, guard, replaceMs, heartbeatMs);
        };
    }

    /** The machine is not back before it counts as calm, since it never is: the others have to take its tasks over. */
    private void loseMachine(int index, PlatformWorker worker, String guard, int replaceMs, int heartbeatMs) {
        synchronized (worker) {
            if (worker.isRetired()) {
                return;
            }
            try (DisruptionLog.Entry entry = disruptions.begin("MACHINE_GONE " + guard, false)) {
                worker.retire();
                site.process(guard).close();
            }
        }
        PlatformSite.sleep(replaceMs);
        site.replaceMachine(index, heartbeatMs);
    }

    /*
     * Guards, entries and the store
     */

    private void failStore(PlatformStore.Fault fault, List<String> hosts, int forMs) {
        hosts.forEach(host -> site.store.fail(host, fault, forMs));
        PlatformSite.sleep(forMs);
    }

    private void pause(String name, int forMs) {
        synchronized (site.process(name)) {
            site.process(name).pause();
            PlatformSite.sleep(forMs);
            site.process(name).resume();
        }
    }

    private void leaveAndCancel(int entry, int forMs) {
        String id = String.format("f%015x", submissions.incrementAndGet());
        synchronized (site.process(site.entryName(entry))) {
            site.process(site.entryName(entry)).pause();
            Thread caller = Thread.ofVirtual()
                    .start(() -> site.submit(entry, id, new Workload(Workload.Kind.LONG_RUNNING, 1_000, 1)));
            PlatformSite.sleep(CALLER_LEAVES_MS);
            int status = site.cancel((entry + 1) % entries, id);
            if (status / 100 == 2 || status == 410) {
                cancelledJobs.add(id);
            }
            PlatformSite.sleep(forMs);
            site.process(site.entryName(entry)).resume();
            join(caller);
        }
    }

    private void killGuard(PlatformWorker worker, String guard, int downMs) {
        kill(guard, downMs, worker);
        awaitKnown(worker);
    }

    private void killEntry(int entry, int downMs) {
        kill(site.entryName(entry), downMs, null);
        if (!await(() -> site.isReady(entry))) {
            out.println(site.entryName(entry) + " is not ready after " + READY_MS + " ms");
        }
    }

    /** Kills a process and starts it again, unless the machine of its worker is gone. */
    private void kill(String name, int downMs, PlatformWorker worker) {
        synchronized (site.process(name)) {
            site.process(name).close();
            PlatformSite.sleep(downMs);
            if (worker == null) {
                site.startProcess(name);
                return;
            }
            synchronized (worker) {
                if (!worker.isRetired()) {
                    site.startProcess(name);
                }
            }
        }
    }

    /** Each leader is killed shortly after it was elected; those killed before start again meanwhile. */
    private Runnable killLeaders(int downMs, SplittableRandom draws) {
        int[] delaysMs =
                draws.ints(draws.nextInt(1, LEADERS_IN_A_ROW + 1), 100, 2_000).toArray();
        out.println("  leaders " + List.of(delaysMs.length, delaysMs[0]));
        return () -> {
            for (int delayMs : delaysMs) {
                PlatformSite.sleep(delayMs);
                await(() -> site.findLeader().isPresent());
                site.findLeader()
                        .ifPresent(entry -> Thread.ofVirtual()
                                .start(() -> record(
                                        "KILL_LEADER " + site.entryName(entry),
                                        false,
                                        () -> killEntry(entry, downMs))));
                PlatformSite.sleep(KILLED_MS);
            }
        };
    }
}
