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
 * State machine that is replayed from the stream "rules". All readers that apply the same records have the same
 * revision and lines. The revision in force never decreases.
 *
 * <p>A new rule book starts at offset 0. If earlier records were lost because the stream was truncated, it is not
 * synchronized until it reads a valid snapshot. Until then it applies no publish, and the rules in force stay
 * unchanged. Not thread-safe: confined to one thread or actor.
 */
public final class RuleBook {
    /** Number of accepted publishes kept for deduplication; covers about 26 minutes at 56,000 publishes per day. */
    public static final int MAX_RECENT_PUBLISHES = 1_024;

    /** Maximum number of names that are bound to a region, including names of removed rules. */
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

    // Public API: applying records

    /**
     * Applies the record at {@code offset}. An offset that was already applied has no effect; a gap before the offset
     * means that records were lost.
     */
    public RulesOutcome apply(long offset, RulesRecord record) {
        if (offset < nextOffset) {
            return new RulesOutcome.Ignored(RulesOutcome.Reason.ALREADY_APPLIED);
        }
        markTruncatedBefore(offset);
        nextOffset = offset + 1;
        recordsSinceSnapshot++;
        return switch (record) {
            case RulesRecord.Publish publish -> applyPublish(offset, publish);
            case RulesRecord.Snapshot snapshot -> applySnapshot(offset, snapshot);
        };
    }

    /** Skips the record at {@code offset}, which could not be decoded. */
    public void skipUnreadable(long offset) {
        if (offset >= nextOffset) {
            markTruncatedBefore(offset);
            nextOffset = offset + 1;
        }
    }

    /**
     * Records that the stream was truncated and now starts at {@code firstOffset}. If unread records were lost, the
     * rule book is not synchronized until it reads a valid snapshot.
     */
    public void markTruncatedBefore(long firstOffset) {
        if (firstOffset > nextOffset) {
            nextOffset = firstOffset;
            synchronizedWithLog = false;
        }
    }

    /**
     * Adopts the rules of a peer, for use while the store is unavailable. They affect only {@link #inForce()}.
     *
     * @return whether they were adopted, because they are valid and newer than the rules in force
     */
    public boolean adoptFromPeer(long peerRevision, List<String> lines) {
        if (peerRevision > inForce.revision() && RulesParser.parse(lines) instanceof ParseResult.Parsed parsed) {
            inForce = new RulesInForce(peerRevision, parsed.rules());
            return true;
        }
        return false;
    }

    // Public API: state

    /** Returns whether the rule book reflects all decodable records before {@link #nextOffset()}. */
    public boolean isSynchronized() {
        return synchronizedWithLog;
    }

    /** Returns the offset of the next record to apply. */
    public long nextOffset() {
        return nextOffset;
    }

    /** Returns the revision according to the stream: the offset of the last accepted publish + 1, or 0. */
    public long revision() {
        return revision;
    }

    /** Returns the canonical lines according to the stream, in order. */
    public List<String> lines() {
        return rulesByKey.values().stream().map(Rule::text).toList();
    }

    /** Returns the rules in force: those from the stream, or newer ones from a peer. */
    public RulesInForce inForce() {
        if (revision > inForce.revision()) {
            inForce = new RulesInForce(revision, new Rules(rulesByKey.values()));
        }
        return inForce;
    }

    /** Returns the revision that an accepted publish created; empty if it is unknown or no longer kept. */
    public OptionalLong findRevision(String publishId) {
        Long found = recentPublishes.get(publishId);
        return found == null ? OptionalLong.empty() : OptionalLong.of(found);
    }

    /** Returns the region that a name of batch or standing work is bound to, if any. */
    public Optional<String> findBinding(String name) {
        return Optional.ofNullable(regionByName.get(name));
    }

    /** Returns the number of records applied since the last snapshot, which determines when the next one is due. */
    public int recordsSinceSnapshot() {
        return recordsSinceSnapshot;
    }

    /** Constructs a snapshot of the current state; empty if the rule book is not synchronized or has read no record. */
    public Optional<RulesRecord.Snapshot> constructSnapshot() {
        if (!synchronizedWithLog || nextOffset == 0) {
            return Optional.empty();
        }
        List<PublishResult> recent = new ArrayList<>();
        recentPublishes.forEach((id, createdRevision) -> recent.add(new PublishResult(id, createdRevision)));
        return Optional.of(new RulesRecord.Snapshot(revision, lines(), regionByName, recent, nextOffset - 1));
    }

    // Helpers: publish

    private RulesOutcome applyPublish(long offset, RulesRecord.Publish publish) {
        if (!synchronizedWithLog) {
            return new RulesOutcome.Ignored(RulesOutcome.Reason.NO_SNAPSHOT_YET);
        }
        Long createdRevision = recentPublishes.get(publish.publishId());
        if (createdRevision != null) {
            return new RulesOutcome.Duplicate(publish.publishId(), createdRevision);
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
                    "Use the current version of fulmarctl.");
            return new RulesOutcome.Rejected(publish.publishId(), ErrorCode.BAD_REQUEST, List.of(fault));
        }
        PublishCheck check = PublishCheck.of(publish, rulesByKey, regionByName);
        if (!check.faults().isEmpty()) {
            return new RulesOutcome.Rejected(publish.publishId(), check.code(), check.faults());
        }
        check.removedKeys().forEach(rulesByKey::remove);
        check.added().forEach(this::addRule);
        revision = offset + 1;
        recordPublish(publish.publishId(), revision);
        return new RulesOutcome.Accepted(publish.publishId(), revision);
    }

    private void addRule(Rule rule) {
        rulesByKey.put(rule.uniqueKey(), rule);
        PublishCheck.findWork(rule).ifPresent(work -> regionByName.put(work.name(), work.region()));
    }

    private void recordPublish(String publishId, long createdRevision) {
        recentPublishes.put(publishId, createdRevision);
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
