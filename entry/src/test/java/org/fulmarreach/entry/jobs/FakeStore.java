package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.AppendResult;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.ReadResult;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.platform.store.TopicPartition;

/**
 * The log in memory, with the rules of the published contract for conditions, epochs, sequences and repeats. Several
 * entries may share it. Thread-safe.
 */
final class FakeStore implements StoreClient {
    private static final int MAX_WAIT_MS = 20;

    private final Map<TopicPartition, List<KeyedRecord>> logs = new HashMap<>();
    private final Map<String, Long> epochs = new HashMap<>();
    private final Map<String, Long> sequences = new HashMap<>();
    private final Map<String, AppendResult> answers = new HashMap<>();
    private boolean losingAnswers;
    private boolean refusing;
    private boolean holdingReads;
    private TopicPartition silenced;
    private TopicPartition delayed;
    private int answerDelayMs;

    /** From now on appends are carried out, or not, without an answer. */
    synchronized void loseAnswers(boolean lose) {
        losingAnswers = lose;
    }

    /** From now on appends are refused, or not. */
    synchronized void refuse(boolean refuse) {
        refusing = refuse;
    }

    /** From now on reads that find nothing never end. */
    synchronized void holdReads() {
        holdingReads = true;
    }

    /** From now on reads of a partition get no answer, as on a connection that went silent. */
    synchronized void silenceReads(TopicPartition partition) {
        silenced = partition;
    }

    /** From now on answers to reads of a partition, as of the time of the read, arrive later by some milliseconds. */
    synchronized void delayReads(TopicPartition partition, int delayMs) {
        delayed = partition;
        answerDelayMs = delayMs;
    }

    synchronized List<KeyedRecord> records(TopicPartition partition) {
        return List.copyOf(log(partition));
    }

    @Override
    public synchronized CompletionStage<AppendResult> append(
            TopicPartition partition, List<KeyedRecord> records, AppendCondition condition) {
        if (refusing) {
            return CompletableFuture.completedFuture(new AppendResult.Refused("status 503"));
        }
        AppendResult result = carryOut(partition, records, condition);
        return CompletableFuture.completedFuture(losingAnswers ? new AppendResult.Unknown("no answer") : result);
    }

    @Override
    public synchronized CompletionStage<ReadResult> read(TopicPartition partition, long fromOffset, int waitMs) {
        List<KeyedRecord> log = log(partition);
        ReadResult result = new ReadResult.Records(List.copyOf(log.subList((int) fromOffset, log.size())), log.size());
        if (partition.equals(silenced) || holdingReads && fromOffset >= log.size()) {
            return new CompletableFuture<>();
        }
        int delayMs = 1 + Math.min(waitMs, MAX_WAIT_MS) + (partition.equals(delayed) ? answerDelayMs : 0);
        return CompletableFuture.supplyAsync(
                () -> result, CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS));
    }

    @Override
    public synchronized CompletionStage<ReadResult> readNewest(TopicPartition partition) {
        Map<String, KeyedRecord> newest = new LinkedHashMap<>();
        log(partition).forEach(entry -> newest.put(entry.key(), entry));
        newest.values().removeIf(KeyedRecord::isRemoval);
        return CompletableFuture.completedFuture(new ReadResult.Records(
                new ArrayList<>(newest.values()), log(partition).size()));
    }

    private AppendResult carryOut(TopicPartition partition, List<KeyedRecord> records, AppendCondition condition) {
        return switch (condition) {
            case AppendCondition.None none -> add(partition, records);
            case AppendCondition.AtEnd end ->
                end.expectedEnd() == log(partition).size()
                        ? add(partition, records)
                        : new AppendResult.Superseded("the partition has grown");
            case AppendCondition.NewEpoch first ->
                inEpoch(partition, records, first.producer(), first.epoch(), 0, first.expectedEnd());
            case AppendCondition.InSequence next ->
                inEpoch(partition, records, next.producer(), next.epoch(), next.sequence(), -1);
        };
    }

    private AppendResult inEpoch(
            TopicPartition partition,
            List<KeyedRecord> records,
            String producer,
            long epoch,
            long sequence,
            long expectedEnd) {
        String key = partition + producer;
        long newest = epochs.getOrDefault(key, -1L);
        if (epoch < newest) {
            return new AppendResult.Superseded("a newer epoch has begun");
        }
        AppendResult repeat = answers.get(key + epoch + "/" + sequence);
        if (repeat != null) {
            return repeat;
        }
        if (expectedEnd >= 0 && expectedEnd != log(partition).size()) {
            return new AppendResult.Superseded("the partition has grown");
        }
        if (epoch == newest && sequence != sequences.get(key) + 1) {
            return new AppendResult.OutOfSequence(sequences.get(key) + 1);
        }
        epochs.put(key, epoch);
        sequences.put(key, sequence);
        AppendResult result = add(partition, records);
        answers.put(key + epoch + "/" + sequence, result);
        return result;
    }

    private AppendResult add(TopicPartition partition, List<KeyedRecord> records) {
        log(partition).addAll(records);
        return new AppendResult.Appended(log(partition).size());
    }

    private List<KeyedRecord> log(TopicPartition partition) {
        return logs.computeIfAbsent(partition, unused -> new ArrayList<>());
    }
}
