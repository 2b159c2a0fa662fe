package org.fulmarreach.guard.jobs;

import java.util.function.Consumer;

import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.ReadLimits;
import org.fulmarreach.platform.store.ReadResult;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.thrift.JobLeader;
import org.fulmarreach.runtime.cfg.Address;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameTransport;
import org.fulmarreach.runtime.net.LinkEvent;

/**
 * Connections of a guard to entries over TCP, and its lookups of the leader in the store. Thread-safe.
 *
 * @param transport opens the connections
 * @param store client of the store
 * @param log events
 */
record NetworkRelayLinks(FrameTransport transport, StoreClient store, EventLog log) implements RelayLinks {
    /** The store answers in 4 ms; a guard without an answer asks an entry next. */
    private static final ReadLimits LOOKUP_LIMITS = new ReadLimits(0, 1_000, false);

    @Override
    public void connect(String address, Consumer<LinkEvent> listener) {
        transport.connect(address, listener);
    }

    @Override
    public void findLeader(Consumer<String> answer) {
        TopicPartition partition = new TopicPartition(JobTopics.TOPIC, JobTopics.LEADER_HINT_PART);
        store.readNewest(partition, "", LOOKUP_LIMITS).thenAccept(result -> answer.accept(findAddress(result)));
    }

    private String findAddress(ReadResult result) {
        if (result instanceof ReadResult.Page page) {
            for (KeyedRecord record : page.records()) {
                if (record.key().equals(JobTopics.LEADER_KEY) && !record.isRemoval()) {
                    return decodeAddress(record);
                }
            }
        }
        return "";
    }

    private String decodeAddress(KeyedRecord record) {
        try {
            JobLeader leader = JobRecords.decodeLeader(record.value());
            if (Address.findPeer(leader.getAddress()).isPresent()) {
                return leader.getAddress();
            }
            log.emit(
                    RelayEvent.LEADER_ADDRESS_REFUSED,
                    "sender",
                    "store",
                    "term",
                    leader.getTerm(),
                    "node",
                    leader.getNode(),
                    "address",
                    leader.getAddress());
        } catch (FrameException e) {
            log.emit(RelayEvent.LEADER_ADDRESS_REFUSED, "sender", "store", "reason", e.getMessage());
        }
        return "";
    }
}
