package org.fulmarreach.entry.jobs;

import java.util.logging.Level;

import org.fulmarreach.core.jobs.DecisionLog.Decision;
import org.fulmarreach.runtime.log.Event;
import org.fulmarreach.runtime.log.EventLog;

/** Log events of job handling at the entry. Each constant's description is its documentation. */
public enum JobEvent implements Event {
    JOB_ACCEPTED(4001, Level.INFO, "A submitted job is stored and its caller was informed."),
    JOB_REFUSED(4002, Level.INFO, "A submission was refused; the job never runs. The reason says what to correct."),
    JOB_UNDECIDED(4003, Level.WARNING, "The store did not answer in time; the caller must submit the job again."),
    JOB_CANCELLED(4004, Level.INFO, "A cancellation was requested; the outcome says whether it is stored."),
    REQUEST_REFUSED(4005, Level.INFO, "A request about a job or a queue was not served; the reason names the cause."),
    JOB_SETTLED(4006, Level.INFO, "A job was completed, failed or was cancelled; no more of its tasks are started."),
    JOB_FORGOTTEN(4007, Level.FINE, "The records of a settled job are removed after its retention time."),
    QUEUE_COUNTED(4008, Level.INFO, "The waiting jobs of a queue were counted, from records of the given ages."),
    RUN_CARRIED_OVER(
            4009,
            Level.WARNING,
            "A worker started again under its id; a run of its former lifetime counts there, or is withdrawn there."),
    RUN_ASSIGNED(
            4010, Level.INFO, "A run was assigned to a worker; the start order is sent after the record is stored."),
    RUN_STARTED(4011, Level.INFO, "A worker lists a run as running for the first time."),
    RUN_ENDED(4012, Level.INFO, "A worker lists the current run of a task as ended."),
    STALE_END(4013, Level.INFO, "A worker lists the end of a run that is not the current run of its task."),
    STRAY_STOPPED(4014, Level.WARNING, "A worker runs a task that is not assigned to it; it was told to stop the run."),
    RUN_MOVED(4015, Level.INFO, "A run is stopped, for the reason given."),
    RUN_LOST(
            4016,
            Level.WARNING,
            "A run can no longer be running; its task is placed again unless the reason says otherwise."),
    START_REFUSED(
            4017,
            Level.INFO,
            "A start was refused or is uncertain; the task is placed again unless its run has started."),
    PACE_CHANGED(
            4018,
            Level.INFO,
            "The CPU share of a best-effort task was changed because of serving tasks on its worker."),
    BEST_EFFORT_LOAD(
            4095,
            Level.INFO,
            "The processors that the best-effort tasks of a worker request, are allowed by their CPU shares, and use."),
    INTERFERENCE_LEARNED(
            4096,
            Level.INFO,
            "What is known of the interference of best-effort images with a serving image: factor/standard deviation."),
    WORKER_SEEN(4020, Level.INFO, "A guard reports a worker, or a newer lifetime of it, for the first time."),
    WORKER_CHANGED(4021, Level.INFO, "A worker became reachable, unreachable or began to drain."),
    WORKER_SUSPECTED(4022, Level.WARNING, "Several runs in a row failed on a worker; it gets no new runs for a while."),
    WORKER_CRASHED(
            4028,
            Level.WARNING,
            "A worker's process seems to have ended unannounced; runs without progress are suspects."),
    TASK_SUSPECTED(
            4029,
            Level.WARNING,
            "A worker crashed before a run of this task showed progress; the task is tried alone next."),
    TASK_GIVEN_UP(4019, Level.WARNING, "A task failed because it repeatedly crashed the workers that started it."),
    GUARD_JOINED(4023, Level.INFO, "A guard opened a session with this leader."),
    GUARD_LEFT(
            4024, Level.INFO, "The session with a guard ended; its worker's lease remains valid for a bounded time."),
    GUARD_REDIRECTED(4025, Level.INFO, "A guard reported to this entry, which does not lead, and was told the leader."),
    REQUEST_FORWARDED(
            4026, Level.INFO, "The store does not answer this entry; a caller's request went to another one."),
    LEADER_ENDED(4027, Level.INFO, "The silent leader's address refused a connection, so its process has ended."),
    ELECTION_STARTED(
            4030, Level.INFO, "The leader has written nothing for a while; this entry tries to win the next term."),
    LEADER_ELECTED(4031, Level.INFO, "This entry was elected leader."),
    ELECTION_LOST(4032, Level.INFO, "This entry was not elected; another entry was faster, or the append failed."),
    LEADER_REPLACED(4033, Level.WARNING, "This entry is no longer the leader; its unwritten changes are discarded."),
    LEADER_SEEN(4034, Level.INFO, "The log names another leader or term."),
    LEADER_RESIGNED(4035, Level.INFO, "This entry resigned as leader because it is shutting down."),
    STARTS_HELD(
            4036,
            Level.WARNING,
            "Starts are held because cancellations or evacuations could not be read for a while; check the store."),
    LEADER_RECORD_REFUSED(
            4037,
            Level.WARNING,
            "A leader record of the log has no usable address and is ignored; see which program of its node wrote it."),
    LEASES_WITHHELD(
            4038,
            Level.INFO,
            "Silent guards get no leases until a record without them is stored; the fields bound those they have."),
    FORMER_GRANTS_BOUNDED(
            4039,
            Level.INFO,
            "Former leaders have granted no leases since the given age; their processes have ended or lost the store."),
    STORE_LOST(
            4040,
            Level.WARNING,
            "A partition cannot be read from the store; check the platform. Accepted work continues."),
    STORE_REGAINED(
            4041,
            Level.INFO,
            "The partition can be read from the store again; ageMs is for how long its end was not known."),
    STORE_LOADED(4042, Level.INFO, "The newest records of a partition were read."),
    RECORD_SKIPPED(4043, Level.SEVERE, "A record of the log cannot be decoded and is ignored; report it."),
    REMOVAL_FAILED(4044, Level.WARNING, "The requests of forgotten jobs could not be removed; this is tried again."),
    JOB_OVERLOADED(
            4068,
            Level.INFO,
            "A submission was refused: by the load of the pool, its result would come too late to be of any use."),
    POOL_LOAD_CHANGED(
            4069, Level.INFO, "The leader has stored that a pool has become short of room, or that none is any more."),
    REMOVAL_MISSED(
            4045,
            Level.INFO,
            "A key was removed while the log could not be read; the newest records no longer contain it."),
    TASK_WAITING(
            4046,
            Level.WARNING,
            "A long-running task that may run has not been at work for 2 s; the reason and its inputs say why."),
    JOB_WAITING(
            4094,
            Level.WARNING,
            "A job has had no run at work for 2 s though a task's turn has come; the reason and its inputs say why."),
    TASK_OVERDUE(
            4047, Level.SEVERE, "A task that may run is over the time limit of its next step, or has none; report it."),
    CANCELLED_BEFORE_SUBMISSION(
            4048,
            Level.INFO,
            "A submission was stored after the cancellation of its job; it counts as cancelled and never runs."),
    CANCELLATIONS_REMOVED(
            4049, Level.FINE, "Cancellations of jobs that were never submitted are removed after the retention time."),
    CONFIG_IN_FORCE(
            4050,
            Level.INFO,
            "A newer version of the operators' configuration is active; the fields say when it was read."),
    CONFIG_UNREADABLE(
            4051, Level.SEVERE, "The operators' configuration cannot be decoded; the previous one stays active."),
    CONFIG_PART_SKIPPED(
            4052,
            Level.SEVERE,
            "A part of the operators' configuration cannot be used; the reason names it. The rest of it is active."),
    CONFIG_OUTDATED(
            4053,
            Level.WARNING,
            "A newer configuration that must be in force may be unknown; the reason says why. The active one stays."),
    CONFIG_CURRENT(4054, Level.INFO, "All configurations that must be in force are known again."),
    ENTRY_READY(4055, Level.INFO, "The readiness check succeeds from now on."),
    ENTRY_UNREADY(
            4056,
            Level.WARNING,
            "The readiness check fails, for the reason given; also logged when the reason changes."),
    EVACUATIONS_READ(
            4090,
            Level.INFO,
            "The operators have evacuated zones, or taken evacuations back; the fields say when it was read."),
    ZONE_EVACUATED(
            4091,
            Level.WARNING,
            "A zone is evacuated: nothing is started there, and standing tasks are moved out as others have room."),
    ZONE_EMPTIED(4092, Level.INFO, "The last standing task has left an evacuated zone."),
    ZONE_REOPENED(
            4093, Level.INFO, "The evacuation of a zone was taken back; its workers are filled over some seconds."),
    ORDER_TOO_LARGE(
            4057,
            Level.SEVERE,
            "An order fits no message to its guard and was dropped; a task that cannot be started so has failed."),
    RECORD_NOT_STORED(
            4058,
            Level.SEVERE,
            "The store never accepts a record of the leader, which was dropped so that others are stored; tasks of its"
                    + " job that were to be started have failed."),
    CHECKPOINTS_NOT_STORED(
            4059,
            Level.WARNING,
            "Checkpoints of a job are too large for a record; the largest are left out, and if the leader is replaced"
                    + " these tasks start from the begin when they run again.");

    private final int number;
    private final Level level;
    private final String description;

    JobEvent(int number, Level level, String description) {
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

    /** Logs a decision of the scheduler; the id of its subject is the first field. */
    static void emitDecision(EventLog log, Decision decision, String subject, Object... fields) {
        Object[] all = new Object[fields.length + 2];
        all[0] = "id";
        all[1] = subject;
        System.arraycopy(fields, 0, all, 2, fields.length);
        log.emit(fromDecision(decision), all);
    }

    private static JobEvent fromDecision(Decision decision) {
        return switch (decision) {
            case RUN_ASSIGNED -> RUN_ASSIGNED;
            case RUN_STARTED -> RUN_STARTED;
            case RUN_ENDED -> RUN_ENDED;
            case STALE_END -> STALE_END;
            case STRAY_STOPPED -> STRAY_STOPPED;
            case RUN_MOVED -> RUN_MOVED;
            case RUN_LOST -> RUN_LOST;
            case RUN_CARRIED_OVER -> RUN_CARRIED_OVER;
            case START_REFUSED -> START_REFUSED;
            case JOB_SETTLED -> JOB_SETTLED;
            case JOB_FORGOTTEN -> JOB_FORGOTTEN;
            case WORKER_SEEN -> WORKER_SEEN;
            case WORKER_CHANGED -> WORKER_CHANGED;
            case WORKER_SUSPECTED -> WORKER_SUSPECTED;
            case WORKER_CRASHED -> WORKER_CRASHED;
            case TASK_SUSPECTED -> TASK_SUSPECTED;
            case TASK_GIVEN_UP -> TASK_GIVEN_UP;
            case PACE_CHANGED -> PACE_CHANGED;
            case BEST_EFFORT_LOAD -> BEST_EFFORT_LOAD;
            case INTERFERENCE_LEARNED -> INTERFERENCE_LEARNED;
            case TASK_WAITING -> TASK_WAITING;
            case JOB_WAITING -> JOB_WAITING;
            case TASK_OVERDUE -> TASK_OVERDUE;
            case ZONE_EVACUATED -> ZONE_EVACUATED;
            case ZONE_EMPTIED -> ZONE_EMPTIED;
            case ZONE_REOPENED -> ZONE_REOPENED;
        };
    }
}
