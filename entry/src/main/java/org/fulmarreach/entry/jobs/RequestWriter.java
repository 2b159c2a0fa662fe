package org.fulmarreach.entry.jobs;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.AppendResult;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Appends callers' requests; those that arrive during an append are written together in the next one. Records are
 * idempotent by key, so an append without an answer is retried. Confined to one actor.
 */
final class RequestWriter {
    private static final int MAX_RECORDS = 200;
    private static final int MAX_BYTES = 1 << 20;

    /** Delay before an append is retried; the store needs about 4 ms for one. */
    private static final int RETRY_MS = 60;

    private final TopicPartition partition;
    private final StoreClient store;
    private final ActorContext<JobsCommand> context;
    private final MonotonicClock clock;
    private final Deque<Write> waiting = new ArrayDeque<>();
    private List<Write> inFlight = List.of();
    private boolean retryDue;

    RequestWriter(
            TopicPartition partition, StoreClient store, ActorContext<JobsCommand> context, MonotonicClock clock) {
        this.partition = partition;
        this.store = store;
        this.context = context;
        this.clock = clock;
    }

    /**
     * Appends a record.
     *
     * @param deadlineAtMs monotonic time by which the caller must have an outcome
     * @param done receives the outcome, on the actor
     */
    void write(KeyedRecord entry, long deadlineAtMs, Consumer<WriteOutcome> done) {
        waiting.add(new Write(entry, deadlineAtMs, done));
        flush();
    }

    void onDue() {
        retryDue = false;
        flush();
    }

    void onWritten(AppendResult result) {
        List<Write> written = inFlight;
        inFlight = List.of();
        switch (result) {
            case AppendResult.Appended appended -> written.forEach(write -> write.complete(new WriteOutcome.Stored()));
            case AppendResult.Unknown unknown -> {
                written.forEach(write -> write.undecided = true);
                retryOrGiveUp(written, unknown.reason());
            }
            case AppendResult.Refused refused -> refuse(written, refused.reason());
            case AppendResult.Superseded superseded -> refuse(written, superseded.reason());
            case AppendResult.OutOfSequence gap ->
                refuse(written, "unexpected sequence error for an append without a sequence");
        }
        flush();
    }

    /** Completes the requests whose deadline has passed while an append has no answer. */
    void expire() {
        long nowMs = clock.nowMs();
        waiting.removeIf(write -> write.completeIfExpired(nowMs, "the store did not answer in time"));
        inFlight.forEach(write -> {
            write.undecided = true;
            write.completeIfExpired(nowMs, "the store did not answer in time");
        });
    }

    /*
     * Helpers
     */

    private void flush() {
        if (!inFlight.isEmpty() || waiting.isEmpty() || retryDue) {
            return;
        }
        List<Write> taken = new ArrayList<>();
        List<KeyedRecord> records = new ArrayList<>();
        int bytes = 0;
        while (!waiting.isEmpty() && records.size() < MAX_RECORDS && bytes < MAX_BYTES) {
            Write write = waiting.poll();
            taken.add(write);
            records.add(write.entry);
            bytes += write.entry.value().length;
        }
        inFlight = taken;
        var self = context.getSelf();
        store.append(partition, records, new AppendCondition.None())
                .thenAccept(result -> self.tell(new JobsCommand.RequestsWritten(result)));
    }

    /** Handles a refused append, which has not been executed; an earlier append of the same record may have been. */
    private void refuse(List<Write> written, String reason) {
        List<Write> unresolved = new ArrayList<>();
        for (Write write : written) {
            if (write.undecided) {
                unresolved.add(write);
            } else {
                write.complete(new WriteOutcome.Refused("the store refused the append: " + reason));
            }
        }
        retryOrGiveUp(unresolved, reason);
    }

    private void retryOrGiveUp(List<Write> writes, String reason) {
        long nowMs = clock.nowMs();
        boolean retry = false;
        for (int i = writes.size() - 1; i >= 0; i--) {
            Write write = writes.get(i);
            if (!write.completed && !write.completeIfExpired(nowMs, reason)) {
                waiting.addFirst(write);
                retry = true;
            }
        }
        if (retry && !retryDue) {
            retryDue = true;
            context.scheduleOnce(Duration.ofMillis(RETRY_MS), context.getSelf(), new JobsCommand.WriteDue());
        }
    }

    private static final class Write {
        private final KeyedRecord entry;
        private final long deadlineAtMs;
        private final Consumer<WriteOutcome> done;
        private boolean undecided;
        private boolean completed;

        Write(KeyedRecord entry, long deadlineAtMs, Consumer<WriteOutcome> done) {
            this.entry = entry;
            this.deadlineAtMs = deadlineAtMs;
            this.done = done;
        }

        void complete(WriteOutcome outcome) {
            if (!completed) {
                completed = true;
                done.accept(outcome);
            }
        }

        /** Completes the request if its deadline has passed; returns true if it is completed. */
        boolean completeIfExpired(long nowMs, String reason) {
            if (!completed && nowMs >= deadlineAtMs) {
                complete(undecided ? new WriteOutcome.Undecided(reason) : new WriteOutcome.Refused(reason));
            }
            return completed;
        }
    }
}
