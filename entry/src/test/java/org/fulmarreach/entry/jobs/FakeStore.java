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
import org.fulmarreach.platform.store.HttpStoreClient;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.ReadLimits;
import org.fulmarreach.platform.store.ReadResult;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.platform.store.StoreLimits;
import org.fulmarreach.platform.store.TopicPartition;

/**
 * In-memory store that follows the published contract for append conditions, epochs, sequences and repeated appends.
 * Several entries may share it. Thread-safe.
 */
final class FakeStore implements StoreClient {
    private static final int MAX_WAIT_MS = 20;
    private static final int APPEND_MS = 4;

    private final Map<TopicPartition, List<KeyedRecord>> logs = new HashMap<>();
    private final Map<String, Long> epochs = new HashMap<>();
    private final Map<String, Long> sequences = new HashMap<>();
    private final Map<String, AppendResult> answers = new HashMap<>();
    private boolean losingAnswers;
    private boolean refusing;
    private boolean holdingReads;
    private final Map<TopicPartition, Integer> firstKept = new HashMap<>();
    private TopicPartition refused;
    private int refusals;
    private TopicPartition silenced;
    private TopicPartition unloadable;
    private final Map<TopicPartition, Integer> reads = new HashMap<>();
    private int appendDelayMs;
    private TopicPartition delayed;
    private int answerDelayMs;
    private int maxRecords = Integer.MAX_VALUE;
    private TopicPartition failing;
    private TopicPartition heldLoads;
    private TopicPartition heldReads;
    private String unstorable = "";
    private StoreLimits limits = StoreLimits.DEFAULT;
    private int heldAnswers;
    private CompletableFuture<Void> released = new CompletableFuture<>();
    private final Map<TopicPartition, Integer> loads = new HashMap<>();

    /** Sets whether the answers to appends are lost; the appends are still executed. */
    synchronized void loseAnswers(boolean lose) {
        losingAnswers = lose;
    }

    /** Sets whether appends are refused. */
    synchronized void refuse(boolean refuse) {
        refusing = refuse;
    }

    /** Removes a key and expires all records of the partition before a reader can see the removal. */
    synchronized void removeAndExpire(TopicPartition partition, String key) {
        log(partition).add(KeyedRecord.removal(key));
        firstKept.put(partition, log(partition).size());
    }

    /** Sets the sizes that are accepted. */
    synchronized void accept(StoreLimits newLimits) {
        limits = newLimits;
    }

    @Override
    public synchronized StoreLimits limits() {
        return limits;
    }

    /** Makes appends with a key be refused for ever, as those over a limit that the settings do not tell. */
    synchronized void neverStore(String key) {
        unstorable = key;
    }

    /** Makes further appends to a partition be refused, in the time that the store usually needs. */
    synchronized void refuseAppends(TopicPartition partition) {
        refused = partition;
    }

    /** Ends {@link #refuseAppends}. */
    synchronized void acceptAppends() {
        refused = null;
    }

    /** Returns how many appends were refused because of {@link #refuseAppends}. */
    synchronized int refusals() {
        return refusals;
    }

    /** Makes all further reads that find no records wait for ever. */
    synchronized void holdReads() {
        holdingReads = true;
    }

    /** Makes further reads of a partition get no answer, so that they fail as the client's do; null for none. */
    synchronized void silenceReads(TopicPartition partition) {
        silenced = partition;
    }

    /** Returns how many reads of a partition have begun. */
    synchronized int reads(TopicPartition partition) {
        return reads.getOrDefault(partition, 0);
    }

    /** Delays the answers to further appends, which are executed at once. */
    synchronized void delayAppends(int delayMs) {
        appendDelayMs = delayMs;
    }

    /** Makes further reads of the newest records of a partition get no answer, as on a dead connection. */
    synchronized void silenceLoads(TopicPartition partition) {
        unloadable = partition;
    }

    /** Makes further reads of a partition that wait for records fail, as those of a tail do; null for none. */
    synchronized void failWaitingReads(TopicPartition partition) {
        failing = partition;
    }

    /** Holds the answers to further loads of a partition, which keep the records at the time of the load. */
    synchronized void holdLoads(TopicPartition partition) {
        heldLoads = partition;
    }

    /** Holds the answers to further reads of a partition that do not wait for records. */
    synchronized void holdReadsWithoutWait(TopicPartition partition) {
        heldReads = partition;
    }

    /** Returns how many answers are being held. */
    synchronized int heldAnswers() {
        return heldAnswers;
    }

    /** Gives the answers that are held, and holds no further ones. */
    synchronized void releaseAnswers() {
        heldLoads = null;
        heldReads = null;
        heldAnswers = 0;
        released.complete(null);
        released = new CompletableFuture<>();
    }

    /** Returns how often the newest records of a partition have been read. */
    synchronized int loads(TopicPartition partition) {
        return loads.getOrDefault(partition, 0);
    }

    /** Delays the answers to further reads of a partition; they still contain the records at the time of the read. */
    synchronized void delayReads(TopicPartition partition, int delayMs) {
        delayed = partition;
        answerDelayMs = delayMs;
    }

    /** Limits how many records the answer to a read contains. */
    synchronized void limitAnswers(int records) {
        maxRecords = records;
    }

    /** Returns the keys of a partition that have a newest record, without those that were removed. */
    synchronized List<String> newestKeys(TopicPartition partition) {
        return newest(partition).stream().map(KeyedRecord::key).toList();
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
        if (partition.equals(refused)) {
            refusals++;
            return CompletableFuture.supplyAsync(
                    () -> new AppendResult.Refused("status 429"),
                    CompletableFuture.delayedExecutor(APPEND_MS, TimeUnit.MILLISECONDS));
        }
        if (!admits(records)) {
            return CompletableFuture.completedFuture(new AppendResult.Invalid("status 400"));
        }
        AppendResult result = execute(partition, records, condition);
        if (appendDelayMs > 0) {
            return CompletableFuture.supplyAsync(
                    () -> result, CompletableFuture.delayedExecutor(appendDelayMs, TimeUnit.MILLISECONDS));
        }
        return CompletableFuture.completedFuture(losingAnswers ? new AppendResult.Unknown("no answer") : result);
    }

    @Override
    public synchronized CompletionStage<ReadResult> read(TopicPartition partition, long fromOffset, ReadLimits limits) {
        int waitMs = limits.waitMs();
        reads.merge(partition, 1, Integer::sum);
        List<KeyedRecord> log = log(partition);
        if (partition.equals(failing) && waitMs > 0) {
            return CompletableFuture.completedFuture(new ReadResult.Failed("status 503"));
        }
        if (fromOffset < firstKept.getOrDefault(partition, 0)) {
            return CompletableFuture.completedFuture(new ReadResult.Expired());
        }
        int next = (int) Math.min(log.size(), fromOffset + maxRecords);
        ReadResult result = new ReadResult.Records(List.copyOf(log.subList((int) fromOffset, next)), next, log.size());
        if (partition.equals(silenced)) {
            int silentMs = waitMs + Math.min(limits.maxSilenceMs(), HttpStoreClient.CALL_TIMEOUT_MS);
            return new CompletableFuture<ReadResult>()
                    .completeOnTimeout(new ReadResult.Failed("no answer"), silentMs, TimeUnit.MILLISECONDS);
        }
        if (holdingReads && fromOffset >= log.size()) {
            return new CompletableFuture<>();
        }
        if (partition.equals(heldReads) && waitMs == 0) {
            heldAnswers++;
            return released.thenApply(unused -> result);
        }
        int delayMs = 1 + Math.min(waitMs, MAX_WAIT_MS) + (partition.equals(delayed) ? answerDelayMs : 0);
        return CompletableFuture.supplyAsync(
                () -> result, CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS));
    }

    @Override
    public synchronized CompletionStage<ReadResult> readNewest(
            TopicPartition partition, String afterKey, ReadLimits limits) {
        if (partition.equals(unloadable)) {
            return new CompletableFuture<>();
        }
        loads.merge(partition, 1, Integer::sum);
        ReadResult page =
                new ReadResult.Page(newest(partition), "", false, log(partition).size());
        if (partition.equals(heldLoads)) {
            heldAnswers++;
            return released.thenApply(unused -> page);
        }
        return CompletableFuture.completedFuture(page);
    }

    private boolean admits(List<KeyedRecord> records) {
        int bytes = 0;
        for (KeyedRecord entry : records) {
            bytes += entry.requestBytes();
            if (!limits.admit(entry) || entry.key().equals(unstorable)) {
                return false;
            }
        }
        return bytes <= limits.requestBytes();
    }

    private List<KeyedRecord> newest(TopicPartition partition) {
        Map<String, KeyedRecord> newest = new LinkedHashMap<>();
        log(partition).forEach(entry -> newest.put(entry.key(), entry));
        newest.values().removeIf(KeyedRecord::isRemoval);
        return new ArrayList<>(newest.values());
    }

    private AppendResult execute(TopicPartition partition, List<KeyedRecord> records, AppendCondition condition) {
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
