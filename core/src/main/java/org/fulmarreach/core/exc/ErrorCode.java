package org.fulmarreach.core.exc;

/** Error codes that are reported to callers and operators, each with its default remedy. */
public enum ErrorCode {
    /** The request or file is malformed. */
    BAD_REQUEST("Correct the input as the message says and send it again."),
    /** No urgent rule matches the service and path. */
    NO_SUCH_SERVICE("Publish an urgent rule for this service, or correct the path."),
    /** A non-idempotent call has no request id issued by this system. */
    REQUEST_ID_REQUIRED("Get an id from POST /v1/request-ids and send it in the Request-Id header."),
    /** The request id has expired and is unknown to its guard. */
    REQUEST_ID_EXPIRED("Ask the service whether the call took effect; use a new id for a new call."),
    /** The request id was issued for an earlier incarnation of its guard. */
    GUARD_RESTARTED("Ask the service whether the call took effect; use a new id for a new call."),
    /** No target has capacity within the deadline. */
    NO_CAPACITY("Retry after the delay in the Retry-After header; a call with a request id then needs a new id."),
    /** No target of the service is known. */
    NO_TARGET("Retry after the delay in the Retry-After header; list the targets with fulmarctl targets."),
    /** The target or guard is draining. */
    LEAVING("Send the call again with a new id; it is routed to another target."),
    /** The deadline passed. */
    DEADLINE_EXCEEDED("Send the call again with a later deadline."),
    /** The target could not be reached, or its answer was incomplete. */
    TARGET_FAILED("Ask the service whether the call took effect."),
    /** The connection to the guard was lost and the outcome of the call could not be determined. */
    GUARD_UNREACHABLE("Ask the service whether the call took effect, or ask GET /v1/requests/{id} later."),
    /** The part of the shared budget that this entry may spend is used up. */
    BUDGET_EXHAUSTED("Raise the budget rule, or wait for the next period."),
    /** The log service does not answer. */
    STORE_UNAVAILABLE("Wait until the log service answers again; running work continues."),
    /** This entry has not loaded any rules yet. */
    RULES_NOT_LOADED("Retry after the delay in the Retry-After header, or use another entry."),
    /** Another publish changed the rules first. */
    CONFLICT("Read the current rules, apply your change to them and publish again."),
    /** The name of the work is bound to another region. */
    REGION_BOUND("Use a new name for work in another region."),
    /** The operator's token is missing or wrong. */
    UNAUTHORIZED("Set the operator token with --token or FULMARREACH_TOKEN."),
    /** No object has the given name. */
    NOT_FOUND("Check the name with fulmarctl work or fulmarctl targets."),
    /** A size or count is over its limit. */
    TOO_LARGE("Send less, or raise the limit in the settings."),
    /** The process is shutting down. */
    SHUTTING_DOWN("Send the call again; the load balancer chooses another entry."),
    /** A message from another process could not be decoded. */
    BAD_FRAME("Run the same version of fulmard on both sides."),
    /** A setting is missing or out of range. */
    BAD_SETTING("Correct the setting; docs/SETTINGS.md gives its range."),
    /** The worker agent refused an operation, failed or did not answer. */
    WORKER_FAILED("Check the worker agent of the VM."),
    /** An internal invariant was violated. */
    INVARIANT_VIOLATED("Report the event with its log lines; the component that detected the violation has stopped.");

    private final String remedy;

    ErrorCode(String remedy) {
        this.remedy = remedy;
    }

    /** Returns the default remedy: what the caller or operator can do about the error. */
    public String remedy() {
        return remedy;
    }
}
