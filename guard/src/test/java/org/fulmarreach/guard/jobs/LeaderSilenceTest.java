package org.fulmarreach.guard.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import org.fulmarreach.guard.jobs.LeaderSilence.Verdict;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against guards that keep an overloaded leader busy with new connections, and against waiting for ever. */
class LeaderSilenceTest {
    private static final long LEASE_MS = 6_000;
    private static final int TICK_MS = 250;

    /**
     * A leader with 0.12 of a core needs 0.2 s for a connection. 18 guards that leave after 1.6 s connect again before
     * it has answered them all, for ever; in a played day a session lasted 0.18 s, and 2,400 starts were not sent.
     */
    @Test
    void allGuardsGetASessionWithALeaderThatIsSlowToAccept() {
        assertEquals(18, new Reconnects(18, LEASE_MS).countSessionsAfter(20_000));
    }

    /** Shows that the load above is the one that overloads: with the former limit not all guards get a session. */
    @Test
    void guardsThatLeaveEarlyKeepTheLeaderOverloaded() {
        long sessions = new Reconnects(18, LeaderSilence.DOUBT_MS).countSessionsAfter(60_000);
        assertTrue(sessions < 9, sessions + " sessions");
    }

    /** Channels may become silent for good while new ones work. */
    @Test
    void establishedSessionThatBecomesSilentIsLeftWithinHalfALease() {
        LeaderSilence silence = new LeaderSilence(LEASE_MS, TICK_MS);
        silence.onOpened(true);
        silence.onAnswer();
        assertEquals(LEASE_MS / 2, timeUntilLeaveMs(silence));
    }

    /** An entry that was chosen at random and knows no leader must not hold a guard for long. */
    @Test
    void entryThatNobodyNamedAsLeaderIsLeftSoon() {
        LeaderSilence silence = new LeaderSilence(LEASE_MS, TICK_MS);
        silence.onOpened(false);
        assertEquals(1_750, timeUntilLeaveMs(silence));
    }

    /** A leader that is silent because it has failed is replaced meanwhile, which only the store can tell. */
    @Test
    void storeIsAskedWhileTheGuardWaits() {
        LeaderSilence silence = new LeaderSilence(LEASE_MS, TICK_MS);
        silence.onOpened(true);
        int lookups = 0;
        for (Verdict verdict = silence.onTick(); verdict != Verdict.LEAVE; verdict = silence.onTick()) {
            lookups += verdict == Verdict.LOOK_UP ? 1 : 0;
        }
        assertEquals(3, lookups);
    }

    private static long timeUntilLeaveMs(LeaderSilence silence) {
        while (silence.onTick() != Verdict.LEAVE) {
            assertTrue(silence.silentMs() < 10 * LEASE_MS, "never left");
        }
        return silence.silentMs();
    }

    /** Guards that all connect at once to a leader that handles one message after the other, under virtual time. */
    private static final class Reconnects {
        private static final int CONNECTION_MS = 200;
        private static final int REPORT_MS = 15;
        private static final int REPORT_INTERVAL_MS = 500;
        private static final int MIN_PAUSE_MS = 150;
        private static final int JITTER_MS = 150;

        private final List<Guard> guards = new ArrayList<>();
        private final Deque<Message> mailbox = new ArrayDeque<>();
        private final Random random = new Random(1);
        private long leaderFreeAtMs;

        private record Message(Guard guard, int connection, boolean opens) {}

        private final class Guard {
            private final LeaderSilence silence;
            private int connection;
            private long connectAtMs = random.nextInt(JITTER_MS);
            private boolean connected;
            private boolean accepted;

            Guard(long patienceMs) {
                silence = new LeaderSilence(patienceMs, TICK_MS);
            }

            void tick(long nowMs) {
                if (!connected && nowMs >= connectAtMs) {
                    connected = true;
                    silence.onOpened(true);
                    mailbox.add(new Message(this, connection, true));
                    mailbox.add(new Message(this, connection, false));
                } else if (connected && silence.onTick() == Verdict.LEAVE) {
                    connected = false;
                    accepted = false;
                    connection++;
                    connectAtMs = nowMs + MIN_PAUSE_MS + random.nextInt(JITTER_MS);
                } else if (accepted && nowMs % REPORT_INTERVAL_MS == 0) {
                    mailbox.add(new Message(this, connection, false));
                }
            }
        }

        Reconnects(int count, long patienceMs) {
            for (int i = 0; i < count; i++) {
                guards.add(new Guard(patienceMs));
            }
        }

        long countSessionsAfter(long durationMs) {
            for (long nowMs = 0; nowMs < durationMs; nowMs += TICK_MS) {
                for (Guard guard : guards) {
                    guard.tick(nowMs);
                }
                handleMessages(nowMs + TICK_MS);
            }
            return guards.stream().filter(guard -> guard.accepted).count();
        }

        private void handleMessages(long untilMs) {
            leaderFreeAtMs = Math.max(leaderFreeAtMs, untilMs - TICK_MS);
            while (!mailbox.isEmpty() && leaderFreeAtMs < untilMs) {
                Message message = mailbox.poll();
                boolean open = message.connection() == message.guard().connection;
                if (message.opens()) {
                    leaderFreeAtMs += CONNECTION_MS;
                } else if (open) {
                    leaderFreeAtMs += REPORT_MS;
                    message.guard().accepted = true;
                    message.guard().silence.onAnswer();
                }
            }
        }
    }
}
