package org.fulmarreach.standin;

import java.util.Locale;

/**
 * Actual behaviour of a task, which may differ from its declared size. Immutable.
 *
 * @param name plain task name, or empty
 * @param milliCores processor use at full speed in thousandths of a core, or -1 for the declared size
 * @param memoryMb memory use in MiB, or -1 for the declared size
 * @param runMs run time at full speed in milliseconds, or {@link #FOREVER}
 * @param failAtMs progress at which the task fails, in milliseconds, or {@link #FOREVER}
 */
record TaskSpec(String name, int milliCores, long memoryMb, long runMs, long failAtMs) {
    static final long FOREVER = Long.MAX_VALUE;

    /**
     * Parses a comma-separated list of keys with values, such as {@code cpu:2500,mem:4096,run:20s,fail:5s}, and plain
     * names. An optional prefix {@code task=} is ignored.
     */
    static TaskSpec parse(String text, long defaultRunMs) {
        TaskSpec spec = new TaskSpec("", -1, -1, defaultRunMs, FOREVER);
        String list = text.startsWith("task=") ? text.substring("task=".length()) : text;
        for (String part : list.split(",")) {
            int colon = part.indexOf(':');
            String key = colon < 0 ? "" : part.substring(0, colon);
            String value = part.substring(colon + 1);
            spec = switch (key) {
                case "" -> new TaskSpec(value, spec.milliCores, spec.memoryMb, spec.runMs, spec.failAtMs);
                case "cpu" ->
                    new TaskSpec(spec.name, Integer.parseInt(value), spec.memoryMb, spec.runMs, spec.failAtMs);
                case "mem" ->
                    new TaskSpec(spec.name, spec.milliCores, Long.parseLong(value), spec.runMs, spec.failAtMs);
                case "run" -> new TaskSpec(spec.name, spec.milliCores, spec.memoryMb, parseMs(value), spec.failAtMs);
                case "fail" -> new TaskSpec(spec.name, spec.milliCores, spec.memoryMb, spec.runMs, parseMs(value));
                default -> throw new IllegalArgumentException("unknown key in the task specification: " + key);
            };
        }
        return spec;
    }

    /** Returns whether every start of the task fails, which a name with the prefix {@code never} requests. */
    boolean failsAtStart() {
        return name.startsWith("never");
    }

    static long parseMs(String text) {
        String value = text.toLowerCase(Locale.ROOT);
        if (value.equals("forever")) {
            return FOREVER;
        }
        if (value.endsWith("ms")) {
            return Long.parseLong(value.substring(0, value.length() - 2));
        }
        long unitMs = switch (value.charAt(value.length() - 1)) {
            case 's' -> 1_000;
            case 'm' -> 60_000;
            case 'h' -> 3_600_000;
            default -> throw new IllegalArgumentException("duration has no unit (ms, s, m or h): " + text);
        };
        return (long) (Double.parseDouble(value.substring(0, value.length() - 1)) * unitMs);
    }
}
