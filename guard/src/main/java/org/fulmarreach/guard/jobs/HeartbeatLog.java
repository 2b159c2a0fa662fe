package org.fulmarreach.guard.jobs;

import org.fulmarreach.platform.worker.WorkerHeartbeat;
import org.fulmarreach.runtime.log.EventLog;

/** Logs what a guard concludes from heartbeats. Immutable. */
final class HeartbeatLog {
    private final EventLog log;

    HeartbeatLog(EventLog log) {
        this.log = log;
    }

    /** Logs an event that a heartbeat causes. */
    void record(RelayEvent event, WorkerHeartbeat heartbeat) {
        log.emit(
                event,
                "worker",
                heartbeat.id(),
                "bornMs",
                heartbeat.startedAtMs(),
                "draining",
                heartbeat.draining(),
                "number",
                heartbeat.sequence());
    }

    /**
     * Logs that a heartbeat is not believed.
     *
     * @param presentStartMs start of the present lifetime in Unix milliseconds; 0 if none is known
     */
    void recordRefused(WorkerHeartbeat heartbeat, long presentStartMs, String reason) {
        log.emit(
                RelayEvent.HEARTBEAT_REFUSED,
                "worker",
                heartbeat.id(),
                "number",
                heartbeat.sequence(),
                "bornMs",
                heartbeat.startedAtMs(),
                "presentBornMs",
                presentStartMs,
                "reason",
                reason);
    }
}
