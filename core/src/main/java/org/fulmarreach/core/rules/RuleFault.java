package org.fulmarreach.core.rules;

/**
 * One fault in a rules text. Immutable.
 *
 * @param line number of the line, from 1
 * @param column column of the fault in characters, from 1
 * @param expected what the parser expected there
 * @param found what it found, truncated, with non-printable characters replaced
 * @param remedy what to change
 */
public record RuleFault(int line, int column, String expected, String found, String remedy) {
    private static final int MAX_FOUND_CHARS = 60;

    /** Constructs a fault; {@code found} is truncated and sanitized for output on a terminal. */
    public RuleFault {
        found = toPrintable(found);
    }

    /** Returns the fault as one line of text. */
    public String toText() {
        return "line " + line + ", column " + column + ": expected " + expected + ", found " + found + ". Remedy: "
                + remedy;
    }

    private static String toPrintable(String text) {
        StringBuilder out = new StringBuilder();
        text.codePoints()
                .limit(MAX_FOUND_CHARS)
                .forEach(c -> out.appendCodePoint(LineText.isPrintable(c) && c != '\t' ? c : '?'));
        if (text.codePointCount(0, text.length()) > MAX_FOUND_CHARS) {
            out.append("...");
        }
        return out.toString();
    }
}
