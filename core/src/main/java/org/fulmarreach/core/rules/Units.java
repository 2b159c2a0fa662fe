package org.fulmarreach.core.rules;

import java.util.OptionalLong;

/** Parses amounts with units; the result is empty if the text is malformed or the amount is too large. */
final class Units {
    /** Maximum amount of money; small enough that the sum over all kept periods does not overflow. */
    static final long MAX_AMOUNT = 1_000_000_000_000_000L;

    /** Maximum duration: ten years of 366 days. */
    static final long MAX_DURATION_MS = 10L * 366 * 86_400_000L;

    /** Maximum of thousandths of a core; fits into the {@code int} of {@code Resources}. */
    static final long MAX_MILLI_CORES = 1_000_000_000L;

    /** Maximum memory in MiB: 1 EiB. */
    static final long MAX_MEMORY_MB = 1L << 40;

    /** Maximum number of digits of a number, so that the multiplications below cannot overflow. */
    private static final int MAX_DIGITS = 15;

    private static final int MILLIS_DIGITS = 3;
    private static final long MB_PER_GB = 1024;
    private static final String[] DURATION_UNITS = {"d", "h", "m", "s", "ms"};
    private static final long[] DURATION_MS = {86_400_000L, 3_600_000L, 60_000L, 1_000L, 1L};

    private Units() {}

    /** Parses an integer from 0 to {@code max}. */
    static OptionalLong parseInteger(String text, long max) {
        if (text.isEmpty() || text.length() > MAX_DIGITS || countDigits(text, 0) != text.length()) {
            return OptionalLong.empty();
        }
        return atMost(Long.parseLong(text), max);
    }

    /** Parses a duration such as {@code 7h30m} to milliseconds; each unit occurs at most once, larger units first. */
    static OptionalLong parseDurationMs(String text) {
        long totalMs = 0;
        int position = 0;
        int nextUnit = 0;
        while (position < text.length()) {
            int digits = countDigits(text, position);
            int unitStart = position + digits;
            int unitEnd = unitStart;
            while (unitEnd < text.length() && !isDigit(text.charAt(unitEnd))) {
                unitEnd++;
            }
            int unit = findUnit(text.substring(unitStart, unitEnd), nextUnit);
            OptionalLong count = parseInteger(text.substring(position, unitStart), MAX_DURATION_MS);
            if (unit < 0 || count.isEmpty() || count.getAsLong() > MAX_DURATION_MS / DURATION_MS[unit]) {
                return OptionalLong.empty();
            }
            totalMs += count.getAsLong() * DURATION_MS[unit];
            nextUnit = unit + 1;
            position = unitEnd;
        }
        return text.isEmpty() ? OptionalLong.empty() : atMost(totalMs, MAX_DURATION_MS);
    }

    /** Parses an amount of memory such as {@code 16G} or {@code 512M} to MiB. */
    static OptionalLong parseMemoryMb(String text) {
        if (text.isEmpty()) {
            return OptionalLong.empty();
        }
        long factor = switch (text.charAt(text.length() - 1)) {
            case 'M' -> 1;
            case 'G' -> MB_PER_GB;
            default -> 0;
        };
        OptionalLong count = parseInteger(text.substring(0, text.length() - 1), MAX_MEMORY_MB);
        if (factor == 0 || count.isEmpty()) {
            return OptionalLong.empty();
        }
        return atMost(count.getAsLong() * factor, MAX_MEMORY_MB);
    }

    /** Parses a number of processors such as {@code 8} or {@code 0.25} to thousandths of a core. */
    static OptionalLong parseMilliCores(String text) {
        int point = text.indexOf('.');
        String whole = point < 0 ? text : text.substring(0, point);
        String fraction = point < 0 ? "0" : text.substring(point + 1);
        OptionalLong cores = parseInteger(whole, MAX_MILLI_CORES / 1_000);
        if (cores.isEmpty()
                || fraction.isEmpty()
                || fraction.length() > MILLIS_DIGITS
                || countDigits(fraction, 0) != fraction.length()) {
            return OptionalLong.empty();
        }
        long millis = Long.parseLong((fraction + "000").substring(0, MILLIS_DIGITS));
        return atMost(cores.getAsLong() * 1_000 + millis, MAX_MILLI_CORES);
    }

    private static OptionalLong atMost(long value, long max) {
        return value <= max ? OptionalLong.of(value) : OptionalLong.empty();
    }

    private static int findUnit(String name, int from) {
        for (int i = from; i < DURATION_UNITS.length; i++) {
            if (DURATION_UNITS[i].equals(name)) {
                return i;
            }
        }
        return -1;
    }

    private static int countDigits(String text, int from) {
        int end = from;
        while (end < text.length() && isDigit(text.charAt(end))) {
            end++;
        }
        return end - from;
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }
}
