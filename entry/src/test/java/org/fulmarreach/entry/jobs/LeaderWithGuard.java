package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;
import org.awaitility.Awaitility;
import org.fulmarreach.core.jobs.JobSpec;
import org.fulmarreach.core.jobs.JobStep;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.core.jobs.RunEnd;
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.io.GuardMessages;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.GuardReport;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;

/** Entries of which one leads, and one guard, whose worker lists all runs that it was told to start. */
final class LeaderWithGuard implements AutoCloseable {
    private static final Resources SMALL = new Resources(10, 1, 0);
    private static final Resources CAPACITY = new Resources(64_000, 250_000, 0);
    private static final Duration PATIENCE = Duration.ofSeconds(30);

    final FakeStore store;

    /** Tasks whose runs have ended, in the order of their ends. */
    final List<String> ended = new ArrayList<>();

    /** Checkpoint that the worker lists for each run. */
    String checkpoint = "";

    private final List<ActorSystem<JobsCommand>> entries = new ArrayList<>();
    private final Set<String> started = new LinkedHashSet<>();
    private FakeLink guard = new FakeLink();
    private ActorSystem<JobsCommand> leader;

    LeaderWithGuard(FakeStore store) {
        this.store = store;
        String config = "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/q/\","
                + "\"service\":\"s\",\"max_attempts\":2}],\"services\":[],\"limits\":{}}";
        store.append(
                TopicPartition.OPERATOR,
                List.of(new KeyedRecord(TopicPartition.CONFIG_KEY, config.getBytes(StandardCharsets.UTF_8))),
                new AppendCondition.None());
        leader = startEntry("entry-0");
        await(() -> describe(leader).contains("leads=true"));
    }

    ActorSystem<JobsCommand> startEntry(String node) {
        ActorSystem<JobsCommand> entry = ActorSystems.construct(
                JobsActor.create(
                        store,
                        new FakeEntryLinks(),
                        new JobsActor.Identity(node, "127.0.0.1:1"),
                        new JobTimeLimits(6_000, 120_000, 3_000, 900),
                        new ConfigReadBudget(2_500),
                        MonotonicClock.system(),
                        new EventLog(node),
                        new AtomicReference<>(JobsCommand.View.starting()),
                        new Random(1)),
                node,
                1);
        entries.add(entry);
        return entry;
    }

    /** Ends the leader, and connects the guard to the entry that leads next. */
    void replaceLeader(ActorSystem<JobsCommand> next) {
        leader.terminate();
        leader = next;
        guard = new FakeLink();
        await(() -> describe(next).contains("leads=true"));
    }

    CompletableFuture<WriteOutcome> send(JobSpec job) {
        CompletableFuture<WriteOutcome> stored = new CompletableFuture<>();
        leader.tell(new JobsCommand.Submit(job, MonotonicClock.system().nowMs() + 3_000, stored));
        return stored;
    }

    WriteOutcome submit(JobSpec job) throws Exception {
        return send(job).get(5, TimeUnit.SECONDS);
    }

    String describe() throws Exception {
        return describe(leader);
    }

    static String describe(ActorSystem<JobsCommand> entry) throws Exception {
        CompletableFuture<String> described = new CompletableFuture<>();
        entry.tell(new JobsCommand.Describe(described));
        return described.get(5, TimeUnit.SECONDS);
    }

    /** Waits for a condition while the guard reports. */
    void await(Callable<Boolean> condition) {
        Awaitility.await().atMost(PATIENCE).until(() -> {
            report();
            return condition.call();
        });
    }

    /** Returns the tasks that the guard was told to start, by any leader. */
    Set<String> started() {
        started.addAll(guard.starts());
        return started;
    }

    /** Returns the starts that the present leader has sent. */
    List<String> starts() {
        return guard.starts();
    }

    void report() {
        List<WorkerReport.Running> running = new ArrayList<>();
        List<WorkerReport.Ended> ends = new ArrayList<>();
        for (String task : ended) {
            ends.add(new WorkerReport.Ended(ends.size() + 1, task, 1, RunEnd.DONE, ""));
        }
        for (String task : started()) {
            if (!ended.contains(task)) {
                running.add(new WorkerReport.Running(task, 1, checkpoint, 10, 0));
            }
        }
        WorkerReport worker = new WorkerReport(
                new WorkerRef("guard", "worker", 1),
                "s",
                "z",
                CAPACITY,
                List.of("kind", "rack"),
                false,
                true,
                false,
                running,
                ends,
                1);
        GuardReport report = new GuardReport();
        report.setGuard("guard");
        report.setTickMs(MonotonicClock.system().nowMs());
        report.setTerm(0);
        report.setOutcomes(List.of());
        report.setWorker(GuardMessages.toThrift(worker));
        leader.tell(new JobsCommand.GuardLink(new LinkEvent.Received(guard, new Frame(0, Body.guardReport(report)))));
    }

    @Override
    public void close() {
        entries.forEach(ActorSystem::terminate);
    }

    static JobStep step(int tasks, int maxPerWorker) {
        return new JobStep(
                tasks, SMALL, 100, List.of(), false, false, false, "", "", maxPerWorker, false, false, "", 0, false, 0);
    }

    static JobSpec job(String id, int tasks, int payloadBytes) {
        return job(id, List.of(step(tasks, 0)), payloadBytes);
    }

    static JobSpec job(String id, List<JobStep> steps, int payloadBytes) {
        return new JobSpec(id, "q", "x".repeat(payloadBytes), steps, 0, 0, 0, System.currentTimeMillis());
    }
}
