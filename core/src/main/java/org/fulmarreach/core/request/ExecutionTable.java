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
 * The request ids that one incarnation of a guard has seen. An id runs at most once, and an id that was refused never
 * runs. Lives as long as the incarnation; owned by one thread.
 *
 * <p>An id is forgotten only after it could no longer be accepted, so that "not in the table" within the time of
 * acceptance proves that it has not run. When the table is full, new ids are refused without an entry of their own: the
 * table remembers the highest mint tick refused so, and refuses every unseen id up to it.
 *
 * @param <A> type of the kept answers
 */
public final class ExecutionTable<A> {
    private static final long EXPIRY_STEP_MS = 2_000;

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
     * @param incarnation its incarnation; other incarnations never run here
     * @param limits bounds of time and memory
     * @param sizeBytes memory of an answer
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

    /** Returns what is known about {@code id}; {@link Execution.Fresh} if it may run now. */
    public Execution<A> find(RequestId id, long nowMs) {
        if (!id.guardId().equals(guardId) || id.incarnation() != incarnation) {
            return unknown(
                    ErrorCode.GUARD_RESTARTED,
                    "The id names guard " + id.guardId() + " with incarnation " + id.incarnation() + ", this is "
                            + guardId + " with " + incarnation + ".");
        }
        dropExpired(nowMs);
        Execution<A> known = executions.get(id);
        if (known != null) {
            return known;
        }
        long ageMs = nowMs - id.mintTickMs();
        if (ageMs < 0) {
            return unknown(ErrorCode.BAD_REQUEST, "The id names a time that this guard has not reached.");
        }
        if (ageMs > limits.acceptMs(id)) {
            return unknown(
                    ErrorCode.REQUEST_ID_EXPIRED,
                    "The id is " + ageMs + " ms old and not in the table; the limit is " + limits.acceptMs(id)
                            + " ms.");
        }
        if (id.mintTickMs() <= refusedUpToTickMs) {
            return new Execution.Refused<>(tableFull());
        }
        return new Execution.Fresh<>();
    }

    /**
     * Records that a fresh id starts to run.
     *
     * @return Running, or Refused when the table is full; the call must then not run
     * @throws InvariantViolationException if the id is not fresh
     */
    public Execution<A> begin(RequestId id, long nowMs) {
        requireFresh(id, nowMs);
        if (executions.size() >= limits.maxEntries()) {
            return refuseUnlisted(id, tableFull());
        }
        return put(id, new Execution.Running<>());
    }

    /**
     * Refuses a fresh id for the rest of this incarnation.
     *
     * @return the refusal
     * @throws InvariantViolationException if the id is not fresh
     */
    public Execution<A> refuse(RequestId id, Problem problem, long nowMs) {
        requireFresh(id, nowMs);
        if (executions.size() >= limits.maxEntries()) {
            return refuseUnlisted(id, problem);
        }
        return put(id, new Execution.Refused<>(problem));
    }

    /** Records the whole answer of a running id. Older answers are dropped when the byte budget is exceeded. */
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

    /** Records that no byte of a running id's call was written, so that it has not run. */
    public void completeNotRun(RequestId id, Problem problem) {
        requireRunning(id);
        executions.put(id, new Execution.Refused<>(problem));
    }

    /** Records that the target's connection ended without a whole answer of a running id. */
    public void completeUnknown(RequestId id, Problem problem) {
        requireRunning(id);
        executions.put(id, new Execution.Unknown<>(problem));
    }

    /**
     * Answers a question about an id.
     *
     * @param refuseIfAbsent whether a fresh id is refused for ever
     * @return never Running for an id that does not run; Fresh only without {@code refuseIfAbsent}
     */
    public Execution<A> resolve(RequestId id, boolean refuseIfAbsent, long nowMs) {
        Execution<A> known = find(id, nowMs);
        if (known instanceof Execution.Fresh<A> && refuseIfAbsent) {
            return refuse(
                    id, Problem.of(ErrorCode.GUARD_UNREACHABLE, "The call did not reach the guard in time."), nowMs);
        }
        return known;
    }

    /** Returns the number of ids in the table. */
    public int size() {
        return executions.size();
    }

    /** Returns the bytes of kept answers. */
    public long keptBytes() {
        return keptBytes;
    }

    /*
     * Helpers
     */

    private Execution<A> put(RequestId parsed, Execution<A> execution) {
        // Each parsed id holds a guard id of its own; the table keeps one for all.
        RequestId id = new RequestId(guardId, incarnation, parsed.mintTickMs(), parsed.random());
        executions.put(id, execution);
        scheduleExpiry(id, id.mintTickMs() + limits.retainMs(id));
        return execution;
    }

    private Execution<A> refuseUnlisted(RequestId id, Problem problem) {
        refusedUpToTickMs = Math.max(refusedUpToTickMs, id.mintTickMs());
        return new Execution.Refused<>(problem);
    }

    private void scheduleExpiry(RequestId id, long expiryMs) {
        long step = Math.floorDiv(expiryMs, EXPIRY_STEP_MS) + 1;
        expiries.computeIfAbsent(step, s -> new ArrayList<>()).add(id);
    }

    private void dropExpired(long nowMs) {
        while (!expiries.isEmpty() && expiries.firstKey() * EXPIRY_STEP_MS < nowMs) {
            for (RequestId id : expiries.pollFirstEntry().getValue()) {
                if (executions.get(id) instanceof Execution.Running<A>) {
                    scheduleExpiry(id, nowMs + EXPIRY_STEP_MS);
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
            throw new InvariantViolationException("I6: " + id.format() + " does not run");
        }
    }

    private Problem tableFull() {
        return Problem.of(
                        ErrorCode.NO_CAPACITY,
                        "The guard keeps " + executions.size() + " request ids, the limit is " + limits.maxEntries()
                                + ".")
                .withRetryAfterMs(EXPIRY_STEP_MS);
    }

    private Execution<A> unknown(ErrorCode code, String message) {
        return new Execution.Unknown<>(Problem.of(code, message));
    }
}
