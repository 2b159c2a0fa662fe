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
 * Appends callers' requests, as many at once as have come while the last append was under way. Records are idempotent
 * by their key, so an append without an answer is repeated. It belongs to one actor and is called on it only.
 */
final class RequestWriter {
    private static final int MAX_RECORDS = 200;
    private static final int MAX_BYTES = 1 << 20;

    /** Pause before a repeated append; the store needs 4 ms for one. */
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
     * @param giveUpAtMs monotonic time at which the outcome must be known to the caller
     * @param done takes the outcome, on the actor
     */
    void write(KeyedRecord entry, long giveUpAtMs, Consumer<WriteOutcome> done) {
        waiting.add(new Write(entry, giveUpAtMs, done));
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
            case AppendResult.Appended appended -> written.forEach(write -> write.end(new WriteOutcome.Stored()));
            case AppendResult.Unknown unknown -> {
                written.forEach(write -> write.undecided = true);
                retryOrGiveUp(written, unknown.reason());
            }
            case AppendResult.Refused refused -> refuse(written, refused.reason());
            case AppendResult.Superseded superseded -> refuse(written, superseded.reason());
            case AppendResult.OutOfSequence gap -> refuse(written, "unexpected answer to an append without sequence");
        }
        flush();
    }

    /** Ends the requests whose time is over while an append hangs. */
    void expire() {
        long nowMs = clock.nowMs();
        waiting.removeIf(write -> write.endIfLate(nowMs, "the store did not answer in time"));
        inFlight.forEach(write -> {
            write.undecided = true;
            write.endIfLate(nowMs, "the store did not answer in time");
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

    /** A refused append has not been done; an earlier one of the same record may have been. */
    private void refuse(List<Write> written, String reason) {
        List<Write> open = new ArrayList<>();
        for (Write write : written) {
            if (write.undecided) {
                open.add(write);
            } else {
                write.end(new WriteOutcome.Refused("store refused the append: " + reason));
            }
        }
        retryOrGiveUp(open, reason);
    }

    private void retryOrGiveUp(List<Write> writes, String reason) {
        long nowMs = clock.nowMs();
        boolean any = false;
        for (int i = writes.size() - 1; i >= 0; i--) {
            Write write = writes.get(i);
            if (!write.ended && !write.endIfLate(nowMs, reason)) {
                waiting.addFirst(write);
                any = true;
            }
        }
        if (any && !retryDue) {
            retryDue = true;
            context.scheduleOnce(Duration.ofMillis(RETRY_MS), context.getSelf(), new JobsCommand.WriteDue());
        }
    }

    private static final class Write {
        private final KeyedRecord entry;
        private final long giveUpAtMs;
        private final Consumer<WriteOutcome> done;
        private boolean undecided;
        private boolean ended;

        Write(KeyedRecord entry, long giveUpAtMs, Consumer<WriteOutcome> done) {
            this.entry = entry;
            this.giveUpAtMs = giveUpAtMs;
            this.done = done;
        }

        void end(WriteOutcome outcome) {
            if (!ended) {
                ended = true;
                done.accept(outcome);
            }
        }

        /** Ends the request if its time is over; returns true if it has ended. */
        boolean endIfLate(long nowMs, String reason) {
            if (!ended && nowMs >= giveUpAtMs) {
                end(undecided ? new WriteOutcome.Undecided(reason) : new WriteOutcome.Refused(reason));
            }
            return ended;
        }
    }
}
