package org.fulmarreach.standin.site;

import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Heartbeats and deregistrations that no worker sends. The platform lets other writers reach a guard, and what they say
 * names no worker to use.
 */
public enum StrangeHeartbeat {
    /** A new lifetime under the worker's id, of a service that nobody knows. */
    UNKNOWN_SERVICE,
    /** A new lifetime under another id. */
    OTHER_ID,
    /** A new lifetime under another id, of a service that nobody knows. */
    OTHER_ID_UNKNOWN_SERVICE,
    /** A new lifetime under the worker's id, with a field missing. */
    FIELD_MISSING,
    /** A lifetime that starts an hour from now, so that the true heartbeats look older. */
    STARTED_IN_AN_HOUR,
    /** A lifetime that starts in the year 9999. */
    STARTED_IN_9999,
    /** A lifetime that started an hour ago. */
    STARTED_AN_HOUR_AGO,
    /** No start time. */
    START_MISSING,
    /** A start time that is none. */
    START_NEGATIVE,
    /** A state that no page names. */
    UNKNOWN_STATE,
    /** A state that is a number. */
    STATE_OF_ANOTHER_TYPE,
    /** The worker's present lifetime, with the service of nobody. */
    PRESENT_LIFETIME_OF_ANOTHER_SERVICE,
    /** The worker's present lifetime, with hardly any room. */
    PRESENT_LIFETIME_WITHOUT_ROOM,
    /** The worker's present lifetime, with a number that its own heartbeats never reach. */
    PRESENT_LIFETIME_WITH_A_LARGE_NUMBER,
    /** No JSON. */
    UNREADABLE,
    /** A deregistration of the worker, which works on. */
    DEREGISTRATION;

    private static final String[] FIELDS = {"address", "zone", "labels", "version", "slots"};
    private static final long HOUR_MS = 3_600_000;
    private static final long YEAR_9999_UNIX_MS = 253_370_764_800_000L;
    private static final long LARGE_NUMBER = 1L << 50;

    /** Returns the id that it names. */
    String workerId(String id, RandomGenerator random) {
        return switch (this) {
            case OTHER_ID, OTHER_ID_UNKNOWN_SERVICE -> "i-" + Integer.toHexString(random.nextInt(1 << 20, 1 << 30));
            default -> id;
        };
    }

    /**
     * Returns its text.
     *
     * @param heartbeat a heartbeat of the worker; may be changed
     * @param nowMs Unix milliseconds
     * @param random draws the field that is missing
     */
    String text(ObjectNode heartbeat, long nowMs, RandomGenerator random) {
        return switch (this) {
            case UNKNOWN_SERVICE, OTHER_ID_UNKNOWN_SERVICE ->
                heartbeat.put("service", "unknown").put("born", nowMs).toString();
            case OTHER_ID -> heartbeat.put("born", nowMs).toString();
            case FIELD_MISSING -> {
                heartbeat.put("born", nowMs).remove(FIELDS[random.nextInt(FIELDS.length)]);
                yield heartbeat.toString();
            }
            case STARTED_IN_AN_HOUR -> heartbeat.put("born", nowMs + HOUR_MS).toString();
            case STARTED_IN_9999 -> heartbeat.put("born", YEAR_9999_UNIX_MS).toString();
            case STARTED_AN_HOUR_AGO -> heartbeat.put("born", nowMs - HOUR_MS).toString();
            case START_MISSING -> heartbeat.without("born").toString();
            case START_NEGATIVE -> heartbeat.put("born", -1).toString();
            case UNKNOWN_STATE -> heartbeat.put("state", "asleep").toString();
            case STATE_OF_ANOTHER_TYPE -> heartbeat.put("state", 1).toString();
            case PRESENT_LIFETIME_OF_ANOTHER_SERVICE ->
                heartbeat.put("service", "unknown").toString();
            case PRESENT_LIFETIME_WITHOUT_ROOM -> {
                heartbeat.putObject("capacity").put("cpu", 1).put("mem_mb", 1).put("gpu", 0);
                yield heartbeat.toString();
            }
            case PRESENT_LIFETIME_WITH_A_LARGE_NUMBER ->
                heartbeat.put("sequence", LARGE_NUMBER).toString();
            case UNREADABLE -> "\u0000\u0001{";
            case DEREGISTRATION -> "";
        };
    }

    /** Returns the last part of the path that receives it. */
    String call() {
        return this == DEREGISTRATION ? "deregister" : "heartbeat";
    }
}
