package org.fulmarreach.core.rules;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Parser of the rules file. Blank lines and lines with only a comment are skipped. The parser never throws an exception
 * for any input text; it reports all faults together. Stateless.
 */
public final class RulesParser {
    /** Maximum length of a line in bytes of UTF-8. */
    public static final int MAX_LINE_BYTES = 4 * 1024;

    /** Maximum number of lines of a text, including blank lines and comments. */
    public static final int MAX_LINES = 100_000;

    private RulesParser() {}

    /** Parses all lines of a file. */
    public static ParseResult parse(List<String> lines) {
        List<RuleFault> faults = new ArrayList<>();
        List<Rule> rules = new ArrayList<>();
        if (lines.size() > MAX_LINES) {
            faults.add(new RuleFault(
                    MAX_LINES + 1,
                    1,
                    "at most " + MAX_LINES + " lines",
                    lines.size() + " lines",
                    "Remove lines; this is the maximum for one deployment."));
            return new ParseResult.Faulty(faults);
        }
        Map<String, Rule> byKey = new HashMap<>();
        for (int i = 0; i < lines.size(); i++) {
            Rule rule = parseLine(i + 1, lines.get(i), faults);
            if (rule == null) {
                continue;
            }
            Rule earlier = byKey.putIfAbsent(rule.uniqueKey(), rule);
            if (earlier != null) {
                faults.add(createDuplicateFault(rule, "line " + earlier.line()));
            }
            rules.add(rule);
        }
        faults.sort(Comparator.comparingInt(RuleFault::line).thenComparingInt(RuleFault::column));
        return faults.isEmpty() ? new ParseResult.Parsed(new Rules(rules)) : new ParseResult.Faulty(faults);
    }

    /** Returns the canonical form of a line: white space is collapsed, nothing else is changed. */
    public static String toCanonical(String line) {
        return LineText.toCanonical(line);
    }

    /** Parses a duration such as {@code 7h30m} to milliseconds; empty if it is malformed or longer than ten years. */
    public static OptionalLong parseDurationMs(String text) {
        return Units.parseDurationMs(text);
    }

    /** Creates the fault for a rule whose key already exists; {@code where} is the location of the first one. */
    static RuleFault createDuplicateFault(Rule rule, String where) {
        return new RuleFault(
                rule.line(),
                1,
                "only one rule for \"" + rule.uniqueKey() + "\"",
                "a duplicate of the rule in " + where,
                "Remove one of the two, or give it another name.");
    }

    private static Rule parseLine(int number, String line, List<RuleFault> faults) {
        if (line.length() > MAX_LINE_BYTES || line.getBytes(StandardCharsets.UTF_8).length > MAX_LINE_BYTES) {
            faults.add(new RuleFault(
                    number, 1, "at most " + MAX_LINE_BYTES + " bytes", "a longer line", "Shorten the comment."));
            return null;
        }
        int column = findNonPrintable(line);
        if (column > 0) {
            String found = String.format("U+%04X", line.codePointAt(column - 1));
            String remedy = "Remove the character; it may have come from a word processor.";
            faults.add(new RuleFault(number, column, "printable characters", found, remedy));
            return null;
        }
        String canonical = LineText.toCanonical(line);
        if (canonical.isEmpty() || canonical.startsWith("#")) {
            return null;
        }
        LineParser parser = new LineParser(number, line);
        Rule rule = parser.parse();
        faults.addAll(parser.faults());
        return rule;
    }

    private static int findNonPrintable(String line) {
        for (int i = 0; i < line.length(); i += Character.charCount(line.codePointAt(i))) {
            if (!LineText.isPrintable(line.codePointAt(i))) {
                return i + 1;
            }
        }
        return 0;
    }
}
