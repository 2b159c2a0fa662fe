package org.fulmarreach.runtime.cfg;

import java.util.Locale;

/**
 * A setting of the daemon with its roles, default, unit and range. docs/SETTINGS.md is generated from these values, and
 * a test compares that page with them.
 */
public enum Setting {
    ID(Roles.BOTH, Kind.TEXT, null, "", 1, 63, "Unique id of this process, for example entry-sued-a-1."),
    REGION(Roles.BOTH, Kind.TEXT, null, "", 1, 63, "Region of this process."),
    ZONE(Roles.BOTH, Kind.TEXT, null, "", 1, 63, "Availability zone of this process."),
    RACK(Roles.GUARD, Kind.TEXT, "rack-0", "", 1, 63, "Rack of the VM."),
    VM(Roles.GUARD, Kind.TEXT, null, "", 1, 63, "Name of the VM."),
    LOG_LEVEL(Roles.BOTH, Kind.TEXT, "info", "", 4, 7, "Lowest level written: fine, info, warning or severe."),
    DRAIN_TIMEOUT_MS(
            Roles.BOTH,
            Kind.NUMBER,
            "20000",
            "ms",
            100,
            600_000,
            "Maximum time for a graceful shutdown after SIGTERM."),
    HEARTBEAT_MS(Roles.BOTH, Kind.NUMBER, "500", "ms", 50, 5_000, "Interval of heartbeats on each connection."),
    SILENCE_TIMEOUT_MS(
            Roles.BOTH,
            Kind.NUMBER,
            "2000",
            "ms",
            200,
            60_000,
            "A connection that receives no frame for this long is closed."),
    MAX_BODY_BYTES(
            Roles.BOTH,
            Kind.NUMBER,
            "1048576",
            "bytes",
            1_024,
            3_145_728,
            "Maximum size of the body of a call or answer."),
    CLIENT_MEMORY_BYTES(
            Roles.BOTH,
            Kind.NUMBER,
            "0",
            "bytes",
            0,
            1L << 40,
            "Memory for the requests and answers of all HTTP clients together; 0 means a quarter of the heap."),
    MAX_HEADER_BYTES(
            Roles.BOTH,
            Kind.NUMBER,
            "32768",
            "bytes",
            1_024,
            65_536,
            "Maximum size of the header section of a request."),
    RECEIVE_TIMEOUT_MS(
            Roles.BOTH,
            Kind.NUMBER,
            "10000",
            "ms",
            100,
            60_000,
            "Maximum time from the first to the last byte of an HTTP request."),
    WRITE_TIMEOUT_MS(
            Roles.BOTH,
            Kind.NUMBER,
            "20000",
            "ms",
            1_000,
            60_000,
            "A connection whose client reads none of its answer for this long is closed; checked every 15 s."),
    LINGER_BYTES(
            Roles.BOTH,
            Kind.NUMBER,
            "4194304",
            "bytes",
            0,
            67_108_864,
            "Maximum number of bytes that are read and discarded after the last answer of a connection."),
    LISTEN(Roles.ENTRY, Kind.ADDRESS, "127.0.0.1:7400", "", 0, 0, "Listen address for guards and other entries."),
    ADVERTISE(
            Roles.ENTRY,
            Kind.ADDRESS,
            "",
            "",
            0,
            0,
            "Address that guards and other entries connect to; if empty, the listen address."),
    HTTP(Roles.ENTRY, Kind.ADDRESS, "127.0.0.1:7401", "", 0, 0, "HTTP listen address for callers."),
    OPERATOR_HTTP(
            Roles.ENTRY,
            Kind.ADDRESS,
            "127.0.0.1:7402",
            "",
            0,
            0,
            "HTTP listen address for operators and metrics. Must be a loopback address while no token is set."),
    TOKEN(Roles.ENTRY, Kind.SECRET, "", "", 0, 256, "Bearer token of operators."),
    STORE(Roles.ENTRY, Kind.URL, null, "", 0, 0, "Base URL of the log service."),
    STORE_REGION(Roles.ENTRY, Kind.TEXT, null, "", 1, 63, "Region that holds the log service."),
    STORE_TIMEOUT_MS(Roles.ENTRY, Kind.NUMBER, "2000", "ms", 100, 60_000, "Timeout of one append or read."),
    STORE_RETENTION_MS(
            Roles.ENTRY,
            Kind.NUMBER,
            "86400000",
            "ms",
            10_000,
            2_592_000_000L,
            "Time for which the log service keeps records; the snapshot interval is a quarter of it."),
    PEERS(Roles.ENTRY, Kind.ADDRESSES, "", "", 0, 256, "Addresses of other entries, of all regions, comma separated."),
    SHARDS(
            Roles.ENTRY,
            Kind.NUMBER,
            "1",
            "",
            1,
            64,
            "Number of shards of batch and standing work per region; must never be changed."),
    MAX_QUEUED_CALLS(
            Roles.ENTRY, Kind.NUMBER, "256", "calls", 0, 10_000, "Maximum number of queued calls per service."),
    MAX_HTTP_CONNECTIONS(
            Roles.ENTRY, Kind.NUMBER, "1024", "", 1, 65_536, "Maximum number of open connections from callers."),
    ENTRIES(Roles.GUARD, Kind.ADDRESSES, null, "", 1, 64, "Addresses of entries of the region, comma separated."),
    TARGET(Roles.GUARD, Kind.URL, null, "", 0, 0, "Base URL of the target beside this guard, on loopback."),
    WORKER(Roles.GUARD, Kind.URL, "", "", 0, 0, "Base URL of the worker agent of this VM; empty for none."),
    MAX_ANSWER_CACHE_BYTES(
            Roles.GUARD,
            Kind.NUMBER,
            "2097152",
            "bytes",
            0,
            268_435_456,
            "Maximum size of the cache of answers for repeated calls."),
    WORKER_LEASE_MS(
            Roles.GUARD, Kind.NUMBER, "5000", "ms", 500, 60_000, "Lease duration of a task at the worker agent.");

    /** Roles that a setting belongs to. */
    public enum Roles {
        ENTRY,
        GUARD,
        BOTH
    }

    /** Form of a value. */
    public enum Kind {
        /** Text; the range is its length. */
        TEXT,
        /** Text that is never printed. */
        SECRET,
        /** Whole number. */
        NUMBER,
        /** {@code ip:port}. */
        ADDRESS,
        /** Comma-separated {@code ip:port}; the range is their count. */
        ADDRESSES,
        /** {@code http://ip:port}. */
        URL
    }

    private final Roles roles;
    private final Kind kind;
    private final String defaultValue;
    private final String unit;
    private final long min;
    private final long max;
    private final String description;

    Setting(Roles roles, Kind kind, String defaultValue, String unit, long min, long max, String description) {
        this.roles = roles;
        this.kind = kind;
        this.defaultValue = defaultValue;
        this.unit = unit;
        this.min = min;
        this.max = max;
        this.description = description;
    }

    /** Returns the flag without dashes, for example {@code store-region}. */
    public String flag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the environment variable, for example {@code FULMARREACH_STORE_REGION}. */
    public String variable() {
        return "FULMARREACH_" + name();
    }

    /** Returns whether the setting belongs to {@code role}. */
    public boolean isFor(Role role) {
        return roles == Roles.BOTH || roles.name().equals(role.name());
    }

    /** Returns the roles that use this setting. */
    public Roles roles() {
        return roles;
    }

    /** Returns the form of the value. */
    public Kind kind() {
        return kind;
    }

    /** Returns the default; null when a value is required. */
    public String defaultValue() {
        return defaultValue;
    }

    /** Returns the unit, empty when there is none. */
    public String unit() {
        return unit;
    }

    /** Returns the lowest value, length or count. */
    public long min() {
        return min;
    }

    /** Returns the highest value, length or count. */
    public long max() {
        return max;
    }

    /** Returns a sentence that describes the effect of the setting. */
    public String description() {
        return description;
    }
}
