package org.fulmarreach.entry.calls;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.entry.EntryEvent;
import org.fulmarreach.runtime.log.EventLog;

/**
 * The calls of this entry that have no final answer yet, and how each gets it once. Not thread-safe; owned by the
 * router.
 */
final class PendingCalls {
    private final GuardMessenger messenger;
    private final EventLog log;
    private final Set<PendingCall> pending = new LinkedHashSet<>();

    PendingCalls(GuardMessenger messenger, EventLog log) {
        this.messenger = messenger;
        this.log = log;
    }

    void add(PendingCall call) {
        pending.add(call);
    }

    int size() {
        return pending.size();
    }

    /** Returns a copy in the order in which the calls came, so that calls may be finished while it is walked. */
    List<PendingCall> all() {
        return List.copyOf(pending);
    }

    /** Gives the final answer, unless there has been one. */
    void finish(PendingCall call, CallAnswer answer) {
        if (call.phase() == PendingCall.Phase.DONE) {
            return;
        }
        pending.remove(call);
        if (messenger.forgetCall(call)) {
            call.guard().removeOutstanding();
        }
        if (answer instanceof CallAnswer.Unknown unknown) {
            log.emit(
                    EntryEvent.OUTCOME_UNKNOWN,
                    "request",
                    call.id(),
                    "code",
                    unknown.problem().code());
        }
        call.answer(answer);
    }

    /** An earlier attempt whose outcome is not known makes the whole call unknown. */
    void finishNotRun(PendingCall call, Problem problem) {
        if (call.maybeRan()) {
            finishUnknown(call, problem);
        } else {
            finish(call, new CallAnswer.NotRun(call.id(), problem));
        }
    }

    /** Answers that the outcome of the call is not known. */
    void finishUnknown(PendingCall call, Problem problem) {
        finish(call, new CallAnswer.Unknown(call.id(), problem));
    }
}
