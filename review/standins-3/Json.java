import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, doubles, booleans and nulls, and quotes strings. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isBlank() ? Map.of() : (Map<String, Object>) new Json(text).value();
    }

    static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    static long number(Map<String, Object> object, String name, long otherwise) {
        return object.get(name) instanceof Double number ? number.longValue() : otherwise;
    }

    private Object value() {
        skipSpace();
        char first = text.charAt(at);
        if (first == '{') return readObject();
        if (first == '[') return readList();
        if (first == '"') return readString();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private Map<String, Object> readObject() {
        Map<String, Object> result = new LinkedHashMap<>();
        at++;
        while (next('}')) {
            String name = readString();
            skipSpace();
            at++;
            result.put(name, value());
        }
        return result;
    }

    private List<Object> readList() {
        List<Object> result = new ArrayList<>();
        at++;
        while (next(']')) result.add(value());
        return result;
    }

    /** Skips a comma. Returns false, after [end], if there is no further element. */
    private boolean next(char end) {
        skipSpace();
        if (text.charAt(at) == ',') {
            at++;
            skipSpace();
        }
        if (text.charAt(at) != end) return true;
        at++;
        return false;
    }

    private String readString() {
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                char escaped = text.charAt(at++);
                switch (escaped) {
                    case 'n' -> result.append('\n');
                    case 't' -> result.append('\t');
                    case 'r' -> result.append('\r');
                    case 'u' -> {
                        result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                    }
                    default -> result.append(escaped);
                }
            } else {
                result.append(c);
            }
        }
        at++;
        return result.toString();
    }

    private void skipSpace() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }
}
