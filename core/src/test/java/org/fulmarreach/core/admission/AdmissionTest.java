package org.fulmarreach.core.admission;

import java.util.ArrayList;
import java.util.List;

import org.fulmarreach.core.exc.Result;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.core.model.Target;
import org.fulmarreach.core.model.TaskId;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a VM whose admitted calls and tasks exceed its capacity, and against declared sizes that override the
 * observed usage.
 */
class AdmissionTest {
    private static final Resources CAPACITY = new Resources(16_000, 60_000, 1);

    @Property(seed = "4712", tries = 500)
    void callsNeverExceedSlotsOrConnections(
            @ForAll @IntRange(max = 8) int slots,
            @ForAll @IntRange(max = 8) int connections,
            @ForAll @Size(max = 60) List<Boolean> acquires) {
        CallAdmission admission = new CallAdmission();
        admission.applyTarget(new Target("s", slots, connections, false));
        int held = 0;
        for (boolean acquire : acquires) {
            if (acquire && admission.acquire() instanceof Result.Ok<Integer>) {
                held++;
            } else if (!acquire && held > 0) {
                admission.release(10);
                held--;
            }
            assertEquals(held, admission.inUse());
            assertTrue(held <= Math.min(slots, connections));
        }
    }

    @Property(seed = "4713", tries = 500)
    void admittedEstimatesAndReserveFitTheVm(
            @ForAll @Size(max = 40) List<@IntRange(min = 100, max = 9_000) Integer> sizes,
            @ForAll @IntRange(max = 8) int busySlots) {
        TaskAdmission admission = new TaskAdmission();
        admission.setCapacity(CAPACITY);
        admission.observeService(busySlots, 8, 0);
        Resources held = admission.reserve();
        List<TaskId> admitted = new ArrayList<>();
        for (int i = 0; i < sizes.size(); i++) {
            TaskId task = new TaskId("w" + i, 0, 1);
            Resources size = new Resources(sizes.get(i), sizes.get(i) * 4L, i % 7 == 0 ? 1 : 0);
            if (admission.admit(task, size, i) instanceof Result.Ok<Resources> ok) {
                held = held.plus(ok.value());
                admitted.add(task);
            }
            assertTrue(held.fitsInto(CAPACITY));
        }
        admitted.forEach(admission::release);
        assertEquals(CAPACITY.minus(admission.reserve()), admission.free());
    }

    @Example
    void declarationWrongByAFactorOfFiveIsReplacedByTheObservedUsage() {
        TaskAdmission admission = new TaskAdmission();
        admission.setCapacity(CAPACITY);
        TaskId first = new TaskId("build", 1, 1);
        admission.admit(first, new Resources(2_000, 4_000, 0), 0);
        admission.observe(first, new Resources(10_000, 20_000, 0), 10_000);
        assertTrue(admission.free().milliCores() < CAPACITY.milliCores() - 10_000);
        admission.release(first);
        Result<Resources> second = admission.admit(new TaskId("build", 2, 1), new Resources(2_000, 4_000, 0), 20_000);
        assertEquals(
                11_000, assertInstanceOf(Result.Ok.class, second).value() instanceof Resources r ? r.milliCores() : 0);
        assertInstanceOf(
                Result.Err.class, admission.admit(new TaskId("build", 3, 1), new Resources(2_000, 4_000, 0), 20_000));
    }

    @Example
    void estimateDecaysToTheUsageAndIsNeverBelowIt() {
        UsageEstimate estimate = new UsageEstimate(new Resources(10_000, 10_000, 0), 0);
        for (int second = 1; second <= 600; second++) {
            Resources used = new Resources(second == 300 ? 5_000 : 1_000, 1_000, 0);
            estimate.observe(used, second * 1_000L);
            assertTrue(used.fitsInto(estimate.estimate()));
        }
        assertTrue(estimate.estimate().milliCores() < 1_300, estimate.estimate().toString());
    }
}
