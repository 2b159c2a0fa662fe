package org.fulmarreach.entry.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.AppendResult;
import org.fulmarreach.platform.store.HttpStoreClient;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.ReadLimits;
import org.fulmarreach.platform.store.ReadResult;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.platform.store.TopicPartition;

/**
 * One partition of the store in virtual time, behind a way that fails for a while. A read that gets no answer fails
 * when that of {@link HttpStoreClient} would. Confined to one thread.
 */
final class VirtualStore implements StoreClient {
    /** Time in which the client gives a connection up that is not established. */
    private static final int CONNECT_TIMEOUT_MS = 500;

    private final VirtualTime time;
    private final int answerMs;
    private final int transferMs;
    private final List<KeyedRecord> log = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private int firstKept;
    private Failure failure = Failure.NONE;
    private int reads;

    /**
     * Constructs an empty store.
     *
     * @param answerMs time until an answer begins, in milliseconds
     * @param transferMs time that a record needs on the link, in milliseconds
     */
    VirtualStore(VirtualTime time, int answerMs, int transferMs) {
        this.time = time;
        this.answerMs = answerMs;
        this.transferMs = transferMs;
    }

    /** What happens to reads. */
    enum Failure {
        NONE,
        /** No answer, also to reads that wait already. */
        SILENT,
        /** The connection is reset, also that of reads that wait already. */
        RESET,
        /** The store turns reads away, with 503 or 429. */
        REFUSED,
        /** The answer begins, and no further byte of it arrives. */
        CUT_SHORT,
        /** Connections are not established; open ones are silent. */
        UNREACHABLE
    }

    private record Waiting(long fromOffset, long sentAtMs, ReadLimits limits, CompletableFuture<ReadResult> answer) {}

    void fail(Failure newFailure) {
        failure = newFailure;
        if (newFailure != Failure.NONE) {
            List<Waiting> lost = List.copyOf(waiting);
            waiting.clear();
            lost.forEach(read -> {
                boolean closed = newFailure == Failure.RESET || newFailure == Failure.REFUSED;
                failAt(read.answer, closed ? time.nowMs() : silentUntilMs(read.sentAtMs, read.limits));
            });
        }
    }

    void append(KeyedRecord record) {
        log.add(record);
        List<Waiting> ready = List.copyOf(waiting);
        waiting.clear();
        ready.forEach(read -> answer(read.fromOffset, read.answer));
    }

    /** Drops all records but the newest one, as the platform does with the history of keyed topics. */
    void compact() {
        firstKept = Math.max(0, log.size() - 1);
    }

    /** Returns how many reads have been sent. */
    int reads() {
        return reads;
    }

    @Override
    public CompletionStage<AppendResult> append(
            TopicPartition partition, List<KeyedRecord> records, AppendCondition condition) {
        throw new UnsupportedOperationException("only operators write to this partition");
    }

    @Override
    public CompletionStage<ReadResult> read(TopicPartition partition, long fromOffset, ReadLimits limits) {
        CompletableFuture<ReadResult> answer = new CompletableFuture<>();
        long nowMs = time.nowMs();
        reads++;
        if (failure == Failure.NONE) {
            serve(new Waiting(fromOffset, nowMs, limits, answer));
        } else {
            failAt(answer, failsAtMs(silentUntilMs(nowMs, limits), silenceMs(limits)));
        }
        return answer;
    }

    @Override
    public CompletionStage<ReadResult> readNewest(TopicPartition partition, String afterKey, ReadLimits limits) {
        CompletableFuture<ReadResult> answer = new CompletableFuture<>();
        int silenceMs = Math.min(limits.maxSilenceMs(), HttpStoreClient.MAX_SILENCE_MS);
        reads++;
        if (failure == Failure.NONE) {
            List<KeyedRecord> newest = log.isEmpty() ? List.of() : List.of(log.getLast());
            ReadResult page = new ReadResult.Page(newest, newest.isEmpty() ? "" : "config", false, log.size());
            time.at(time.nowMs() + answerMs + (long) transferMs * newest.size(), () -> answer.complete(page));
        } else {
            failAt(answer, failsAtMs(time.nowMs() + silenceMs, silenceMs));
        }
        return answer;
    }

    /** Returns when a read that is sent now fails. */
    private long failsAtMs(long silentUntilMs, int silenceMs) {
        long nowMs = time.nowMs();
        return switch (failure) {
            case NONE, SILENT -> silentUntilMs;
            case RESET, REFUSED -> nowMs + answerMs;
            case CUT_SHORT -> nowMs + answerMs + silenceMs;
            case UNREACHABLE -> Math.min(nowMs + CONNECT_TIMEOUT_MS, silentUntilMs);
        };
    }

    private void serve(Waiting read) {
        if (read.fromOffset < firstKept) {
            time.at(time.nowMs() + answerMs, () -> read.answer.complete(new ReadResult.Expired()));
        } else if (read.fromOffset < log.size() || read.limits.waitMs() == 0) {
            answer(read.fromOffset, read.answer);
        } else {
            waiting.add(read);
            time.at(time.nowMs() + read.limits.waitMs(), () -> {
                if (waiting.remove(read)) {
                    answer(read.fromOffset, read.answer);
                }
            });
        }
    }

    private void answer(long fromOffset, CompletableFuture<ReadResult> answer) {
        List<KeyedRecord> records = List.copyOf(log.subList((int) fromOffset, log.size()));
        ReadResult result = new ReadResult.Records(records, log.size(), log.size());
        time.at(time.nowMs() + answerMs + (long) transferMs * records.size(), () -> answer.complete(result));
    }

    private void failAt(CompletableFuture<ReadResult> answer, long atMs) {
        time.at(atMs, () -> answer.complete(new ReadResult.Failed("no answer")));
    }

    private static long silentUntilMs(long sentAtMs, ReadLimits limits) {
        return sentAtMs + limits.waitMs() + silenceMs(limits);
    }

    private static int silenceMs(ReadLimits limits) {
        return Math.min(limits.maxSilenceMs(), HttpStoreClient.CALL_TIMEOUT_MS);
    }
}
