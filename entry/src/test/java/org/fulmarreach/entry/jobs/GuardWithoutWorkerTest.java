package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;
import org.awaitility.Awaitility;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.GuardReport;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.util.ActorSystems;
import org.fulmarreach.runtime.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Answers of the leader to a guard that does not know yet which worker runs beside it. */
class GuardWithoutWorkerTest {
    private final FakeStore store = new FakeStore();
    private final ActorSystem<JobsCommand> entry = ActorSystems.construct(
            JobsActor.create(
                    store,
                    new FakeEntryLinks(),
                    new JobsActor.Identity("entry-0", "127.0.0.1:1"),
                    new JobTimeLimits(6_000, 120_000, 3_000, 900),
                    new ConfigReadBudget(2_500),
                    MonotonicClock.system(),
                    new EventLog("entry-0"),
                    new AtomicReference<>(JobsCommand.View.starting()),
                    new Random(1)),
            "entry-0",
            1);

    @AfterEach
    void stop() {
        entry.terminate();
    }

    /**
     * A worker answers only polls that carry the term it knows, so a guard that had started again never learned which
     * lifetime answers, and the worker was not used any more.
     */
    @Test
    void guardWithoutAWorkerLearnsTheTerm() {
        String config = "{\"version\":7,\"routes\":[],\"services\":[],\"limits\":{}}";
        store.append(
                TopicPartition.OPERATOR,
                List.of(new KeyedRecord(TopicPartition.CONFIG_KEY, config.getBytes(StandardCharsets.UTF_8))),
                new AppendCondition.None());
        FakeLink guard = new FakeLink();
        GuardReport report = new GuardReport();
        report.setGuard("guard");
        report.setTickMs(MonotonicClock.system().nowMs());
        report.setTerm(0);
        report.setOutcomes(List.of());
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> {
            entry.tell(
                    new JobsCommand.GuardLink(new LinkEvent.Received(guard, new Frame(0, Body.guardReport(report)))));
            return guard.orders().stream().anyMatch(orders -> orders.getTerm() > 0);
        });
        guard.orders().forEach(orders -> assertEquals("", orders.getWorker().getId(), "a grant for a worker"));
    }
}
