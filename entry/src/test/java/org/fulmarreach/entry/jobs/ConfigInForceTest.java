package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;

import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.runtime.log.EventLog;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against a configuration that comes into force later than {@code config_apply_ms} after its confirmation: the
 * limit of a read without an answer, the pause after it and the next read took longer together than the platform
 * allows.
 */
class ConfigInForceTest {
    private static final Logger EVENTS = Logger.getLogger(EventLog.class.getName());

    private static final long CALM_MS = 4_000;
    private static final int MAX_OUTAGE_MS = 9_000;

    /** Prime, so that the outages end at all phases of the reads. */
    private static final int OUTAGE_STEP_MS = 83;

    private static final int USUAL_ANSWER_MS = 4;

    /** The store of the users' sites is 60 times slower than usual at times. */
    private static final int SLOW_ANSWER_MS = 240;

    /** A configuration of a thousand routes on a link of 14 Mbit/s. */
    private static final int LARGE_TRANSFER_MS = 120;

    /** Some hundred thousand lines of the outages would hide those of other tests. */
    @BeforeAll
    static void silenceEvents() {
        EVENTS.setLevel(Level.OFF);
    }

    @AfterAll
    static void restoreEvents() {
        EVENTS.setLevel(null);
    }

    static Stream<Arguments> cases() {
        return Stream.of(2_500, 4_000)
                .flatMap(applyMs -> Stream.of(VirtualStore.Failure.values())
                        .filter(failure -> failure != VirtualStore.Failure.NONE)
                        .flatMap(failure -> Stream.of(USUAL_ANSWER_MS, SLOW_ANSWER_MS)
                                .map(answerMs -> Arguments.of(applyMs, failure, answerMs))));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void configurationIsKnownInTimeAfterEachOutage(int applyMs, VirtualStore.Failure failure, int answerMs) {
        List<String> late = new ArrayList<>();
        for (int outageMs = 1; outageMs < MAX_OUTAGE_MS; outageMs += OUTAGE_STEP_MS) {
            for (boolean compacted : new boolean[] {false, true}) {
                long delayMs = new Outage(applyMs, failure, answerMs, outageMs, compacted).knownAfterMs();
                if (delayMs > applyMs) {
                    late.add(outageMs + (compacted ? " ms, compacted: " : " ms: ") + delayMs);
                }
            }
        }
        assertEquals(List.of(), late, "outages, and the time from the confirmation until the configuration is known");
    }

    /** An outage at the end of which an operator's change is confirmed. */
    private record Outage(int applyMs, VirtualStore.Failure failure, int answerMs, int outageMs, boolean compacted) {
        long knownAfterMs() {
            VirtualTime time = new VirtualTime();
            VirtualStore store = new VirtualStore(time, answerMs, LARGE_TRANSFER_MS);
            List<Long> knownAtMs = new ArrayList<>();
            store.append(version(1));
            LogTail tail = new LogTail(
                    TopicPartition.OPERATOR,
                    store,
                    time.mailbox(),
                    new EventLog("entry"),
                    time::nowMs,
                    JobsActor.CONFIG_TIMES,
                    new Random(outageMs),
                    Set::of,
                    update -> update.records().forEach(unused -> knownAtMs.add(time.nowMs())));
            tail.reload();
            time.runUntil(CALM_MS + outageMs % 997);
            store.fail(failure);
            time.runUntil(time.nowMs() + outageMs);
            store.fail(VirtualStore.Failure.NONE);
            long confirmedAtMs = time.nowMs();
            store.append(version(2));
            if (compacted) {
                store.compact();
            }
            time.runUntil(confirmedAtMs + 20_000);
            return knownAtMs.getLast() - confirmedAtMs;
        }

        private static KeyedRecord version(int version) {
            return new KeyedRecord(TopicPartition.CONFIG_KEY, new byte[] {(byte) version});
        }
    }
}
