package org.fulmarreach.core.jobs;

import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against swings of the load of serving tasks that are taken for interference of best-effort tasks. */
class InterferenceModelTest {
    private static final int WORKERS = 4;
    private static final int SAMPLE_MS = 500;
    private static final int SAMPLES = 60;
    private static final int SEEDS = 50;
    private static final double LOAD = 0.42;
    private static final double SWING = 0.5;
    private static final int PERIOD_MS = 10_000;
    private static final double WEAK = 0.12;
    private static final double STRONG = 1.3;
    private static final double ERROR = 0.02;

    /** Part of a worker's processors that one best-effort task uses. */
    private static final double TASK_SHARE = 0.12;

    /** From here on a task of an eighth of a worker exceeds what serving tasks tolerate beside their peak load. */
    private static final double FIRST_STRONG = 0.8;

    /** Up to here best-effort tasks on a third of a worker fit beside the peak load. */
    private static final double LAST_WEAK = 0.4;

    /** Part of the estimates that may be on the wrong side, since a pair may have had few samples. */
    private static final double MAX_WRONG = 0.1;

    @Test
    void pairsAreToldApartWhileTheLoadOfAJobSwings() {
        int wrong = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            InterferenceModel model = learn(seed);
            wrong += model.factor("weak", "serve") > LAST_WEAK ? 1 : 0;
            wrong += model.factor("strong", "serve") < FIRST_STRONG ? 1 : 0;
        }
        double share = wrong / (2.0 * SEEDS);
        assertTrue(share <= MAX_WRONG, () -> "estimates on the wrong side: " + share);
    }

    /**
     * Tasks of the weak image run on one worker of each job while its load is high, as they do if they are placed while
     * it rises and paused once it is high; a task of the strong image comes and goes on the others.
     */
    private static InterferenceModel learn(long seed) {
        InterferenceModel model = new InterferenceModel();
        Random random = new Random(seed);
        double[] strong = new double[WORKERS];
        for (int sample = 0; sample < SAMPLES; sample++) {
            long nowMs = (long) sample * SAMPLE_MS;
            double phase = 2 * Math.PI * nowMs / PERIOD_MS;
            for (int worker = 0; worker < WORKERS; worker++) {
                double swing = (worker % 2 == 0 ? SWING : -SWING) * Math.sin(phase);
                double weak = worker < 2 && swing > 0 ? TASK_SHARE : 0;
                if (worker >= 2 && random.nextInt(6) == 0) {
                    strong[worker] = TASK_SHARE - strong[worker];
                }
                double load = LOAD * (1 + swing);
                double pressure = load + WEAK * weak + STRONG * strong[worker] + ERROR * random.nextGaussian();
                model.learn(
                        "guard-" + worker,
                        new InterferenceModel.Sample(
                                nowMs,
                                Map.of("weak", weak, "strong", strong[worker]),
                                Map.of("serve", Map.of("job-" + worker % 2, pressure))));
            }
        }
        return model;
    }
}
