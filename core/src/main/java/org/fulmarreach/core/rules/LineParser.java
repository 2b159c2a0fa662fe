package org.fulmarreach.core.rules;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

import org.fulmarreach.core.model.Member;
import org.fulmarreach.core.model.Resources;

/** Parses one line into a rule and collects its faults. An instance parses one line only. */
final class LineParser {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final Pattern SEGMENT = Pattern.compile("(?!\\.\\.?$)[A-Za-z0-9._~-]+");
    private static final Pattern TASK = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:,=/+-]{0,255}");
    private static final String TASK_FORM = "1 to 256 letters, digits and ._:,=/+-, starting with a letter or digit";
    private static final String NAME_FORM = "a name of 1 to 63 characters a-z, 0-9 and -, not starting with -";
    private static final long DEFAULT_DEADLINE_MS = 2_000;
    private static final long MIN_EVERY_MS = 1_000;

    private static final Map<String, Set<String>> REQUIRED = Map.of(
            "urgent", Set.of("idempotent"),
            "batch", Set.of("region", "every", "at", "within", "runtime", "cores", "memory"),
            "standing", Set.of("region", "cores", "memory"),
            "quota", Set.of("cores", "memory", "tasks"),
            "budget", Set.of("amount", "every"));
    private static final Map<String, Set<String>> OPTIONAL = Map.of(
            "urgent", Set.of("deadline", "cost"),
            "batch", Set.of("cost", "task"),
            "standing", Set.of("task"),
            "quota", Set.of(),
            "budget", Set.of());

    private final int line;
    private final LineText text;
    private final String canonical;
    private final List<RuleFault> faults = new ArrayList<>();
    private final Map<String, LineText.Word> values = new LinkedHashMap<>();
    private final Set<String> malformed = new HashSet<>();
    private String kind;
    private int endColumn;

    LineParser(int line, String raw) {
        this.line = line;
        text = LineText.split(raw);
        canonical = LineText.toCanonical(raw);
    }

    /** Returns the rule, or null if {@link #faults()} is not empty. */
    Rule parse() {
        Member member = readMember();
        List<LineText.Word> words = text.words();
        endColumn = text.commentColumn();
        if (words.isEmpty() || !REQUIRED.containsKey(words.get(0).text())) {
            addFault(
                    words.isEmpty() ? 1 : words.get(0).column(),
                    "one of urgent, batch, standing, quota, budget",
                    words.isEmpty() ? "nothing" : words.get(0).text(),
                    "Start the line with the kind of the rule.");
            return null;
        }
        kind = words.get(0).text();
        boolean hasName = !kind.equals("quota") && !kind.equals("budget");
        LineText.Word name = hasName ? readName(words) : null;
        readValues(words.subList(Math.min(words.size(), name != null ? 2 : 1), words.size()));
        Rule rule = constructRule(name, member);
        return faults.isEmpty() ? rule : null;
    }

    /** Returns the faults in the order in which they were found. */
    List<RuleFault> faults() {
        return faults;
    }

    private Rule constructRule(LineText.Word name, Member member) {
        return switch (kind) {
            case "urgent" -> constructUrgent(name, member);
            case "batch" -> constructBatch(checkWorkName(name), member);
            case "standing" ->
                new StandingRule(
                        checkWorkName(name),
                        readNameValue("region", ""),
                        readResources(),
                        readTask(name == null ? "" : name.text()),
                        member,
                        canonical,
                        line);
            case "quota" -> new QuotaRule(readResources(), readInteger("tasks", 0), member, canonical, line);
            default ->
                new BudgetRule(
                        readInteger("amount", 0), readDuration("every", MIN_EVERY_MS, 1), member, canonical, line);
        };
    }

    private UrgentRule constructUrgent(LineText.Word name, Member member) {
        String full = name == null ? "a/" : name.text();
        int slash = full.indexOf('/');
        String service = slash < 0 ? full : full.substring(0, slash);
        String path = slash < 0 ? "" : full.substring(slash + 1);
        if (slash < 0 || !NAME.matcher(service).matches() || !isPath(path)) {
            addFault(
                    name.column(),
                    "service/path, with the service as " + NAME_FORM + " and the path of letters, digits and ._~-",
                    full,
                    "Write the name as in bestellung/checkout.");
        }
        long deadlineMs = readDuration("deadline", 1, DEFAULT_DEADLINE_MS);
        LineText.Word idempotent = values.get("idempotent");
        if (idempotent != null && !Set.of("yes", "no").contains(idempotent.text())) {
            addFault(idempotent.column(), "yes or no", idempotent.text(), "Write idempotent=yes or idempotent=no.");
        }
        boolean isIdempotent = idempotent != null && idempotent.text().equals("yes");
        return new UrgentRule(service, path, deadlineMs, isIdempotent, readInteger("cost", 0), member, canonical, line);
    }

    private static boolean isPath(String path) {
        return path.isEmpty()
                || Arrays.stream(path.split("/", -1))
                        .allMatch(segment -> SEGMENT.matcher(segment).matches());
    }

    private BatchRule constructBatch(String name, Member member) {
        long everyMs = readDuration("every", MIN_EVERY_MS, MIN_EVERY_MS);
        long atMs = readDuration("at", 0, 0);
        long withinMs = readDuration("within", 1, 1);
        long runtimeMs = readDuration("runtime", 1, 1);
        checkBound("at", atMs < everyMs, "less than every", "every");
        checkBound("within", withinMs <= everyMs, "at most every", "every");
        checkBound("runtime", runtimeMs <= withinMs, "at most within", "within");
        return new BatchRule(
                name,
                readNameValue("region", ""),
                everyMs,
                atMs,
                withinMs,
                runtimeMs,
                readResources(),
                readInteger("cost", 0),
                readTask(name),
                member,
                canonical,
                line);
    }

    private void checkBound(String key, boolean holds, String expected, String other) {
        boolean comparable = values.containsKey(key) && values.containsKey(other);
        if (comparable && !holds && !malformed.contains(key) && !malformed.contains(other)) {
            LineText.Word word = values.get(key);
            addFault(word.column(), expected, word.text(), "Shorten " + key + " or lengthen " + other + ".");
        }
    }

    private Member readMember() {
        String comment = text.comment();
        int colon = comment == null ? -1 : comment.indexOf(':');
        String name = colon < 0 ? "" : comment.substring(0, colon);
        if (!NAME.matcher(name).matches()) {
            addFault(
                    text.commentColumn(),
                    "a comment that begins with the member's name and a colon",
                    comment == null ? "no comment" : "# " + comment,
                    "End the line with a comment such as \"# kreidekiste: Lena\".");
        }
        return new Member(name);
    }

    private LineText.Word readName(List<LineText.Word> words) {
        if (words.size() < 2 || words.get(1).text().indexOf('=') >= 0) {
            addFault(
                    words.size() < 2 ? endColumn : words.get(1).column(),
                    "the name of the rule",
                    words.size() < 2 ? "the end of the rule" : words.get(1).text(),
                    "Write the name after " + kind + ".");
            return null;
        }
        return words.get(1);
    }

    private String checkWorkName(LineText.Word name) {
        if (name != null && !NAME.matcher(name.text()).matches()) {
            addFault(name.column(), NAME_FORM, name.text(), "Rename the rule.");
        }
        return name == null ? "" : name.text();
    }

    private void readValues(List<LineText.Word> words) {
        Set<String> required = REQUIRED.get(kind);
        Set<String> optional = OPTIONAL.get(kind);
        for (LineText.Word word : words) {
            int equals = word.text().indexOf('=');
            String key = equals < 0 ? word.text() : word.text().substring(0, equals);
            if (equals < 0) {
                addFault(word.column(), "key=value", word.text(), "Write key=value without spaces.");
            } else if (!required.contains(key) && !optional.contains(key)) {
                String known = String.join(", ", sorted(required, optional));
                addFault(word.column(), "one of the keys " + known, key, "Correct or remove the key.");
            } else if (values.containsKey(key)) {
                addFault(word.column(), "each key once", key + " again", "Remove one of the two.");
            } else {
                String value = word.text().substring(equals + 1);
                values.put(key, new LineText.Word(value, word.column() + equals + 1));
            }
        }
        for (String key : sorted(required, Set.of())) {
            if (!values.containsKey(key)) {
                addFault(endColumn, "the key " + key, "no " + key, "Add " + key + "= to the rule.");
            }
        }
    }

    private Resources readResources() {
        String form = "a number of cores with at most three decimals, at most 1000000";
        long milliCores = read("cores", 0, Units::parseMilliCores, form, "Write it as in cores=8 or cores=0.5.");
        String memoryForm = "memory in M or G, at most 1024 PiB";
        long memoryMb =
                read("memory", 0, Units::parseMemoryMb, memoryForm, "Write it as in memory=16G or memory=512M.");
        return new Resources((int) milliCores, memoryMb, 0);
    }

    private long readInteger(String key, long fallback) {
        return read(
                key,
                fallback,
                value -> Units.parseInteger(value, Units.MAX_AMOUNT),
                "a whole number from 0 to " + Units.MAX_AMOUNT,
                "Write digits only.");
    }

    private long readDuration(String key, long minMs, long fallback) {
        long valueMs = read(
                key,
                fallback,
                Units::parseDurationMs,
                "a duration in d, h, m, s or ms, the larger units first, at most 3660d",
                "Write it as in " + key + "=2s or " + key + "=7h30m.");
        LineText.Word word = values.get(key);
        if (word != null && valueMs < minMs && !malformed.contains(key)) {
            addFault(word.column(), "at least " + minMs + "ms", word.text(), "Write a longer duration.");
        }
        return valueMs;
    }

    private String readTask(String fallback) {
        LineText.Word word = values.get("task");
        if (word == null) {
            return fallback;
        }
        if (!TASK.matcher(word.text()).matches()) {
            addFault(word.column(), TASK_FORM, word.text(), "Correct the value of task.");
        }
        return word.text();
    }

    private String readNameValue(String key, String fallback) {
        LineText.Word word = values.get(key);
        if (word == null) {
            return fallback;
        }
        if (!NAME.matcher(word.text()).matches()) {
            addFault(word.column(), NAME_FORM, word.text(), "Correct the value of " + key + ".");
        }
        return word.text();
    }

    private long read(
            String key, long fallback, Function<String, OptionalLong> parser, String expected, String remedy) {
        LineText.Word word = values.get(key);
        if (word == null) {
            return fallback;
        }
        OptionalLong value = parser.apply(word.text());
        if (value.isEmpty()) {
            malformed.add(key);
            addFault(word.column(), expected, word.text().isEmpty() ? "nothing" : word.text(), remedy);
        }
        return value.orElse(fallback);
    }

    private void addFault(int column, String expected, String found, String remedy) {
        faults.add(new RuleFault(line, column, expected, found, remedy));
    }

    private static List<String> sorted(Set<String> first, Set<String> second) {
        List<String> out = new ArrayList<>(first);
        out.addAll(second);
        out.sort(null);
        return out;
    }
}
