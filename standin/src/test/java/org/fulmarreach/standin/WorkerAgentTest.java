package org.fulmarreach.standin;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;

import org.fulmarreach.core.model.Resources;
import org.fulmarreach.platform.HttpWorkerClient;
import org.fulmarreach.platform.WorkerClient;
import org.fulmarreach.platform.WorkerStart;
import org.fulmarreach.platform.WorkerTask;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a worker stand-in that runs a task beyond its lease, counts progress wrongly, or does not report that
 * the VM is over capacity. The integration tests rely on its journal.
 */
class WorkerAgentTest {
    private static final Resources SIZE = new Resources(8_000, 1_000, 0);

    /**
     * Timeout of calls that are expected to succeed; the first one loads classes, which takes long on a busy machine.
     */
    static final int CALL_TIMEOUT_MS = 20_000;

    private final AtomicLong nowMs = new AtomicLong(1_000);
    private final Journal journal = new Journal("worker", null);
    private final WorkerAgent agent = new WorkerAgent(
            nowMs::get, journal, new Resources(16_000, 60_000, 0), 5_000, 10_000, Set.of("packer-sync"));

    @Test
    void taskStopsWhenItsLeaseExpiresAndNotBefore() {
        assertNull(agent.start("t.0.1", 5_000, SIZE, "run:60s", null));
        nowMs.addAndGet(4_999);
        assertTrue(agent.renew("t.0.1", 5_000));
        nowMs.addAndGet(4_999);
        assertEquals("RUNNING", field("t.0.1", "state"));
        nowMs.addAndGet(1);
        assertEquals("STOPPED", field("t.0.1", "state"));
        assertFalse(agent.renew("t.0.1", 5_000));
        assertNull(agent.renew("t.0.2", 5_000));
        assertEquals(List.of("START", "LEASE_LAPSED"), events());
    }

    @Test
    void lateTickAddsNoProgressAfterTheLeaseExpired() {
        agent.start("t.0.1", 5_000, SIZE, "run:8s", null);
        nowMs.addAndGet(60_000);
        assertEquals("STOPPED", field("t.0.1", "state"));
    }

    @Test
    void resumeContinuesFromTheCheckpointAndThrottleSlowsProgress() {
        agent.start("t.0.1", 60_000, SIZE, "run:10s", null);
        nowMs.addAndGet(4_000);
        agent.throttle("t.0.1", 0.5);
        nowMs.addAndGet(4_000);
        String checkpoint = agent.checkpoint("t.0.1");
        agent.stop("t.0.1");
        agent.start("t.0.2", 60_000, SIZE, "run:10s", checkpoint);
        nowMs.addAndGet(3_999);
        assertEquals("RUNNING", field("t.0.2", "state"));
        nowMs.addAndGet(1);
        assertEquals("SUCCEEDED", field("t.0.2", "state"));
        assertEquals(6_000L, entries().get(4).get("fromMs"));
    }

    @Test
    void sameIdStartsOnceAndExceededCapacityIsRecorded() {
        assertNull(agent.start("a.0.1", 60_000, SIZE, "run:1s", null));
        assertNull(agent.start("a.0.1", 60_000, SIZE, "run:1s", null));
        assertNull(agent.start("b.0.1", 60_000, SIZE, "packer-sync", null));
        assertFalse(events().contains("OVERFULL"));
        assertNull(agent.start("c.0.1", 60_000, SIZE, "packer-sync", null));
        assertTrue(events().contains("OVERFULL"));
        nowMs.addAndGet(20_000);
        assertNotNull(agent.start("a.0.1", 60_000, SIZE, "run:1s", null));
        assertEquals("RUNNING", field("b.0.1", "state"));
        assertEquals(1, events().stream().filter("FINISH"::equals).count());
    }

    @Test
    void reportedUsageLagsBehindTheActualUsage() {
        agent.start("t.0.1", 600_000, SIZE, "cpu:2500,mem:4096,run:forever", null);
        nowMs.addAndGet(4_999);
        assertEquals(0.0, field("t.0.1", "cores"));
        nowMs.addAndGet(1);
        assertEquals(2.5, field("t.0.1", "cores"));
        agent.throttle("t.0.1", 0.1);
        assertEquals(2.5, field("t.0.1", "cores"));
        agent.setUsagePaused(true);
        nowMs.addAndGet(10_000);
        assertEquals(2.5, field("t.0.1", "cores"));
        assertEquals(15_000L, field("t.0.1", "lagMs"));
    }

    @Test
    void clientAndAgentUseTheSameProtocol() {
        try (StandInRuntime runtime = StandInRuntime.start()) {
            WorkerStandIn worker = new WorkerStandIn(runtime.system(), runtime.timer(), 0, agent, journal);
            WorkerClient client = new HttpWorkerClient(
                    runtime.system(), StandInServer.HOST, worker.server().port(), CALL_TIMEOUT_MS);
            assertEquals(new Resources(16_000, 60_000, 0), join(client.capacity()));
            assertEquals(new WorkerStart.Started(), join(client.start("t.0.1", 60_000, SIZE, "cpu:2500", null)));
            nowMs.addAndGet(5_000);
            assertTrue(join(client.renew("t.0.1", 60_000)));
            assertTrue(join(client.throttle("t.0.1", 0.5)));
            assertEquals(
                    List.of(new WorkerTask("t.0.1", WorkerTask.State.RUNNING, 2_500, 1_000, 5_000, "")),
                    join(client.list()));
            String checkpoint = join(client.checkpoint("t.0.1"));
            join(client.stop("t.0.1"));
            join(client.stop("unknown.0.1"));
            assertFalse(join(client.renew("t.0.1", 60_000)));
            assertEquals(new WorkerStart.Started(), join(client.start("t.0.2", 60_000, SIZE, "cpu:2500", checkpoint)));
            String idWithSpecialCharacters = "gruß/a b?c.0.1";
            assertEquals(
                    new WorkerStart.Started(),
                    join(client.start(idWithSpecialCharacters, 60_000, SIZE, "run:60s", null)));
            assertEquals("RUNNING", field(idWithSpecialCharacters, "state"));
            assertInstanceOf(WorkerStart.Failed.class, join(client.start("n.0.1", 5_000, SIZE, "never-1", null)));
            assertInstanceOf(WorkerStart.Failed.class, join(client.start("x.0.1", 5_000, SIZE, "bad:1", null)));
        }
    }

    // Helpers

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    @SuppressWarnings("unchecked")
    private Object field(String id, String name) {
        List<Map<String, Object>> tasks =
                (List<Map<String, Object>>) agent.list().get("tasks");
        return tasks.stream()
                .filter(t -> t.get("id").equals(id))
                .findFirst()
                .orElseThrow()
                .get(name);
    }

    @SuppressWarnings("unchecked")
    private List<Map<String, Object>> entries() {
        return (List<Map<String, Object>>) journal.snapshot().get("entries");
    }

    private List<Object> events() {
        return entries().stream().map(e -> e.get("event")).toList();
    }
}
