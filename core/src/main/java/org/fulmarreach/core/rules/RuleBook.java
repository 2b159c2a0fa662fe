package org.fulmarreach.core.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;

import org.fulmarreach.core.exc.ErrorCode;

/**
 * The fold of the stream "rules". Every reader that applies the same records has the same revision and lines. The
 * revision in force never becomes lower.
 *
 * <p>A new book expects offset 0. When earlier records are lost (a truncated stream), it is not synchronized until it
 * meets a valid snapshot, and decides nothing meanwhile; the rules in force stay. Owned by one thread or actor.
 */
public final class RuleBook {
    /** Accepted publishes that are remembered, about 26 minutes at 56,000 publishes a day. */
    public static final int MAX_RECENT_PUBLISHES = 1_024;

    /** Most names that are bound to a region, present and past. */
    public static final int MAX_BINDINGS = 200_000;

    private static final Pattern PUBLISH_ID = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    private final Map<String, Rule> rulesByKey = new LinkedHashMap<>();
    private final Map<String, String> regionByName = new HashMap<>();
    private final LinkedHashMap<String, Long> recentPublishes = new LinkedHashMap<>();
    private long nextOffset;
    private long revision;
    private int recordsSinceSnapshot;
    private boolean synchronizedWithLog = true;
    private RulesInForce inForce = RulesInForce.NONE;

    // Public API: folding

    /**
     * Applies the record at {@code offset}. An offset that was applied before has no effect; a gap before the offset
     * means that records are lost.
     */
    public RulesOutcome apply(long offset, RulesRecord record) {
        if (offset < nextOffset) {
            return new RulesOutcome.Ignored(RulesOutcome.Reason.ALREADY_APPLIED);
        }
        loseRecordsBefore(offset);
        nextOffset = offset + 1;
        recordsSinceSnapshot++;
        return switch (record) {
            case RulesRecord.Publish publish -> applyPublish(offset, publish);
            case RulesRecord.Snapshot snapshot -> applySnapshot(offset, snapshot);
        };
    }

    /** Passes over the record at {@code offset}, whose bytes could not be read. */
    public void skipUnreadable(long offset) {
        if (offset >= nextOffset) {
            loseRecordsBefore(offset);
            nextOffset = offset + 1;
        }
    }

    /** Tells the book that the stream's first kept record is at {@code firstOffset}. */
    public void loseRecordsBefore(long firstOffset) {
        if (firstOffset > nextOffset) {
            nextOffset = firstOffset;
            synchronizedWithLog = false;
        }
    }

    /**
     * Takes over the rules of a peer, for use while the store does not answer. They count only for {@link #inForce()}.
     *
     * @return whether they are newer than the rules in force and have no fault
     */
    public boolean adoptFromPeer(long peerRevision, List<String> lines) {
        if (peerRevision > inForce.revision() && RulesParser.parse(lines) instanceof ParseResult.Parsed parsed) {
            inForce = new RulesInForce(peerRevision, parsed.rules());
            return true;
        }
        return false;
    }

    // Public API: state

    /** Returns whether the book has all records that matter up to {@link #nextOffset()}. */
    public boolean isSynchronized() {
        return synchronizedWithLog;
    }

    /** Returns the offset that the book expects next. */
    public long nextOffset() {
        return nextOffset;
    }

    /** Returns the revision of the fold: the offset of the last accepted publish + 1, or 0. */
    public long revision() {
        return revision;
    }

    /** Returns the canonical lines of the fold in order. */
    public List<String> lines() {
        return rulesByKey.values().stream().map(Rule::text).toList();
    }

    /** Returns the rules to act on: those of the fold, or newer ones from a peer. */
    public RulesInForce inForce() {
        if (revision > inForce.revision()) {
            inForce = new RulesInForce(revision, new Rules(rulesByKey.values()));
        }
        return inForce;
    }

    /** Finds the revision that an accepted publish made, as long as it is remembered. */
    public OptionalLong findRevision(String publishId) {
        Long found = recentPublishes.get(publishId);
        return found == null ? OptionalLong.empty() : OptionalLong.of(found);
    }

    /** Finds the region that a name of batch or standing work is bound to. */
    public Optional<String> findBinding(String name) {
        return Optional.ofNullable(regionByName.get(name));
    }

    /** Returns the number of records applied since the last snapshot; tells when the next one is due. */
    public int recordsSinceSnapshot() {
        return recordsSinceSnapshot;
    }

    /** Constructs a snapshot of the present state; empty if the book is not synchronized or has read nothing. */
    public Optional<RulesRecord.Snapshot> constructSnapshot() {
        if (!synchronizedWithLog || nextOffset == 0) {
            return Optional.empty();
        }
        List<PublishResult> recent = new ArrayList<>();
        recentPublishes.forEach((id, made) -> recent.add(new PublishResult(id, made)));
        return Optional.of(new RulesRecord.Snapshot(revision, lines(), regionByName, recent, nextOffset - 1));
    }

    // Helpers: publish

    private RulesOutcome applyPublish(long offset, RulesRecord.Publish publish) {
        if (!synchronizedWithLog) {
            return new RulesOutcome.Ignored(RulesOutcome.Reason.NO_SNAPSHOT_YET);
        }
        Long made = recentPublishes.get(publish.publishId());
        if (made != null) {
            return new RulesOutcome.Duplicate(publish.publishId(), made);
        }
        if (publish.baseRevision() != revision) {
            return new RulesOutcome.Conflict(publish.publishId(), publish.baseRevision(), revision);
        }
        if (!PUBLISH_ID.matcher(publish.publishId()).matches()) {
            RuleFault fault = new RuleFault(
                    1,
                    1,
                    "an id of 1 to 64 letters, digits and ._-",
                    publish.publishId(),
                    "Use the present fulmarctl.");
            return new RulesOutcome.Rejected(publish.publishId(), ErrorCode.BAD_REQUEST, List.of(fault));
        }
        PublishCheck check = PublishCheck.of(publish, rulesByKey, regionByName);
        if (!check.faults().isEmpty()) {
            return new RulesOutcome.Rejected(publish.publishId(), check.code(), check.faults());
        }
        check.removedKeys().forEach(rulesByKey::remove);
        check.added().forEach(this::addRule);
        revision = offset + 1;
        rememberPublish(publish.publishId(), revision);
        return new RulesOutcome.Accepted(publish.publishId(), revision);
    }

    private void addRule(Rule rule) {
        rulesByKey.put(rule.uniqueKey(), rule);
        PublishCheck.findWork(rule).ifPresent(work -> regionByName.put(work.name(), work.region()));
    }

    private void rememberPublish(String publishId, long made) {
        recentPublishes.put(publishId, made);
        if (recentPublishes.size() > MAX_RECENT_PUBLISHES) {
            recentPublishes.pollFirstEntry();
        }
    }

    // Helpers: snapshot

    private RulesOutcome applySnapshot(long offset, RulesRecord.Snapshot snapshot) {
        if (snapshot.basedOnOffset() != offset - 1 || snapshot.revision() > offset) {
            return new RulesOutcome.Ignored(RulesOutcome.Reason.SNAPSHOT_OVERTAKEN);
        }
        if (synchronizedWithLog) {
            recordsSinceSnapshot = 0;
            return new RulesOutcome.Ignored(RulesOutcome.Reason.SNAPSHOT_NOT_NEEDED);
        }
        if (snapshot.revision() < revision) {
            return new RulesOutcome.Ignored(RulesOutcome.Reason.SNAPSHOT_LOWER);
        }
        if (!(RulesParser.parse(snapshot.lines()) instanceof ParseResult.Parsed parsed)) {
            return new RulesOutcome.Ignored(RulesOutcome.Reason.SNAPSHOT_FAULTY);
        }
        rulesByKey.clear();
        regionByName.clear();
        recentPublishes.clear();
        regionByName.putAll(snapshot.bindings());
        parsed.rules().all().forEach(this::addRule);
        snapshot.recentPublishes().forEach(result -> recentPublishes.put(result.publishId(), result.revision()));
        revision = snapshot.revision();
        recordsSinceSnapshot = 0;
        synchronizedWithLog = true;
        return new RulesOutcome.Restored(revision);
    }
}
