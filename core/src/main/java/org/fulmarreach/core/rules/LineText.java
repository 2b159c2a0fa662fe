package org.fulmarreach.core.rules;

import java.util.ArrayList;
import java.util.List;

/** The words of one line with their columns, and its comment. */
final class LineText {
    /**
     * A word of the line.
     *
     * @param text text of the word
     * @param column column of its first character, from 1
     */
    record Word(String text, int column) {}

    private final List<Word> words;
    private final String comment;
    private final int commentColumn;

    private LineText(List<Word> words, String comment, int commentColumn) {
        this.words = words;
        this.comment = comment;
        this.commentColumn = commentColumn;
    }

    /** Splits a line at white space; the first {@code #} starts the comment. */
    static LineText split(String line) {
        int hash = line.indexOf('#');
        String body = hash < 0 ? line : line.substring(0, hash);
        List<Word> words = new ArrayList<>();
        int start = -1;
        for (int i = 0; i <= body.length(); i++) {
            boolean inWord = i < body.length() && !isSpace(body.charAt(i));
            if (inWord && start < 0) {
                start = i;
            } else if (!inWord && start >= 0) {
                words.add(new Word(body.substring(start, i), start + 1));
                start = -1;
            }
        }
        String comment = hash < 0 ? null : collapse(line.substring(hash + 1));
        return new LineText(words, comment, hash < 0 ? line.length() + 1 : hash + 1);
    }

    /**
     * Returns the line with each run of white space replaced by one space, without leading and trailing white space.
     */
    static String toCanonical(String line) {
        LineText split = split(line);
        StringBuilder out = new StringBuilder();
        for (Word word : split.words) {
            out.append(out.isEmpty() ? "" : " ").append(word.text());
        }
        if (split.comment != null) {
            out.append(out.isEmpty() ? "#" : " #");
            out.append(split.comment.isEmpty() ? "" : " ").append(split.comment);
        }
        return out.toString();
    }

    /** Returns whether a character is allowed in a rules file: a visible character, a space or a tab. */
    static boolean isPrintable(int codePoint) {
        return switch (Character.getType(codePoint)) {
            case Character.CONTROL -> codePoint == '\t';
            case Character.FORMAT,
                    Character.SURROGATE,
                    Character.PRIVATE_USE,
                    Character.UNASSIGNED,
                    Character.LINE_SEPARATOR,
                    Character.PARAGRAPH_SEPARATOR -> false;
            default -> true;
        };
    }

    List<Word> words() {
        return words;
    }

    /** Returns the comment without {@code #}, or null if the line has none. */
    String comment() {
        return comment;
    }

    int commentColumn() {
        return commentColumn;
    }

    private static boolean isSpace(char c) {
        return c == ' ' || c == '\t';
    }

    private static String collapse(String text) {
        StringBuilder out = new StringBuilder();
        boolean gap = false;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (isSpace(c)) {
                gap = true;
                continue;
            }
            if (gap && !out.isEmpty()) {
                out.append(' ');
            }
            out.append(c);
            gap = false;
        }
        return out.toString();
    }
}
