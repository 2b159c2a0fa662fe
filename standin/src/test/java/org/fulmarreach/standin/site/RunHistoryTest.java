package org.fulmarreach.standin.site;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a soak that passes because its own checks see nothing. */
class RunHistoryTest {
    private static final Workload PAIR = new Workload(Workload.Kind.GANG, 0, 2);
    private static final Workload SAVING = new Workload(Workload.Kind.CHECKPOINTING, 10_000, 1);
    private static final Workload LASTING = new Workload(Workload.Kind.LONG_RUNNING, 1, 1);

    private final RunHistory history = new RunHistory();

    /** Guards against members that work, or end done, before all of them are present. */
    @Test
    void gangWorksOnceAllMembersArePresent() {
        RunHistory.Run first = history.start("a.0.0.0", 1, "i-0", PAIR, "");
        assertNull(first.findOwnEnd());
        history.start("a.0.0.1", 1, "i-1", PAIR, "");
        assertEquals("done", first.findOwnEnd());
    }

    /** Guards against members of which one works on when another one has ended. */
    @Test
    void gangIsBrokenWhenAMemberEnds() {
        RunHistory.Run first = history.start("a.0.0.0", 1, "i-0", PAIR, "");
        RunHistory.Run second = history.start("a.0.0.1", 1, "i-1", PAIR, "");
        second.end("stopped");
        assertEquals("broken", first.findOwnEnd());
    }

    /** Guards against an end of one member that does not count for the others. */
    @Test
    void startAfterTheNotedEndOfAnotherMemberIsFound() throws InterruptedException {
        RunHistory.Run first = history.start("a.0.0.0", 1, "i-0", PAIR, "");
        RunHistory.Run second = history.start("a.0.0.1", 1, "i-1", PAIR, "");
        first.end(first.findOwnEnd());
        first.note();
        second.end("lost");
        assertEquals(List.of(), history.findViolations());
        Thread.sleep(2);
        history.start("a.0.0.1", 2, "i-0", PAIR, "");
        assertTrue(history.findViolations().get(0).startsWith("TWICE start after a noted end"));
    }

    /** Guards against a start from the checkpoint of another task; one's own are accepted. */
    @Test
    void checkpointOfAnotherTaskIsFound() {
        RunHistory.Run saved = history.start("a.0.0.0", 1, "i-0", SAVING, "");
        saved.end("stopped");
        history.start("a.0.0.0", 2, "i-0", SAVING, saved.saved());
        assertEquals(List.of(), history.findViolations());
        history.start("a.0.0.1", 1, "i-0", SAVING, saved.saved());
        assertTrue(history.findViolations().get(0).startsWith("UNASKED not a checkpoint of the task"));
    }

    /** Guards against lasting tasks that run twice or end by themselves. */
    @Test
    void lastingTaskRunsOnAndItsSecondRunIsFound() {
        RunHistory.Run first = history.start("a.0.0.0", 1, "i-0", LASTING, "");
        assertNull(first.findOwnEnd());
        history.start("a.0.0.0", 2, "i-1", LASTING, "");
        assertTrue(history.findViolations().get(0).startsWith("TWICE two runs at once"));
        assertEquals(2, history.findRunning("a").size());
    }
}
