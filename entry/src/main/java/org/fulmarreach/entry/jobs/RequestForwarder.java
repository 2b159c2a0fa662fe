package org.fulmarreach.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.pekko.actor.typed.ActorRef;
import org.fulmarreach.core.exc.FrameException;
import org.fulmarreach.platform.store.KeyedRecord;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.ForwardOutcome;
import org.fulmarreach.protocol.thrift.ForwardStatus;
import org.fulmarreach.protocol.thrift.ForwardedRequest;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.log.RuntimeEvent;
import org.fulmarreach.runtime.net.FrameLink;
import org.fulmarreach.runtime.net.LinkEvent;
import org.fulmarreach.runtime.util.MonotonicClock;

/**
 * Hands callers' requests to another entry while this one cannot reach the store: an entry that is cut off, or that
 * the store turns away, still serves its callers. Records are idempotent by key, so a record without an answer may be
 * handed to the next entry. An entry never forwards a request that was forwarded to it. Confined to one actor.
 */
final class RequestForwarder {
    /** Longest wait for an answer: the other entry appends in 10 ms, or soon finds that it cannot either. */
    private static final long ATTEMPT_TIMEOUT_MS = 600;

    /** After all entries have failed, none is asked for this long: the store is down for all of them. */
    private static final long ALL_FAILED_MS = 2_000;

    /** Bounds the memory for requests that wait for an entry. */
    private static final int MAX_PENDING = 500;

    private final EntryLinks links;
    private final String ownAddress;
    private final Supplier<String> leaderAddress;
    private final ActorRef<JobsCommand> actor;
    private final MonotonicClock clock;
    private final EventLog log;
    private final Map<Long, Forward> pending = new HashMap<>();
    private FrameLink link;
    private String address = "";
    private boolean leaving;
    private long attempt;
    private long lastId;
    private int nextKnown;
    private long allFailedAtMs = Long.MIN_VALUE / 2;

    /**
     * Constructs a forwarder without a connection.
     *
     * @param ownAddress {@code host:port} on which this entry accepts connections
     * @param leaderAddress returns the address of the leader, which is preferred; empty if unknown
     */
    RequestForwarder(
            EntryLinks links,
            String ownAddress,
            Supplier<String> leaderAddress,
            ActorRef<JobsCommand> actor,
            MonotonicClock clock,
            EventLog log) {
        this.links = links;
        this.ownAddress = ownAddress;
        this.leaderAddress = leaderAddress;
        this.actor = actor;
        this.clock = clock;
        this.log = log;
    }

    /** A request that was handed to another entry, or waits for a connection. */
    private static final class Forward {
        private final KeyedRecord entry;
        private final long deadlineAtMs;
        private final Consumer<WriteOutcome> done;
        private final Set<String> tried = new LinkedHashSet<>();
        private long sentAtMs;
        private int unanswered;

        Forward(KeyedRecord entry, long deadlineAtMs, Consumer<WriteOutcome> done) {
            this.entry = entry;
            this.deadlineAtMs = deadlineAtMs;
            this.done = done;
        }

        void fail(String reason) {
            done.accept(unanswered > 0 ? new WriteOutcome.Undecided(reason) : new WriteOutcome.Refused(reason));
        }
    }

    /** Tells whether all other entries have just failed to store a record, too. */
    boolean haveAllFailed() {
        return clock.nowMs() - allFailedAtMs < ALL_FAILED_MS;
    }

    /**
     * Hands a record to another entry.
     *
     * @param deadlineAtMs monotonic time by which the caller must have an outcome
     * @param done receives the outcome, on the actor
     */
    void forward(KeyedRecord entry, long deadlineAtMs, Consumer<WriteOutcome> done) {
        if (pending.size() >= MAX_PENDING) {
            done.accept(new WriteOutcome.Refused("too many requests wait for another entry"));
            return;
        }
        long id = ++lastId;
        Forward forward = new Forward(entry, deadlineAtMs, done);
        pending.put(id, forward);
        if (link != null && !leaving && forward.tried.add(address)) {
            send(id, forward);
        } else if (address.isEmpty()) {
            connectToNext();
        }
    }

    /**
     * Returns the record of a request that another entry has forwarded.
     *
     * @throws FrameException if it is not the record of a submission or a cancellation
     */
    static KeyedRecord toRecord(ForwardedRequest request) {
        String key = request.getKey();
        boolean isRequest = key != null && (JobTopics.isJob(key) || JobTopics.isCancel(key));
        if (!isRequest || key.getBytes(StandardCharsets.UTF_8).length > JobTopics.MAX_KEY_BYTES) {
            throw new FrameException("a forwarded request has no key of a job");
        }
        if (!request.isSetValue() || request.getValue().length == 0) {
            throw new FrameException("the forwarded request " + key + " has no value");
        }
        if (JobTopics.isJob(key)) {
            JobRecords.decodeJob(JobTopics.jobId(key), request.getValue());
        } else {
            JobRecords.decodeCancellation(request.getValue());
        }
        return new KeyedRecord(key, request.getValue());
    }

    /** Returns the answer to another entry that has forwarded a request. */
    static Body toFrame(WriteOutcome outcome) {
        return Body.forwardOutcome(
                switch (outcome) {
                    case WriteOutcome.Stored stored -> new ForwardOutcome(ForwardStatus.STORED, "");
                    case WriteOutcome.Refused refused -> new ForwardOutcome(ForwardStatus.REFUSED, refused.reason());
                    case WriteOutcome.Undecided undecided ->
                        new ForwardOutcome(ForwardStatus.UNDECIDED, undecided.reason());
                    case WriteOutcome.Overloaded overloaded ->
                        new ForwardOutcome(
                                ForwardStatus.REFUSED, overloaded.decision().reason());
                    case WriteOutcome.TooLarge tooLarge -> new ForwardOutcome(ForwardStatus.REFUSED, tooLarge.reason());
                    case WriteOutcome.TooManyJobs tooMany ->
                        new ForwardOutcome(ForwardStatus.REFUSED, tooMany.reason());
                    case WriteOutcome.Missing missing -> new ForwardOutcome(ForwardStatus.REFUSED, "no such job");
                });
    }

    /** Handles an event of a connection that this entry has opened. */
    void onLink(long linkAttempt, LinkEvent event) {
        if (linkAttempt != attempt) {
            if (event instanceof LinkEvent.Opened opened) {
                opened.link().close();
            }
            return;
        }
        switch (event) {
            case LinkEvent.Opened opened -> {
                link = opened.link();
                pending.forEach((id, forward) -> {
                    if (forward.tried.add(address)) {
                        send(id, forward);
                    }
                });
            }
            case LinkEvent.Received received -> {
                Body body = received.frame().getBody();
                if (body.isSetForwardOutcome() && body.getForwardOutcome().getStatus() != null) {
                    onOutcome(received.frame().getCorrelationId(), body.getForwardOutcome());
                } else {
                    log.emit(RuntimeEvent.FRAME_REFUSED, "remote", address, "reason", "no outcome of a request");
                    close();
                }
            }
            case LinkEvent.Closed closed -> {
                if (link == null) {
                    pending.values().forEach(forward -> forward.tried.add(address));
                }
                link = null;
                address = "";
                leaving = false;
                if (!pending.isEmpty()) {
                    connectToNext();
                }
            }
        }
    }

    /** Completes the requests whose deadline has passed, and leaves an entry that does not answer. */
    void expire() {
        long nowMs = clock.nowMs();
        boolean silent = false;
        for (Map.Entry<Long, Forward> each : List.copyOf(pending.entrySet())) {
            Forward forward = each.getValue();
            if (nowMs >= forward.deadlineAtMs) {
                pending.remove(each.getKey());
                forward.fail("neither the store nor another entry answered in time");
            } else if (forward.sentAtMs > 0 && nowMs - forward.sentAtMs > ATTEMPT_TIMEOUT_MS) {
                silent = true;
            }
        }
        if (silent) {
            close();
        } else if (leaving) {
            leave();
        }
    }

    /*
     * Helpers
     */

    private void send(long id, Forward forward) {
        long nowMs = clock.nowMs();
        forward.sentAtMs = nowMs;
        forward.unanswered++;
        log.emit(
                JobEvent.REQUEST_FORWARDED, "id", forward.entry.key(), "to", address, "attempts", forward.tried.size());
        ForwardedRequest request = new ForwardedRequest();
        request.setKey(forward.entry.key());
        request.setValue(forward.entry.value());
        request.setTimeoutMs(Math.min(ATTEMPT_TIMEOUT_MS, forward.deadlineAtMs - nowMs));
        link.send(id, Body.forwardedRequest(request));
    }

    private void onOutcome(long id, ForwardOutcome outcome) {
        Forward forward = pending.get(id);
        if (forward == null) {
            return;
        }
        switch (outcome.getStatus()) {
            case STORED -> {
                pending.remove(id);
                forward.done.accept(new WriteOutcome.Stored());
                if (leaving) {
                    leave();
                }
            }
            case REFUSED -> {
                // This entry has not stored the record, so another one may still do so.
                forward.unanswered--;
                forward.sentAtMs = 0;
                leave();
            }
            default -> {
                // The record may be stored; the next entry can make certain of it.
                forward.sentAtMs = 0;
                leave();
            }
        }
    }

    /**
     * Leaves an entry that has not stored a record: sends it nothing more, and closes the connection once it has
     * answered the other requests. Without their answers these would count as undecided.
     */
    private void leave() {
        leaving = true;
        if (pending.values().stream().noneMatch(forward -> forward.sentAtMs > 0)) {
            close();
        }
    }

    private void close() {
        leaving = false;
        attempt++;
        if (link != null) {
            link.close();
        }
        link = null;
        address = "";
        pending.values().forEach(forward -> forward.sentAtMs = 0);
        connectToNext();
    }

    /** Connects to the next entry that some request has not tried; requests that have tried all fail. */
    private void connectToNext() {
        List<String> candidates = new ArrayList<>();
        candidates.add(leaderAddress.get());
        List<String> known = links.knownAddresses();
        for (int i = 0; i < known.size(); i++) {
            candidates.add(known.get((nextKnown + i) % known.size()));
        }
        nextKnown++;
        candidates.removeIf(candidate -> candidate.isEmpty() || candidate.equals(ownAddress));
        for (Map.Entry<Long, Forward> each : List.copyOf(pending.entrySet())) {
            if (each.getValue().tried.containsAll(candidates)) {
                pending.remove(each.getKey());
                allFailedAtMs = clock.nowMs();
                each.getValue().fail("neither the store nor another entry is reachable");
            }
        }
        for (String candidate : candidates) {
            if (pending.values().stream().anyMatch(forward -> !forward.tried.contains(candidate))) {
                connect(candidate);
                return;
            }
        }
    }

    private void connect(String candidate) {
        address = candidate;
        attempt++;
        long issued = attempt;
        links.connect(candidate, event -> actor.tell(new JobsCommand.ForwardLink(issued, event)));
    }
}
