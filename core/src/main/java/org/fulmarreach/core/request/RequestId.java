package org.fulmarreach.core.request;

import org.fulmarreach.core.exc.ErrorCode;
import org.fulmarreach.core.exc.Result;

/**
 * Id of one request, {@code guardId.incarnation.mintTick.random}. It is valid only at the given guard and incarnation.
 * The guard id may contain dots; the last three parts never do, so the text is parsed from its end. Immutable.
 *
 * @param guardId id of the guard
 * @param incarnation incarnation of the guard, not negative
 * @param mintTickMs reading of the guard's monotonic clock from its last heartbeat before the id was minted
 * @param random 1 to 33 characters of {@code [0-9A-Za-z_-]}; a leading {@code i} marks an id that an entry minted for
 *     one idempotent call
 */
public record RequestId(String guardId, long incarnation, long mintTickMs, String random) {
    /** Maximum length of the text of an id. */
    public static final int MAX_CHARACTERS = 160;

    private static final char SHORT_LIVED_PREFIX = 'i';
    private static final int MAX_HEX_CHARACTERS = 32;

    /**
     * Mints an id for a caller, which may repeat calls with it for 15 minutes.
     *
     * @param high random bits
     * @param low further random bits
     */
    public static RequestId mintForCaller(String guardId, long incarnation, long mintTickMs, long high, long low) {
        return new RequestId(guardId, incarnation, mintTickMs, "c" + toHex(high) + toHex(low));
    }

    /** Mints an id for one idempotent call, which is accepted for only 10 s; see {@link #isShortLived()}. */
    public static RequestId mintForOneCall(String guardId, long incarnation, long mintTickMs, long high, long low) {
        return new RequestId(guardId, incarnation, mintTickMs, SHORT_LIVED_PREFIX + toHex(high) + toHex(low));
    }

    /** Parses the text of an id. A malformed text results in {@code BAD_REQUEST}. */
    public static Result<RequestId> parse(String text) {
        if (text == null || text.length() > MAX_CHARACTERS) {
            return malformed(text == null ? "none" : text.substring(0, MAX_CHARACTERS) + "...");
        }
        int third = text.lastIndexOf('.');
        int second = third <= 0 ? -1 : text.lastIndexOf('.', third - 1);
        int first = second <= 0 ? -1 : text.lastIndexOf('.', second - 1);
        if (first <= 0 || !isRandomPart(text, third + 1)) {
            return malformed(text);
        }
        try {
            RequestId id = new RequestId(
                    text.substring(0, first),
                    Long.parseLong(text.substring(first + 1, second)),
                    Long.parseLong(text.substring(second + 1, third)),
                    text.substring(third + 1));
            // Only the canonical form is accepted: with a leading zero, for example, the same id would have two texts.
            return id.incarnation >= 0 && id.format().equals(text) ? Result.ok(id) : malformed(text);
        } catch (NumberFormatException e) {
            return malformed(text);
        }
    }

    /** Returns the text of this id, which {@link #parse} accepts. */
    public String format() {
        return guardId + "." + incarnation + "." + mintTickMs + "." + random;
    }

    /**
     * Returns whether the id was minted for one idempotent call. Such ids are minted at the full call rate, so the
     * guard keeps them for only 20 seconds instead of 30 minutes.
     */
    public boolean isShortLived() {
        return random.charAt(0) == SHORT_LIVED_PREFIX;
    }

    private static String toHex(long value) {
        return Long.toHexString(value);
    }

    private static boolean isRandomPart(String text, int from) {
        int length = text.length() - from;
        if (length < 1 || length > MAX_HEX_CHARACTERS + 1) {
            return false;
        }
        for (int i = from; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean allowed =
                    c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_';
            if (!allowed) {
                return false;
            }
        }
        return true;
    }

    private static Result<RequestId> malformed(String text) {
        return Result.err(
                ErrorCode.BAD_REQUEST,
                "expected an id of the form guard.incarnation.tick.random, found '" + text + "'");
    }
}
