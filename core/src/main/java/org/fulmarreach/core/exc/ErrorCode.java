package org.fulmarreach.core.exc;

/** Kinds of error that a caller or an operator can meet, each with its usual remedy. */
public enum ErrorCode {
    /** The request or file is malformed. */
    BAD_REQUEST("Correct the input as the message says and send it again."),
    /** No urgent rule matches the service and path. */
    NO_SUCH_SERVICE("Publish an urgent rule for this service, or correct the path."),
    /** A non-idempotent call came without an id of this system. */
    REQUEST_ID_REQUIRED("Get an id from POST /v1/request-ids and send it in the Request-Id header."),
    /** The id is past its validity and unknown to its guard. */
    REQUEST_ID_EXPIRED("Ask the service whether the call took effect; use a new id for a new call."),
    /** The id belongs to an earlier incarnation of its guard. */
    GUARD_RESTARTED("Ask the service whether the call took effect; use a new id for a new call."),
    /** No target has room within the deadline. */
    NO_CAPACITY("Come back after the time in Retry-After; a call with an id then needs a new id."),
    /** No target of the service is known. */
    NO_TARGET("Come back after the time in Retry-After; check with fulmarctl targets."),
    /** The target or guard is leaving. */
    LEAVING("Send the call again with a new id; another target takes it."),
    /** The deadline passed. */
    DEADLINE_EXCEEDED("Send the call again with a later deadline."),
    /** The target could not be reached, or answered in part only. */
    TARGET_FAILED("Ask the service whether the call took effect."),
    /** The connection to the guard was lost and the outcome could not be resolved. */
    GUARD_UNREACHABLE("Ask the service whether the call took effect, or ask GET /v1/requests/{id} later."),
    /** The shared budget has nothing left that this entry may spend. */
    BUDGET_EXHAUSTED("Raise the budget rule, or wait for the next period."),
    /** The log service does not answer. */
    STORE_UNAVAILABLE("Wait until the log service answers again; running work goes on."),
    /** This entry has no rules yet. */
    RULES_NOT_LOADED("Come back after the time in Retry-After, or ask another entry."),
    /** Another operator published first. */
    CONFLICT("Read the present rules, apply your edit to them and publish again."),
    /** The work name is bound to another region. */
    REGION_BOUND("Use a new name for work in another region."),
    /** The operator's token is missing or wrong. */
    UNAUTHORIZED("Set the operator token with --token or FULMARREACH_TOKEN."),
    /** Nothing has the given name. */
    NOT_FOUND("Check the name with fulmarctl work or fulmarctl targets."),
    /** A size or count is over its limit. */
    TOO_LARGE("Send less, or raise the limit in the settings."),
    /** The process is shutting down. */
    SHUTTING_DOWN("Send the call again; the balancer chooses another entry."),
    /** A message of another process could not be decoded. */
    BAD_FRAME("Run the same version of fulmard on both sides."),
    /** A setting is missing or out of range. */
    BAD_SETTING("Correct the setting; docs/SETTINGS.md gives its range."),
    /** The worker agent refused or failed. */
    WORKER_FAILED("Check the worker agent of the VM."),
    /** An invariant did not hold. */
    INVARIANT_VIOLATED("Report the event with its log lines; the part that found it has stopped.");

    private final String remedy;

    ErrorCode(String remedy) {
        this.remedy = remedy;
    }

    /** Returns what the reader of the error can do about it. */
    public String remedy() {
        return remedy;
    }
}
