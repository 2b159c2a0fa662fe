package org.fulmarreach.entry;

import java.util.logging.Level;

import org.fulmarreach.runtime.log.Event;

/** Events of the entry, except those of batch and standing work. Each constant's description is its documentation. */
public enum EntryEvent implements Event {
    GUARD_CONNECTED(1110, Level.INFO, "A guard connected and announced its target."),
    GUARD_LOST(
            1111,
            Level.INFO,
            "The connection to a guard ended; its calls stay pending until it reconnects, for at most 3 s."),
    GUARD_REPLACED(1112, Level.INFO, "A newer incarnation of a guard replaced an older one."),
    GUARD_REFUSED(
            1113, Level.WARNING, "A guard's hello is malformed or of an older incarnation; check ids for duplicates."),
    GUARD_SILENT(1114, Level.WARNING, "A guard sent nothing for the silence timeout; its connection is closed."),
    PEER_CONNECTED(1120, Level.INFO, "Another entry connected."),
    PEER_LOST(1121, Level.INFO, "The connection to another entry ended; it is dialled again."),
    UNEXPECTED_FRAME(
            1122, Level.WARNING, "An unexpected or incomplete message arrived on a connection, which is closed."),
    RULES_IN_FORCE(2001, Level.INFO, "A newer revision of the rules is in force."),
    RULES_FROM_PEER(2002, Level.WARNING, "The rules came from a peer, because the log service does not answer."),
    RULES_UNREADABLE(2003, Level.WARNING, "The stream of rules cannot be read; check the log service."),
    RULES_RECORD_SKIPPED(2004, Level.SEVERE, "A record of the rules stream could not be decoded and has no effect."),
    RULES_PUBLISHED(2005, Level.INFO, "Rules that an operator published, at any entry, are in force."),
    RULES_PUBLISH_REFUSED(2006, Level.INFO, "Rules that an operator published at this entry were refused."),
    RULES_SNAPSHOT_WRITTEN(2007, Level.INFO, "A snapshot of the rules was appended."),
    RULES_SNAPSHOT_MISSING(
            2008,
            Level.SEVERE,
            "Records of the rules stream are lost and it has no snapshot; publish the rules again from the file."),
    /** An answer of a guard matched no unanswered message. */
    LATE_RESULT_DROPPED(3001, Level.FINE, "A late or duplicate answer of a guard was dropped."),
    TARGET_EJECTED(3003, Level.WARNING, "Calls to a target fail, so it gets no calls for a while; check the target."),
    OUTCOME_UNKNOWN(
            3004, Level.INFO, "A call was answered with outcome unknown; the caller is told to ask the service."),
    REQUEST_FAILED(3005, Level.SEVERE, "An HTTP request failed because of an error in the entry; report it."),
    /** A top-level actor of the entry failed. */
    PART_FAILED(
            3007, Level.SEVERE, "An actor of the entry failed, so the entry stops; report the preceding log lines."),
    BUDGET_RECORD_SKIPPED(3201, Level.SEVERE, "A record of the budget stream could not be decoded and has no effect."),
    BUDGET_GRANTED(3202, Level.FINE, "A reservation of an entry, named as owner, was granted."),
    BUDGET_REFUSED(3203, Level.WARNING, "A reservation was refused because the budget of the period is used up."),
    BUDGET_EXHAUSTED(3204, Level.WARNING, "A call with a cost was refused, because the purse is empty."),
    BUDGET_UNREADABLE(3205, Level.WARNING, "The stream of the budget cannot be read; the purse is not filled."),
    BUDGET_SNAPSHOT_WRITTEN(3206, Level.INFO, "A snapshot of the budget was appended.");

    private final int number;
    private final Level level;
    private final String description;

    EntryEvent(int number, Level level, String description) {
        this.number = number;
        this.level = level;
        this.description = description;
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public Level level() {
        return level;
    }

    @Override
    public String description() {
        return description;
    }
}
