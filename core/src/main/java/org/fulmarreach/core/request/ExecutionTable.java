package org.fulmarreach.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.InvariantViolationException;
import org.fulmarreach.core.exc.Problem;

/**
 * Deduplication table of the request ids that one incarnation of a guard has received. An id runs at most once, and a
 * refused id never runs. The table has the lifetime of the incarnation. Not thread-safe: confined to one thread.
 *
 * <p>An id is removed only after it can no longer be accepted. So an id that is within its acceptance time and not in
 * the table has not run. When the table is full, new ids are refused without an entry of their own: the table keeps the
 * highest mint tick that was refused this way, and refuses every unknown id up to that tick.
 *
 * @param <A> type of the kept answers
 */
public final class ExecutionTable<A> {
    private static final long EXPIRY_BUCKET_MS = 2_000;

    private final String guardId;
    private final long incarnation;
    private final TableLimits limits;
    private final ToLongFunction<A> sizeBytes;
    private final Map<RequestId, Execution<A>> executions = new HashMap<>();
    private final Map<RequestId, Long> answerBytes = new LinkedHashMap<>();
    private final TreeMap<Long, List<RequestId>> expiries = new TreeMap<>();
    private long keptBytes;
    private long refusedUpToTickMs = Long.MIN_VALUE;

    /**
     * Constructs an empty table.
     *
     * @param guardId id of the guard
     * @param incarnation incarnation of the guard; ids of other incarnations never run here
     * @param limits limits of time and memory
     * @param sizeBytes returns the size of an answer in bytes
     */
    public ExecutionTable(String guardId, long incarnation, TableLimits limits, ToLongFunction<A> sizeBytes) {
        this.guardId = guardId;
        this.incarnation = incarnation;
        this.limits = limits;
        this.sizeBytes = sizeBytes;
    }

    /*
     * Public API
     */

    /** Returns the state of {@code id}; {@link Execution.Fresh} if it may run now. */
    public Execution<A> find(RequestId id, long nowMs) {
        if (!id.guardId().equals(guardId) || id.incarnation() != incarnation) {
            return unknown(
                    ErrorCode.GUARD_RESTARTED,
                    "The id is for guard " + id.guardId() + ", incarnation " + id.incarnation() + ", but this is guard "
                            + guardId + ", incarnation " + incarnation + ".");
        }
        removeExpired(nowMs);
        Execution<A> existing = executions.get(id);
        if (existing != null) {
            return existing;
        }
        long ageMs = nowMs - id.mintTickMs();
        if (ageMs < 0) {
            return unknown(ErrorCode.BAD_REQUEST, "The mint tick of the id is in the future of this guard's clock.");
        }
        if (ageMs > limits.acceptMs(id)) {
            return unknown(
                    ErrorCode.REQUEST_ID_EXPIRED,
                    "The id is unknown to its guard and " + ageMs + " ms old; the limit is " + limits.acceptMs(id)
                            + " ms.");
        }
        if (id.mintTickMs() <= refusedUpToTickMs) {
            return new Execution.Refused<>(describeTableFull());
        }
        return new Execution.Fresh<>();
    }

    /**
     * Records that a fresh id starts to run.
     *
     * @return Running, or Refused if the table is full, in which case the call must not run
     * @throws InvariantViolationException if the id is not fresh
     */
    public Execution<A> begin(RequestId id, long nowMs) {
        requireFresh(id, nowMs);
        if (executions.size() >= limits.maxEntries()) {
            return refuseWithoutEntry(id, describeTableFull());
        }
        return put(id, new Execution.Running<>());
    }

    /**
     * Refuses a fresh id permanently, until the end of this incarnation.
     *
     * @return the refusal
     * @throws InvariantViolationException if the id is not fresh
     */
    public Execution<A> refuse(RequestId id, Problem problem, long nowMs) {
        requireFresh(id, nowMs);
        if (executions.size() >= limits.maxEntries()) {
            return refuseWithoutEntry(id, problem);
        }
        return put(id, new Execution.Refused<>(problem));
    }

    /**
     * Records the complete answer of a running id. The oldest answers are dropped if the limit on kept bytes is
     * exceeded.
     */
    public void complete(RequestId id, A answer) {
        requireRunning(id);
        long bytes = sizeBytes.applyAsLong(answer);
        if (bytes > limits.maxAnswerBytes()) {
            executions.put(id, new Execution.Done<>(null));
            return;
        }
        executions.put(id, new Execution.Done<>(answer));
        answerBytes.put(id, bytes);
        keptBytes += bytes;
        var oldest = answerBytes.entrySet().iterator();
        while (keptBytes > limits.maxAnswerBytes()) {
            Map.Entry<RequestId, Long> dropped = oldest.next();
            keptBytes -= dropped.getValue();
            executions.put(dropped.getKey(), new Execution.Done<>(null));
            oldest.remove();
        }
    }

    /** Records that no byte of a running id's call was sent, so the call has not run. */
    public void completeNotRun(RequestId id, Problem problem) {
        requireRunning(id);
        executions.put(id, new Execution.Refused<>(problem));
    }

    /** Records that the connection to the target ended before the complete answer to a running id was received. */
    public void completeUnknown(RequestId id, Problem problem) {
        requireRunning(id);
        executions.put(id, new Execution.Unknown<>(problem));
    }

    /**
     * Resolves the outcome of an id.
     *
     * @param refuseIfAbsent whether a fresh id is refused permanently
     * @return the state of the id; Running only while the id is running, Fresh only without {@code refuseIfAbsent}
     */
    public Execution<A> resolve(RequestId id, boolean refuseIfAbsent, long nowMs) {
        Execution<A> existing = find(id, nowMs);
        if (existing instanceof Execution.Fresh<A> && refuseIfAbsent) {
            return refuse(
                    id, Problem.of(ErrorCode.GUARD_UNREACHABLE, "The call did not reach the guard in time."), nowMs);
        }
        return existing;
    }

    /** Returns the number of ids in the table. */
    public int size() {
        return executions.size();
    }

    /** Returns the total size of the kept answers in bytes. */
    public long keptBytes() {
        return keptBytes;
    }

    /*
     * Helpers
     */

    private Execution<A> put(RequestId parsed, Execution<A> execution) {
        // Each parsed id has its own copy of the guard id; sharing one string saves memory.
        RequestId id = new RequestId(guardId, incarnation, parsed.mintTickMs(), parsed.random());
        executions.put(id, execution);
        scheduleExpiry(id, id.mintTickMs() + limits.retainMs(id));
        return execution;
    }

    private Execution<A> refuseWithoutEntry(RequestId id, Problem problem) {
        refusedUpToTickMs = Math.max(refusedUpToTickMs, id.mintTickMs());
        return new Execution.Refused<>(problem);
    }

    private void scheduleExpiry(RequestId id, long expiryMs) {
        long bucket = Math.floorDiv(expiryMs, EXPIRY_BUCKET_MS) + 1;
        expiries.computeIfAbsent(bucket, key -> new ArrayList<>()).add(id);
    }

    private void removeExpired(long nowMs) {
        while (!expiries.isEmpty() && expiries.firstKey() * EXPIRY_BUCKET_MS < nowMs) {
            for (RequestId id : expiries.pollFirstEntry().getValue()) {
                if (executions.get(id) instanceof Execution.Running<A>) {
                    scheduleExpiry(id, nowMs + EXPIRY_BUCKET_MS);
                } else {
                    executions.remove(id);
                    Long bytes = answerBytes.remove(id);
                    keptBytes -= bytes == null ? 0 : bytes;
                }
            }
        }
    }

    private void requireFresh(RequestId id, long nowMs) {
        if (!(find(id, nowMs) instanceof Execution.Fresh<A>)) {
            throw new InvariantViolationException("I6: " + id.format() + " is not fresh");
        }
    }

    private void requireRunning(RequestId id) {
        if (!(executions.get(id) instanceof Execution.Running<A>)) {
            throw new InvariantViolationException("I6: " + id.format() + " is not running");
        }
    }

    private Problem describeTableFull() {
        return Problem.of(
                        ErrorCode.NO_CAPACITY,
                        "The guard has " + executions.size() + " request ids; the limit is " + limits.maxEntries()
                                + ".")
                .withRetryAfterMs(EXPIRY_BUCKET_MS);
    }

    private Execution<A> unknown(ErrorCode code, String message) {
        return new Execution.Unknown<>(Problem.of(code, message));
    }
}
