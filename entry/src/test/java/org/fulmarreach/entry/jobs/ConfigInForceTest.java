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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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

    /** An overdue read is sent again. If only the last one counted, a store that is slower would never be read. */
    @ParameterizedTest
    @ValueSource(ints = {400, 700, 900})
    void answersThatComeLateAreTaken(int answerMs) {
        VirtualTime time = new VirtualTime();
        VirtualStore store = new VirtualStore(time, answerMs, 0);
        List<Long> knownAtMs = new ArrayList<>();
        store.append(version(1));
        follow(time, store, 2_500, 1, knownAtMs);
        time.runUntil(CALM_MS);
        for (int i = 2; i <= 6; i++) {
            store.append(version(i));
            time.runUntil(time.nowMs() + 2_500);
        }
        assertEquals(6, knownAtMs.size());
    }

    /** Each read has its price, so in calm only the end of a wait is followed by the next one. */
    @Test
    void calmIsNotPolledFaster() {
        VirtualTime time = new VirtualTime();
        VirtualStore store = new VirtualStore(time, USUAL_ANSWER_MS, 0);
        store.append(version(1));
        follow(time, store, 2_500, 1, new ArrayList<>());
        time.runUntil(60_000);
        int waitMs = new ConfigReadBudget(2_500).times().waitMs();
        assertTrue(store.reads() <= 2 + 60_000 / waitMs, () -> store.reads() + " reads");
    }

    private static void follow(VirtualTime time, VirtualStore store, int applyMs, long seed, List<Long> knownAtMs) {
        new LogTail(
                        TopicPartition.OPERATOR,
                        store,
                        time.mailbox(),
                        new EventLog("entry"),
                        time::nowMs,
                        new ConfigReadBudget(applyMs).times(),
                        new Random(seed),
                        Set::of,
                        update -> update.records().forEach(unused -> knownAtMs.add(time.nowMs())))
                .reload();
    }

    private static KeyedRecord version(int version) {
        return new KeyedRecord(TopicPartition.CONFIG_KEY, new byte[] {(byte) version});
    }

    /** An outage at the end of which an operator's change is confirmed. */
    private record Outage(int applyMs, VirtualStore.Failure failure, int answerMs, int outageMs, boolean compacted) {
        long knownAfterMs() {
            VirtualTime time = new VirtualTime();
            VirtualStore store = new VirtualStore(time, answerMs, LARGE_TRANSFER_MS);
            List<Long> knownAtMs = new ArrayList<>();
            store.append(version(1));
            follow(time, store, applyMs, outageMs, knownAtMs);
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
    }
}
