import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, longs, doubles and booleans. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> parse(byte[] bytes) {
        return (Map<String, Object>) new Json(new String(bytes, java.nio.charset.StandardCharsets.UTF_8)).value();
    }

    private Object value() {
        skip();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            for (skip(); text.charAt(at) != '}'; skip()) {
                String name = (String) value();
                skip();
                at++;
                map.put(name, value());
                skip();
                at += text.charAt(at) == ',' ? 1 : 0;
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
                at += text.charAt(at) == ',' ? 1 : 0;
            }
            at++;
            return list;
        }
        return c == '"' ? string() : word();
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            c = text.charAt(++at);
            switch (c) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                    at += 4;
                }
                default -> out.append(c);
            }
        }
        at++;
        return out.toString();
    }

    private Object word() {
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> {
                if (word.matches("-?[0-9]{1,18}")) {
                    yield Long.parseLong(word);
                }
                yield Double.parseDouble(word);
            }
        };
    }

    private void skip() {
        while (at < text.length() && text.charAt(at) <= ' ') {
            at++;
        }
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> each : map.entrySet()) {
                out.append(comma);
                write(each.getKey(), out);
                out.append(':');
                write(each.getValue(), out);
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String comma = "";
            for (Object each : list) {
                out.append(comma);
                write(each, out);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
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
        } else {
            out.append(value);
        }
    }

    static long number(Map<String, Object> map, String name, long other) {
        return map.get(name) instanceof Number number ? number.longValue() : other;
    }
}
