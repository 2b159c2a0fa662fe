package org.fulmarreach.entry;

import java.util.logging.Level;

import org.fulmarreach.runtime.log.Event;

/** Events of the entry but for batch and standing work. */
public enum EntryEvent implements Event {
    /** Guard added. */
    GUARD_CONNECTED(1110, Level.INFO, "A guard connected and announced its target."),
    /** Guard lost. */
    GUARD_LOST(
            1111, Level.INFO, "The connection to a guard ended; its calls stay pending until it is back or 3 s pass."),
    /** Guard replaced. */
    GUARD_REPLACED(1112, Level.INFO, "A newer incarnation of a guard replaced an older one."),
    /** Hello refused. */
    GUARD_REFUSED(
            1113, Level.WARNING, "A guard's hello is malformed or of an older incarnation; check ids for duplicates."),
    /** Guard silent. */
    GUARD_SILENT(1114, Level.WARNING, "A guard sent nothing for the silence timeout; its connection is closed."),
    /** Peer connected. */
    PEER_CONNECTED(1120, Level.INFO, "Another entry connected."),
    /** Peer lost. */
    PEER_LOST(1121, Level.INFO, "The connection to another entry ended; it is dialled again."),
    /** First frame of unknown kind. */
    UNEXPECTED_FRAME(1122, Level.WARNING, "A connection began with an unexpected message and is closed."),
    /** Rules loaded. */
    RULES_IN_FORCE(2001, Level.INFO, "A newer revision of the rules is in force."),
    /** Rules from a peer. */
    RULES_FROM_PEER(2002, Level.WARNING, "The rules came from a peer, because the log service does not answer."),
    /** Store lost. */
    RULES_UNREADABLE(2003, Level.WARNING, "The stream of rules cannot be read; check the log service."),
    /** Record damaged. */
    RULES_RECORD_SKIPPED(2004, Level.SEVERE, "A record of the rules stream could not be decoded and has no effect."),
    /** Publish accepted. */
    RULES_PUBLISHED(2005, Level.INFO, "A publish of an operator at this entry is in force."),
    /** Publish refused. */
    RULES_PUBLISH_REFUSED(2006, Level.INFO, "A publish of an operator at this entry was refused."),
    /** Snapshot. */
    RULES_SNAPSHOT_WRITTEN(2007, Level.INFO, "A snapshot of the rules was appended."),
    /** No snapshot. */
    RULES_SNAPSHOT_MISSING(
            2008, Level.SEVERE, "Records are lost and no snapshot is kept; publish the rules again from the file."),
    /** Late answer. */
    LATE_RESULT_DROPPED(3001, Level.FINE, "A late or duplicate answer of a guard was dropped."),
    /** Ejection. */
    TARGET_EJECTED(3003, Level.WARNING, "A target fails and gets no calls for a while; check it."),
    /** Unknown outcome. */
    OUTCOME_UNKNOWN(3004, Level.INFO, "A call was answered as unknown; the caller is told to ask the service."),
    /** Handler failed. */
    REQUEST_FAILED(3005, Level.SEVERE, "A request failed inside the entry; report it."),
    /** Owner failed. */
    PART_FAILED(
            3007, Level.SEVERE, "A part of the entry failed, and the entry stops; report the lines before this one."),
    /** Budget record damaged. */
    BUDGET_RECORD_SKIPPED(3201, Level.SEVERE, "A record of the budget stream could not be decoded and has no effect."),
    /** Budget granted. */
    BUDGET_GRANTED(3202, Level.FINE, "A reservation of this entry was granted."),
    /** Budget refused. */
    BUDGET_REFUSED(3203, Level.WARNING, "A reservation was refused; the budget of the period is used up."),
    /** Budget empty. */
    BUDGET_EXHAUSTED(3204, Level.WARNING, "A call with a cost was refused, because the purse is empty."),
    /** Budget unreadable. */
    BUDGET_UNREADABLE(3205, Level.WARNING, "The stream of the budget cannot be read; the purse is not filled."),
    /** Budget snapshot. */
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
