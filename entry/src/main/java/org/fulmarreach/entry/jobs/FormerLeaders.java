package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.fulmarreach.core.jobs.EntryLifetime;
import org.fulmarreach.core.jobs.FormerLeases;
import org.fulmarreach.core.jobs.JobTimeLimits;
import org.fulmarreach.core.jobs.WithheldLeases;
import org.fulmarreach.protocol.thrift.FormerLeader;
import org.fulmarreach.protocol.thrift.JobLeader;

/**
 * What the log tells about the leases of former leaders. Times are readings of this entry's monotonic clock. A record
 * was stored before it was read, so a bound that counts from the reading is safe. Confined to one actor.
 *
 * <p>A leader grants leases for a bounded time after its last acknowledged append, which is before the next term
 * begins, and not after its process has ended, which the next process at its address tells. Both bounds hold for each
 * former leader by itself. A term has begun once the store has a second record of it, which opens its epoch.
 */
final class FormerLeaders {
    private static final int CLOCK_DRIFT_PERCENT = 2;
    private static final int FULL_PERCENT = 100;

    /** Begin of a term that has not begun. */
    static final long NOT_BEGUN = Long.MAX_VALUE / 2;

    /** Number that stands for all leaders whose records were not read. */
    private static final long UNKNOWN_TERM = 0;

    /** Time after its last possible grant after which a term is forgotten. */
    private static final long RETENTION_MS = 60_000;

    private final JobTimeLimits limits;
    private final TreeMap<Long, Term> terms = new TreeMap<>();
    private final Map<String, EntryLifetime> newestLifetimes = new HashMap<>();
    private final Map<String, Long> startedAtMs = new HashMap<>();
    private long newestTerm;
    private int recordsOfNewest;
    private WithheldLeases withheld = new WithheldLeases(0, Map.of());
    private long withheldReadAtMs;

    /**
     * Term of a leader.
     *
     * @param lifetime number of its process; the largest number if that is not known
     * @param grantsUntilMs time of its last grant at most, as the store bounds it; the largest while it may lead on
     */
    private record Term(long number, String address, long lifetime, long grantsUntilMs) {
        Term withLifetime(long newLifetime) {
            return new Term(number, address, newLifetime, grantsUntilMs);
        }

        Term boundedBy(long untilMs) {
            return new Term(number, address, lifetime, Math.min(grantsUntilMs, untilMs));
        }
    }

    FormerLeaders(JobTimeLimits limits) {
        this.limits = limits;
    }

    /*
     * Records
     */

    /** Records that a record of a leader was read. */
    void onLeader(JobLeader leader, long nowMs) {
        long number = leader.getTerm();
        if (number < newestTerm) {
            // The candidate of a later term has not opened its epoch, so this leader leads on.
            terms.put(number, new Term(number, leader.getAddress(), lifetimeOf(leader), Long.MAX_VALUE));
            return;
        }
        if (number > newestTerm) {
            if (number > newestTerm + 1) {
                addUnknownLeaders();
            }
            newestTerm = number;
            recordsOfNewest = 0;
            terms.put(number, new Term(number, leader.getAddress(), lifetimeOf(leader), Long.MAX_VALUE));
        } else if (leader.isSetLifetime()) {
            // A process that was elected before its own record was stored tells its lifetime later.
            terms.computeIfPresent(number, (unused, term) -> term.withLifetime(leader.getLifetime()));
        }
        recordsOfNewest++;
        if (leader.isSetFormerLeaders()) {
            applyFormer(number, leader.getFormerLeaders(), nowMs);
        }
        if (recordsOfNewest > 1) {
            terms.headMap(number).replaceAll((unused, term) -> term.boundedBy(nowMs + limits.grantWithoutStoreMs()));
        }
        terms.headMap(number).values().removeIf(term -> term.grantsUntilMs() < nowMs - RETENTION_MS);
    }

    /** Applies what a leader has told of the former ones; any other one had granted its last lease before. */
    private void applyFormer(long number, List<FormerLeader> told, long nowMs) {
        Map<Long, Long> untilMs = new HashMap<>();
        boolean skippedTerms = terms.containsKey(UNKNOWN_TERM);
        for (FormerLeader former : told) {
            long lastGrantMs = former.isSetRemainingMs() ? nowMs + withDrift(former.getRemainingMs()) : Long.MAX_VALUE;
            untilMs.put(former.getTerm(), lastGrantMs);
            if (skippedTerms) {
                long lifetime = former.isSetLifetime() ? former.getLifetime() : Long.MAX_VALUE;
                terms.putIfAbsent(
                        former.getTerm(), new Term(former.getTerm(), former.getAddress(), lifetime, Long.MAX_VALUE));
            }
        }
        // A leader that is not told of may be one of those that the present one does not know.
        long othersUntilMs = untilMs.getOrDefault(UNKNOWN_TERM, nowMs);
        terms.headMap(number).replaceAll((term, known) -> known.boundedBy(untilMs.getOrDefault(term, othersUntilMs)));
    }

    /** Records that a record of withheld leases was read. */
    void onWithheld(WithheldLeases read, long nowMs) {
        withheld = read;
        withheldReadAtMs = nowMs;
    }

    /** Records that the start of a process was read. */
    void onEntryStarted(EntryLifetime read, long nowMs) {
        EntryLifetime known = newestLifetimes.get(read.address());
        if (known != null && known.lifetime() > read.lifetime()) {
            return;
        }
        long atMs = nowMs - read.runningMs() * (FULL_PERCENT - CLOCK_DRIFT_PERCENT) / FULL_PERCENT;
        boolean same = known != null && known.lifetime() == read.lifetime();
        newestLifetimes.put(read.address(), read);
        startedAtMs.put(read.address(), same ? Math.min(startedAtMs.get(read.address()), atMs) : atMs);
    }

    /*
     * Bounds
     */

    /**
     * Returns what a leader knows of former leases when its term begins.
     *
     * @param ownTerm its term; the record of it may have been read already
     */
    FormerLeases findLeases(long ownTerm, long nowMs) {
        Long formerTerm = terms.lowerKey(ownTerm);
        if (formerTerm != null && formerTerm != ownTerm - 1) {
            addUnknownLeaders();
        }
        Map<String, Long> endsAtMs = new HashMap<>();
        // A leader in between would not have been bound by the record.
        if (formerTerm != null && withheld.term() == formerTerm) {
            withheld.remainingMs()
                    .forEach((guard, remainingMs) -> endsAtMs.put(guard, withheldReadAtMs + withDrift(remainingMs)));
        }
        return new FormerLeases(findGrantsUntilMs(ownTerm, nowMs), endsAtMs);
    }

    /**
     * Returns the time until which former leaders may have granted leases.
     *
     * @param ownBeginMs when the own term began, at or after which no former leader had an append acknowledged
     */
    long findGrantsUntilMs(long ownTerm, long ownBeginMs) {
        // Without any record of a leader there was none.
        return terms.headMap(ownTerm).values().stream()
                .mapToLong(term -> lastGrantMs(term, ownBeginMs))
                .max()
                .orElse(ownBeginMs);
    }

    /**
     * Returns the former leaders that may still grant leases, for the record of the present one.
     *
     * @param ownBeginMs when the own term began; {@link #NOT_BEGUN} before
     */
    List<FormerLeader> listGranting(long ownTerm, long ownBeginMs, long nowMs) {
        List<FormerLeader> granting = new ArrayList<>();
        for (Term term : terms.headMap(ownTerm).values()) {
            long lastGrantMs = lastGrantMs(term, ownBeginMs);
            if (lastGrantMs > nowMs) {
                FormerLeader former = new FormerLeader().setTerm(term.number()).setAddress(term.address());
                if (lastGrantMs < NOT_BEGUN) {
                    former.setRemainingMs(lastGrantMs - nowMs);
                }
                if (term.lifetime() < Long.MAX_VALUE) {
                    former.setLifetime(term.lifetime());
                }
                granting.add(former);
            }
        }
        return granting;
    }

    /*
     * Helpers
     */

    private void addUnknownLeaders() {
        terms.put(UNKNOWN_TERM, new Term(UNKNOWN_TERM, "", Long.MAX_VALUE, Long.MAX_VALUE));
    }

    private long lastGrantMs(Term term, long ownBeginMs) {
        EntryLifetime newest = newestLifetimes.get(term.address());
        boolean ended = newest != null && newest.lifetime() > term.lifetime();
        long endedByMs = ended ? startedAtMs.get(term.address()) : Long.MAX_VALUE;
        long byStoreMs = Math.min(term.grantsUntilMs(), ownBeginMs + limits.grantWithoutStoreMs());
        return Math.min(byStoreMs, endedByMs);
    }

    private static long withDrift(long durationMs) {
        return durationMs + durationMs * CLOCK_DRIFT_PERCENT / FULL_PERCENT;
    }

    private static long lifetimeOf(JobLeader leader) {
        return leader.isSetLifetime() ? leader.getLifetime() : Long.MAX_VALUE;
    }
}
