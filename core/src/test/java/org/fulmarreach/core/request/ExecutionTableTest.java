package org.fulmarreach.core.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.core.exc.Result;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against an id that runs twice, runs after it was reported as not run, or is removed while it could still run.
 */
class ExecutionTableTest {
    private static final TableLimits LIMITS = new TableLimits(900, 1_800, 60, 120, 6, 25);
    private static final Problem BUSY = Problem.of(ErrorCode.NO_CAPACITY, "busy");

    enum Op {
        CALL,
        CALL_WHILE_FULL,
        FINISH,
        FINISH_NOT_SENT,
        FINISH_BROKEN,
        RESOLVE,
        RESOLVE_REFUSE,
        WAIT,
        RESTART
    }

    record Step(Op op, int id, int amount) {}

    @Provide
    Arbitrary<List<Step>> histories() {
        Arbitrary<Op> ops = Arbitraries.frequencyOf(
                net.jqwik.api.Tuple.of(6, Arbitraries.of(Op.CALL, Op.CALL_WHILE_FULL)),
                net.jqwik.api.Tuple.of(3, Arbitraries.of(Op.FINISH, Op.FINISH_NOT_SENT, Op.FINISH_BROKEN)),
                net.jqwik.api.Tuple.of(3, Arbitraries.of(Op.RESOLVE, Op.RESOLVE_REFUSE, Op.WAIT)),
                net.jqwik.api.Tuple.of(1, Arbitraries.of(Op.RESTART)));
        Arbitrary<Integer> amounts = Arbitraries.frequencyOf(
                net.jqwik.api.Tuple.of(4, Arbitraries.integers().between(0, 40)),
                net.jqwik.api.Tuple.of(1, Arbitraries.integers().between(800, 2_500)));
        return Combinators.combine(ops, Arbitraries.integers().between(0, 9), amounts)
                .as(Step::new)
                .list()
                .ofMaxSize(80);
    }

    @Property(seed = "4711", tries = 3_000)
    void idRunsAtMostOnceAndNeverAfterItWasReportedAsNotRun(@ForAll("histories") List<Step> steps) {
        new Model().run(steps);
    }

    /** Applies a history to a table and records which ids were executed and which states were reported. */
    private static final class Model {
        private final Map<RequestId, Integer> runs = new HashMap<>();
        private final Set<RequestId> reportedNotRun = new HashSet<>();
        private final Set<RequestId> running = new HashSet<>();
        private long incarnation = 1;
        private long nowMs;
        private ExecutionTable<String> table = newTable();

        private ExecutionTable<String> newTable() {
            return new ExecutionTable<>("g", incarnation, LIMITS, String::length);
        }

        void run(List<Step> steps) {
            for (Step step : steps) {
                // Ids of all incarnations are used repeatedly, as by a caller that retries indefinitely.
                RequestId id =
                        new RequestId("g", 1 + step.id % 3, step.id * 30L, (step.id % 2 == 0 ? "c" : "i") + step.id);
                apply(step, id);
                assertTrue(table.size() <= LIMITS.maxEntries());
                assertTrue(table.keptBytes() <= LIMITS.maxAnswerBytes());
            }
        }

        private void apply(Step step, RequestId id) {
            switch (step.op) {
                case CALL -> call(id, false);
                case CALL_WHILE_FULL -> call(id, true);
                case FINISH, FINISH_NOT_SENT, FINISH_BROKEN -> finish(step.op, id);
                case RESOLVE -> recordState(id, table.resolve(id, false, nowMs));
                case RESOLVE_REFUSE -> recordState(id, table.resolve(id, true, nowMs));
                case WAIT -> nowMs += step.amount;
                case RESTART -> {
                    incarnation++;
                    running.clear();
                    table = newTable();
                }
                default -> throw new AssertionError(step.op);
            }
        }

        private void call(RequestId id, boolean isFull) {
            Execution<String> found = table.find(id, nowMs);
            if (!(found instanceof Execution.Fresh<String>)) {
                recordState(id, found);
                return;
            }
            Execution<String> decision = isFull ? table.refuse(id, BUSY, nowMs) : table.begin(id, nowMs);
            if (decision instanceof Execution.Running<String>) {
                assertEquals(1, runs.merge(id, 1, Integer::sum), id + " runs twice");
                assertFalse(reportedNotRun.contains(id), id + " runs after it was reported as not run");
                running.add(id);
            }
            recordState(id, decision);
        }

        private void finish(Op op, RequestId id) {
            if (!running.remove(id)) {
                return;
            }
            switch (op) {
                case FINISH -> table.complete(id, "answer-" + id.random());
                case FINISH_NOT_SENT -> {
                    runs.merge(id, -1, Integer::sum);
                    table.completeNotRun(id, BUSY);
                }
                default -> table.completeUnknown(id, BUSY);
            }
            recordState(id, table.find(id, nowMs));
        }

        private void recordState(RequestId id, Execution<String> reported) {
            if (reported instanceof Execution.Refused<String>) {
                assertEquals(0, runs.getOrDefault(id, 0), id + " ran, but was reported as not run");
                reportedNotRun.add(id);
            }
            if (reported instanceof Execution.Done<String> done && done.answer() != null) {
                assertEquals("answer-" + id.random(), done.answer());
            }
        }
    }

    @Example
    void oldestAnswerIsDroppedButItsIdStaysDone() {
        ExecutionTable<String> table = new ExecutionTable<>("g", 1, LIMITS, String::length);
        for (int i = 0; i < 3; i++) {
            RequestId id = new RequestId("g", 1, 0, "c" + i);
            table.begin(id, 0);
            table.complete(id, "0123456789");
        }
        assertEquals(new Execution.Done<String>(null), table.find(new RequestId("g", 1, 0, "c0"), 0));
        assertEquals(new Execution.Done<>("0123456789"), table.find(new RequestId("g", 1, 0, "c2"), 0));
    }

    @Example
    void idRefusedByAFullTableStaysRefusedWhenSpaceIsFree() {
        ExecutionTable<String> table = new ExecutionTable<>("g", 1, LIMITS.withMaxEntries(1), String::length);
        table.begin(new RequestId("g", 1, 0, "i0"), 0);
        table.complete(new RequestId("g", 1, 0, "i0"), "answer");
        RequestId refused = new RequestId("g", 1, 20, "c1");
        assertInstanceOf(Execution.Refused.class, table.begin(refused, 20));
        // The only entry has expired, but the refused id is still within its acceptance time.
        long laterMs = 20 + LIMITS.acceptMs();
        assertInstanceOf(Execution.Refused.class, table.find(refused, laterMs));
        assertInstanceOf(Execution.Fresh.class, table.find(new RequestId("g", 1, 21, "c2"), laterMs));
    }

    @Example
    void formattedIdIsParsedAndMalformedIdsAreRejected() {
        RequestId idWithDots = RequestId.mintForCaller("guard.vm-1.sued", 3, -5, 1, 2);
        assertEquals(Result.ok(idWithDots), RequestId.parse(idWithDots.format()));
        assertTrue(RequestId.mintForOneCall("g", 1, 0, 1, 2).isShortLived());
        for (String malformed :
                List.of("", "a", "1.2.c", "g.1.2.", ".1.2.c", "g.01.2.c", "g.1.+2.c", "g.1.2.c d", "g.-1.2.c")) {
            assertInstanceOf(Result.Err.class, RequestId.parse(malformed), malformed);
        }
    }
}
