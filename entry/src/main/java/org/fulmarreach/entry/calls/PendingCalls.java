package org.fulmarreach.entry.calls;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.fulmarreach.core.exc.Problem;
import org.fulmarreach.entry.EntryEvent;
import org.fulmarreach.runtime.log.EventLog;

/**
 * The calls of this entry without a final answer. Gives each call its final answer exactly once. Not thread-safe; owned
 * by {@link CallRouter}.
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

    /** Returns a copy in order of arrival, so that calls may be finished during the iteration. */
    List<PendingCall> all() {
        return List.copyOf(pending);
    }

    /** Gives the final answer, unless the call already has one. */
    void finish(PendingCall call, CallAnswer answer) {
        if (call.phase() == PendingCall.Phase.DONE) {
            return;
        }
        pending.remove(call);
        if (messenger.discardForCall(call)) {
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
        call.complete(answer);
    }

    /** Answers the call as not run, or as unknown if the outcome of an earlier attempt is unknown. */
    void finishNotRun(PendingCall call, Problem problem) {
        if (call.maybeRan()) {
            finishUnknown(call, problem);
        } else {
            finish(call, new CallAnswer.NotRun(call.id(), problem));
        }
    }

    /** Answers the call as unknown. */
    void finishUnknown(PendingCall call, Problem problem) {
        finish(call, new CallAnswer.Unknown(call.id(), problem));
    }
}
