package org.fulmarreach.entry.jobs;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.fulmarreach.platform.store.AppendCondition;
import org.fulmarreach.platform.store.AppendResult;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.platform.store.StoreClient;
import org.fulmarreach.platform.store.StoreLimits;
import org.fulmarreach.platform.store.TopicPartition;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Appends callers' requests; those that arrive during an append are written together in the next one. While the store
 * does not answer or turns this entry away, callers' requests are handed to another entry. Records are idempotent by
 * key, so an append without an answer is retried. Confined to one actor.
 */
final class RequestWriter {
    private static final int MAX_RECORDS = 200;
    private static final int MAX_BYTES = 1 << 20;

    /** Delay before an append is retried; the store needs about 4 ms for one. */
    private static final int RETRY_MS = 60;

    /** An append without an answer for this long is handed to another entry, too; a slow store needs 330 ms. */
    private static final int UNANSWERED_MS = 500;

    /** While the store fails, one append in this time is attempted, so that its return is noticed. */
    private static final int PROBE_INTERVAL_MS = 500;

    private final TopicPartition partition;
    private final StoreClient store;
    private final RequestForwarder forwarder;
    private final LongPredicate readSince;
    private final ActorContext<JobsCommand> context;
    private final MonotonicClock clock;
    private final Deque<Write> waiting = new ArrayDeque<>();
    private List<Write> inFlight = List.of();
    private boolean retryDue;
    private boolean failing;
    private long failingSinceMs;
    private long appendedAtMs;

    /**
     * Constructs a writer.
     *
     * @param forwarder hands requests to other entries
     * @param readSince tells whether a read of the store has succeeded since a reading of the monotonic clock, which
     *     shows its return
     */
    RequestWriter(
            TopicPartition partition,
            StoreClient store,
            RequestForwarder forwarder,
            LongPredicate readSince,
            ActorContext<JobsCommand> context,
            MonotonicClock clock) {
        this.partition = partition;
        this.store = store;
        this.forwarder = forwarder;
        this.readSince = readSince;
        this.context = context;
        this.clock = clock;
    }

    /** Returns the sizes that the store accepts. */
    StoreLimits limits() {
        return store.limits();
    }

    /**
     * Appends a record.
     *
     * @param deadlineAtMs monotonic time by which the caller must have an outcome
     * @param done receives the outcome, on the actor
     */
    void write(KeyedRecord entry, long deadlineAtMs, Consumer<WriteOutcome> done) {
        Write write = new Write(entry, deadlineAtMs, true, done);
        if (failing && !readSince.test(failingSinceMs) && forwarder.haveAllFailed()) {
            write.complete(new WriteOutcome.Refused("neither the store nor another entry stores requests now"));
        } else if (failing && clock.nowMs() - appendedAtMs < PROBE_INTERVAL_MS) {
            forward(write);
        } else {
            waiting.add(write);
            flush();
        }
    }

    /** Appends a record that another entry has forwarded; it is not forwarded again. */
    void writeForwarded(KeyedRecord entry, long deadlineAtMs, Consumer<WriteOutcome> done) {
        waiting.add(new Write(entry, deadlineAtMs, false, done));
        flush();
    }

    void onDue() {
        retryDue = false;
        flush();
    }

    void onWritten(AppendResult result) {
        List<Write> written = inFlight;
        inFlight = List.of();
        setFailing(!(result instanceof AppendResult.Appended || result instanceof AppendResult.Invalid));
        switch (result) {
            case AppendResult.Appended appended -> written.forEach(write -> write.complete(new WriteOutcome.Stored()));
            case AppendResult.Unknown unknown -> {
                written.forEach(write -> write.undecided = true);
                retryOrGiveUp(written, unknown.reason());
            }
            case AppendResult.Refused refused -> refuse(written, refused.reason());
            case AppendResult.Invalid invalid -> onInvalid(written, invalid.reason());
            case AppendResult.Superseded superseded -> refuse(written, superseded.reason());
            case AppendResult.OutOfSequence gap ->
                refuse(written, "unexpected sequence error for an append without a sequence");
        }
        flush();
    }

    /** Completes the requests whose deadline has passed, and forwards those of an append without an answer. */
    void expire() {
        long nowMs = clock.nowMs();
        waiting.removeIf(write -> write.completeIfExpired(nowMs, "the store did not answer in time"));
        boolean unanswered = nowMs - appendedAtMs > UNANSWERED_MS;
        for (Write write : inFlight) {
            if (nowMs >= write.deadlineAtMs) {
                write.complete(new WriteOutcome.Undecided("the store did not answer in time"));
            } else if (unanswered) {
                setFailing(true);
                forward(write);
            }
        }
    }

    /*
     * Helpers
     */

    private void setFailing(boolean fails) {
        if (fails && !failing) {
            failingSinceMs = clock.nowMs();
        }
        failing = fails;
    }

    private void flush() {
        if (!inFlight.isEmpty() || waiting.isEmpty() || retryDue) {
            return;
        }
        List<Write> taken = new ArrayList<>();
        List<KeyedRecord> records = new ArrayList<>();
        int bytes = 0;
        int maxBytes = Math.min(MAX_BYTES, limits().requestBytes());
        while (!waiting.isEmpty() && records.size() < MAX_RECORDS) {
            Write write = waiting.peek();
            boolean fits = bytes + write.entry.requestBytes() <= maxBytes && !write.alone;
            if (!records.isEmpty() && (!fits || taken.get(0).alone)) {
                break;
            }
            waiting.poll();
            taken.add(write);
            records.add(write.entry);
            bytes += write.entry.requestBytes();
        }
        inFlight = taken;
        appendedAtMs = clock.nowMs();
        var self = context.getSelf();
        store.append(partition, records, new AppendCondition.None())
                .thenAccept(result -> self.tell(new JobsCommand.RequestsWritten(result)));
    }

    /** One record that the store never accepts must not keep others from being stored, so each is tried alone. */
    private void onInvalid(List<Write> written, String reason) {
        if (written.size() == 1) {
            written.get(0).complete(new WriteOutcome.TooLarge("the store does not accept the request: " + reason));
        }
        for (int i = written.size() - 1; i >= 0; i--) {
            Write write = written.get(i);
            if (!write.completed) {
                write.alone = true;
                waiting.addFirst(write);
            }
        }
    }

    /** Handles a refused append, which has not been executed; an earlier append of the same record may have been. */
    private void refuse(List<Write> written, String reason) {
        List<Write> unresolved = new ArrayList<>();
        for (Write write : written) {
            if (write.undecided || write.forwarding || write.mayForward()) {
                unresolved.add(write);
            } else {
                write.complete(new WriteOutcome.Refused("the store refused the append: " + reason));
            }
        }
        retryOrGiveUp(unresolved, reason);
    }

    private void retryOrGiveUp(List<Write> writes, String reason) {
        long nowMs = clock.nowMs();
        for (int i = writes.size() - 1; i >= 0; i--) {
            Write write = writes.get(i);
            if (write.completed || write.completeIfExpired(nowMs, reason)) {
                continue;
            }
            if (write.mayForward()) {
                forward(write);
            } else if (!write.forwarding) {
                retry(write);
            }
        }
    }

    private void retry(Write write) {
        waiting.addFirst(write);
        if (!retryDue) {
            retryDue = true;
            context.scheduleOnce(Duration.ofMillis(RETRY_MS), context.getSelf(), new JobsCommand.WriteDue());
        }
    }

    private void forward(Write write) {
        if (!write.mayForward()) {
            return;
        }
        write.forwarded = true;
        write.forwarding = true;
        forwarder.forward(write.entry, write.deadlineAtMs, outcome -> onForwarded(write, outcome));
    }

    private void onForwarded(Write write, WriteOutcome outcome) {
        write.forwarding = false;
        if (write.completed) {
            return;
        }
        switch (outcome) {
            case WriteOutcome.Stored stored -> write.complete(stored);
            case WriteOutcome.Refused refused -> resolveUnforwarded(write, refused.reason());
            case WriteOutcome.Undecided undecided -> {
                write.undecided = true;
                resolveUnforwarded(write, undecided.reason());
            }
            case WriteOutcome.Overloaded overloaded -> resolveUnforwarded(write, "unexpected outcome");
            case WriteOutcome.TooLarge tooLarge -> write.complete(tooLarge);
            case WriteOutcome.TooManyJobs tooMany -> resolveUnforwarded(write, "unexpected outcome");
            case WriteOutcome.Missing missing -> resolveUnforwarded(write, "unexpected outcome");
        }
    }

    /** Handles a request that no other entry has stored: refuses it, unless it may be stored here. */
    private void resolveUnforwarded(Write write, String reason) {
        if (inFlight.contains(write)) {
            // The answer to the append decides.
            return;
        }
        if (!write.undecided) {
            write.complete(new WriteOutcome.Refused("the store does not answer; " + reason));
        } else if (!write.completeIfExpired(clock.nowMs(), reason)) {
            retry(write);
        }
    }

    private static final class Write {
        private final KeyedRecord entry;
        private final long deadlineAtMs;
        private final boolean forwardable;
        private final Consumer<WriteOutcome> done;
        private boolean undecided;
        private boolean forwarded;
        private boolean forwarding;
        private boolean completed;
        private boolean alone;

        Write(KeyedRecord entry, long deadlineAtMs, boolean forwardable, Consumer<WriteOutcome> done) {
            this.entry = entry;
            this.deadlineAtMs = deadlineAtMs;
            this.forwardable = forwardable;
            this.done = done;
        }

        boolean mayForward() {
            return forwardable && !forwarded && !completed;
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
                complete(
                        undecided || forwarding
                                ? new WriteOutcome.Undecided(reason)
                                : new WriteOutcome.Refused(reason));
            }
            return completed;
        }
    }
}
