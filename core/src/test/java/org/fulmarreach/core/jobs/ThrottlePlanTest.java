package org.fulmarreach.core.jobs;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.model.Resources;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against throttling all tasks beside a serving task, or one whose job is nearly done, where less would do. */
class ThrottlePlanTest {
    private static final double PRESSURE = 0.2;

    private final Job job = newJob();

    @Test
    void throttlesTheTaskOfTheJobWithMostWorkAheadFirst() {
        List<ThrottlePlan.Share> shares = ThrottlePlan.reduce(contributors(50, 900, 400), 0.1);
        assertEquals(List.of(new ThrottlePlan.Share(job.tasks().get(1), 50)), shares);
    }

    @Test
    void pausesATaskThatWouldHaveTooSmallAShare() {
        List<ThrottlePlan.Share> shares = ThrottlePlan.reduce(contributors(50, 900, 400), 0.18);
        assertEquals(List.of(new ThrottlePlan.Share(job.tasks().get(1), 0)), shares);
    }

    @Test
    void throttlesFurtherTasksUntilThePressureIsTakenAway() {
        List<ThrottlePlan.Share> shares = ThrottlePlan.reduce(contributors(50, 900, 400), 0.3);
        assertEquals(
                List.of(
                        new ThrottlePlan.Share(job.tasks().get(1), 0),
                        new ThrottlePlan.Share(job.tasks().get(2), 50)),
                shares);
    }

    @Test
    void throttlesNothingWithoutAnExcess() {
        assertEquals(List.of(), ThrottlePlan.reduce(contributors(50, 900, 400), 0));
    }

    private List<ThrottlePlan.Contributor> contributors(int... remainingPermille) {
        List<ThrottlePlan.Contributor> contributors = new ArrayList<>();
        for (int i = 0; i < remainingPermille.length; i++) {
            JobTask task = job.tasks().get(i);
            task.setCpuSharePercent(100);
            contributors.add(new ThrottlePlan.Contributor(task, remainingPermille[i], PRESSURE));
        }
        return contributors;
    }

    private static Job newJob() {
        JobStep step = TestSteps.of(3, new Resources(1_000, 100, 0), 1_000, List.of())
                .bestEffort("fill")
                .build();
        return new Job(new JobSpec("job", "batch", "", List.of(step), 0, 0, 0, 1), new AcknowledgedStatuses());
    }
}
