package org.fulmarreach.protocol.io;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.core.rules.PublishResult;
import org.fulmarreach.core.rules.RulesRecord;
import org.fulmarreach.protocol.thrift.NameBinding;
import org.fulmarreach.protocol.thrift.RulesPublish;
import org.fulmarreach.protocol.thrift.RulesSnapshot;

/** Converts the records of the stream "rules" to and from bytes in the Thrift compact protocol. Stateless. */
public final class RulesRecords {
    private RulesRecords() {}

    /** Serializes a record. */
    public static byte[] toBytes(RulesRecord record) {
        return CompactBytes.write(
                switch (record) {
                    case RulesRecord.Publish publish ->
                        org.fulmarreach.protocol.thrift.RulesRecord.publish(new RulesPublish(
                                publish.publishId(),
                                publish.baseRevision(),
                                publish.removed(),
                                publish.added(),
                                publish.operator()));
                    case RulesRecord.Snapshot snapshot ->
                        org.fulmarreach.protocol.thrift.RulesRecord.snapshot(toThrift(snapshot));
                });
    }

    /**
     * Deserializes a record.
     *
     * @throws FrameException if the bytes are malformed or a field is missing
     */
    public static RulesRecord fromBytes(byte[] bytes) {
        var union = new org.fulmarreach.protocol.thrift.RulesRecord();
        CompactBytes.read(union, bytes);
        try {
            if (union.isSetPublish()) {
                return fromThrift(union.getPublish());
            }
            if (union.isSetSnapshot()) {
                return fromThrift(union.getSnapshot());
            }
        } catch (NullPointerException e) {
            throw new FrameException("record of the stream rules has a null element in a list", e);
        }
        throw new FrameException("record of the stream rules is of an unknown kind");
    }

    private static RulesSnapshot toThrift(RulesRecord.Snapshot snapshot) {
        List<NameBinding> bindings = new ArrayList<>();
        new TreeMap<>(snapshot.bindings()).forEach((name, region) -> bindings.add(new NameBinding(name, region)));
        List<org.fulmarreach.protocol.thrift.PublishResult> recent = new ArrayList<>();
        snapshot.recentPublishes()
                .forEach(result -> recent.add(
                        new org.fulmarreach.protocol.thrift.PublishResult(result.publishId(), result.revision())));
        return new RulesSnapshot(snapshot.revision(), snapshot.lines(), bindings, recent, snapshot.basedOnOffset());
    }

    private static RulesRecord fromThrift(RulesPublish publish) {
        return new RulesRecord.Publish(
                CompactBytes.require(publish.getPublishId(), "publishId"),
                publish.getBaseRevision(),
                CompactBytes.require(publish.getRemoved(), "removed"),
                CompactBytes.require(publish.getAdded(), "added"),
                CompactBytes.require(publish.getOperator(), "operator"));
    }

    private static RulesRecord fromThrift(RulesSnapshot snapshot) {
        Map<String, String> bindings = new TreeMap<>();
        for (NameBinding binding : CompactBytes.require(snapshot.getBindings(), "bindings")) {
            bindings.put(
                    CompactBytes.require(binding.getWork(), "work"),
                    CompactBytes.require(binding.getRegion(), "region"));
        }
        List<PublishResult> recent = new ArrayList<>();
        for (var result : CompactBytes.require(snapshot.getRecentPublishes(), "recentPublishes")) {
            recent.add(
                    new PublishResult(CompactBytes.require(result.getPublishId(), "publishId"), result.getRevision()));
        }
        return new RulesRecord.Snapshot(
                snapshot.getRevision(),
                CompactBytes.require(snapshot.getLines(), "lines"),
                bindings,
                recent,
                snapshot.getBasedOnOffset());
    }
}
