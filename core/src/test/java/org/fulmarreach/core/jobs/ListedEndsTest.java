package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs whose ends wait behind others: a worker lists a limited number of ends until they are acknowledged. */
class ListedEndsTest {
    private static final Resources SMALL = new Resources(10, 10, 0);
    private static final int STEP_MS = 50;

    private final SchedulerHarness harness = new SchedulerHarness();
    private final SchedulerHarness.Worker worker = harness.addWorker(7_900);
    private final Set<String> done = new HashSet<>();
    private final List<String> repeated = new ArrayList<>();
    private int checkedStarts;

    /** Guards against a new leader that takes runs for withdrawn whose ends it has not seen yet. */
    @Test
    void confirmedStopIsNoProofThatARunHasNotEnded() {
        harness.submit("job", TestSteps.of(780, SMALL, 500, List.of()));
        elapse(10_000);
        assertEquals(780, SchedulerHarness.runningOn(worker).size());
        SchedulerHarness.runningOn(worker).forEach(this::endDone);
        harness.storing = false;
        harness.replaceLeader(EvacuatedZones.NONE);
        elapse(10_000);
        harness.storing = true;
        elapse(10_000);
        assertEquals(List.of(), repeated);
        assertEquals(780, harness.registry.find("job").orElseThrow().doneTasks());
    }

    /** A start that no lifetime can carry out any more is given up, as long as all ends are listed. */
    @Test
    void startThatIsWithdrawnRunsAgain() {
        worker.lists = false;
        JobTask task = harness.submit("job", TestSteps.of(1, SMALL, 500, List.of()));
        elapse(20_000);
        assertTrue(task.state().run() > 1, "run " + task.state().run());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 100, 200, 300})
    void noTaskRunsAgainAfterItIsDone(int firstSeed) {
        for (int seed = firstSeed; seed < firstSeed + 100; seed++) {
            ListedEndsTest test = new ListedEndsTest();
            test.play(new Random(seed));
            assertEquals(List.of(), test.repeated, "seed " + seed);
        }
    }

    /** Ends, stores that fall silent and changes of the leader in random order. */
    private void play(Random random) {
        for (int job = 0; job < 3; job++) {
            harness.submit("job-" + job, TestSteps.of(300, SMALL, 500, List.of()));
        }
        for (int i = 0; i < 20; i++) {
            elapse(STEP_MS * (1 + random.nextInt(60)));
            harness.storing = random.nextInt(3) > 0;
            worker.confirmsStops = random.nextInt(4) > 0;
            if (random.nextInt(4) == 0) {
                harness.replaceLeader(EvacuatedZones.NONE);
            }
            double share = random.nextDouble();
            for (String task :
                    SchedulerHarness.runningOn(worker).stream().sorted().toList()) {
                if (random.nextDouble() < share) {
                    endDone(task);
                }
            }
        }
        harness.storing = true;
        elapse(10_000);
    }

    private void endDone(String task) {
        worker.endRun(task, RunEnd.DONE);
        done.add(task);
    }

    private void elapse(int forMs) {
        for (int elapsedMs = 0; elapsedMs < forMs; elapsedMs += STEP_MS) {
            harness.elapse(STEP_MS);
            for (; checkedStarts < harness.starts.size(); checkedStarts++) {
                String task = harness.starts.get(checkedStarts).task().toString();
                if (done.contains(task)) {
                    repeated.add(task);
                }
            }
        }
    }
}
