package org.fulmarreach.entry.jobs;

import java.util.LinkedHashSet;
import java.util.Set;

import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.JobLeader;
import org.fulmarreach.protocol.thrift.LeaderHint;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.net.FrameLink;

/**
 * Tells guards that are connected to an entry that does not lead where the leader is: at once if the leader is known,
 * otherwise as soon as the log names one. Confined to one actor.
 */
final class GuardRedirects {
    private final EventLog log;
    private final Set<FrameLink> waiting = new LinkedHashSet<>();

    GuardRedirects(EventLog log) {
        this.log = log;
    }

    /** Names the leader to a guard. */
    void redirect(FrameLink link, JobLeader leader) {
        log.emit(
                JobEvent.GUARD_REDIRECTED,
                "remote",
                link.remoteAddress(),
                "leader",
                leader.getNode(),
                "term",
                leader.getTerm());
        link.send(0, Body.leaderHint(new LeaderHint(leader.getTerm(), leader.getAddress())));
    }

    /** Keeps the connection of a guard until the log names a leader. */
    void await(FrameLink link) {
        waiting.add(link);
    }

    /** Names a new leader to all waiting guards. */
    void redirectWaiting(JobLeader leader) {
        waiting.forEach(link -> redirect(link, leader));
        waiting.clear();
    }

    /** Forgets a connection that was closed. */
    void onClosed(FrameLink link) {
        waiting.remove(link);
    }

    /** Forgets all waiting guards, because this entry leads now and answers their next reports. */
    void clear() {
        waiting.clear();
    }
}
