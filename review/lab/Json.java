package review.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: maps, lists, strings, longs, doubles, booleans and null. */
public final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    /** Parses a value. */
    public static Object parse(String text) {
        return new Json(text).value();
    }

    /** Parses an object. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** Writes a value. */
    public static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    /** Returns an object with the given keys and values. */
    public static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    private static void write(Object value, StringBuilder out) {
        switch (value) {
            case null -> out.append("null");
            case Map<?, ?> map -> {
                out.append('{');
                String separator = "";
                for (Map.Entry<?, ?> each : map.entrySet()) {
                    out.append(separator);
                    write(each.getKey(), out);
                    out.append(':');
                    write(each.getValue(), out);
                    separator = ",";
                }
                out.append('}');
            }
            case List<?> list -> {
                out.append('[');
                String separator = "";
                for (Object each : list) {
                    out.append(separator);
                    write(each, out);
                    separator = ",";
                }
                out.append(']');
            }
            case String string -> {
                out.append('"');
                for (char c : string.toCharArray()) {
                    if (c == '"' || c == '\\') {
                        out.append('\\').append(c);
                    } else if (c < ' ') {
                        out.append(String.format("\\u%04x", (int) c));
                    } else {
                        out.append(c);
                    }
                }
                out.append('"');
            }
            default -> out.append(value);
        }
    }

    private Object value() {
        skip();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            for (skip(); text.charAt(at) != '}'; skip()) {
                String key = (String) value();
                skip();
                at++;
                map.put(key, value());
                skip();
                if (text.charAt(at) == ',') {
                    at++;
                }
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            for (skip(); text.charAt(at) != ']'; skip()) {
                list.add(value());
                skip();
                if (text.charAt(at) == ',') {
                    at++;
                }
            }
            at++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int from = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(from, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> {
                if (word.matches("-?\\d+")) {
                    yield Long.parseLong(word);
                }
                yield Double.parseDouble(word);
            }
        };
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            at++;
            switch (text.charAt(at)) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                    at += 4;
                }
                default -> out.append(text.charAt(at));
            }
        }
        at++;
        return out.toString();
    }

    private void skip() {
        while (at < text.length() && text.charAt(at) <= ' ') {
            at++;
        }
    }
}
