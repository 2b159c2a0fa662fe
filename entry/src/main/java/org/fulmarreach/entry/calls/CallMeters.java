package org.fulmarreach.entry.calls;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/** Histograms of call duration by member, class and outcome. Thread-safe. */
public final class CallMeters {
    /** The registry never removes a series, so combinations beyond this limit are recorded as {@code other}. */
    private static final int MAX_SERIES = 4_096;

    private final MeterRegistry meters;
    private final Map<Key, Timer> timers = new ConcurrentHashMap<>();

    private record Key(String member, String service, String outcome) {}

    /** Constructs the recorder; it registers its histograms in {@code meters}. */
    public CallMeters(MeterRegistry meters) {
        this.meters = meters;
    }

    /**
     * Records the duration of a call that has its final answer.
     *
     * @param member member of the rule
     * @param service service of the rule
     * @param answer the final answer
     * @param durationNs time since the arrival of the call in nanoseconds
     */
    public void record(String member, String service, CallAnswer answer, long durationNs) {
        String outcome = switch (answer) {
            case CallAnswer.Answered answered -> answered.result().getStatus() < 500 ? "answered" : "answered_5xx";
            case CallAnswer.NotRun notRun -> "not_run";
            case CallAnswer.Unknown unknown -> "unknown";
            case CallAnswer.NotRoutable notRoutable -> "unknown";
            case CallAnswer.Rejected rejected -> "rejected";
        };
        Key key = new Key(member, service, outcome);
        if (!timers.containsKey(key) && timers.size() >= MAX_SERIES) {
            key = new Key("other", "other", outcome);
        }
        timers.computeIfAbsent(key, this::registerTimer).record(durationNs, TimeUnit.NANOSECONDS);
    }

    private Timer registerTimer(Key key) {
        return Timer.builder("fulmarreach.call.duration")
                .tag("member", key.member())
                .tag("class", key.service())
                .tag("outcome", key.outcome())
                .serviceLevelObjectives(
                        Duration.ofMillis(1),
                        Duration.ofMillis(2),
                        Duration.ofMillis(5),
                        Duration.ofMillis(10),
                        Duration.ofMillis(20),
                        Duration.ofMillis(50),
                        Duration.ofMillis(100),
                        Duration.ofMillis(200),
                        Duration.ofMillis(500),
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(5))
                .register(meters);
    }
}
