package org.fulmarreach.core.jobs;

import java.util.List;

import org.fulmarreach.core.model.Resources;

/** Builder of steps for tests; options that are not set are disabled. */
final class TestSteps {
    private final int count;
    private final Resources demand;
    private final long estimatedMs;
    private final List<Integer> predecessors;
    private boolean checkpoints = true;
    private boolean gang;
    private int maxPerWorker;
    private boolean longRunning;
    private String requiredLabel = "";
    private String image = "";
    private int targetLatencyMs;
    private boolean isBestEffort;
    private int maxUnavailable;

    private TestSteps(int count, Resources demand, long estimatedMs, List<Integer> predecessors) {
        this.count = count;
        this.demand = demand;
        this.estimatedMs = estimatedMs;
        this.predecessors = predecessors;
    }

    static TestSteps of(int count, Resources demand, long estimatedMs, List<Integer> predecessors) {
        return new TestSteps(count, demand, estimatedMs, predecessors);
    }

    TestSteps bestEffort(String newImage) {
        image = newImage;
        isBestEffort = true;
        return this;
    }

    TestSteps serving(String newImage, int newTargetLatencyMs) {
        image = newImage;
        targetLatencyMs = newTargetLatencyMs;
        longRunning = true;
        checkpoints = false;
        return this;
    }

    TestSteps longRunning() {
        longRunning = true;
        checkpoints = false;
        return this;
    }

    TestSteps requiring(String label) {
        requiredLabel = label;
        return this;
    }

    TestSteps gang() {
        gang = true;
        return this;
    }

    TestSteps atMostPerWorker(int most) {
        maxPerWorker = most;
        return this;
    }

    TestSteps atMostUnavailable(int most) {
        maxUnavailable = most;
        return this;
    }

    TestSteps withoutCheckpoints() {
        checkpoints = false;
        return this;
    }

    JobStep build() {
        return new JobStep(
                count,
                demand,
                estimatedMs,
                predecessors,
                checkpoints,
                gang,
                false,
                requiredLabel,
                "",
                maxPerWorker,
                false,
                longRunning,
                image,
                targetLatencyMs,
                isBestEffort,
                maxUnavailable);
    }
}
