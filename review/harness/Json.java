import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A minimal JSON reader for the stand-ins: objects become maps, arrays lists, numbers Double. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.position != text.length()) throw new IllegalArgumentException("trailing text at " + json.position);
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static String quote(String text) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        return out.append('"').toString();
    }

    private void space() {
        while (position < text.length() && Character.isWhitespace(text.charAt(position))) position++;
    }

    private char next() {
        space();
        if (position >= text.length()) throw new IllegalArgumentException("the text ends early");
        return text.charAt(position);
    }

    private void expect(char c) {
        if (next() != c) throw new IllegalArgumentException(c + " expected at " + position);
        position++;
    }

    private Object value() {
        char c = next();
        if (c == '{') return objectValue();
        if (c == '[') return arrayValue();
        if (c == '"') return stringValue();
        int start = position;
        while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) position++;
        String word = text.substring(start, position);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> fields = new LinkedHashMap<>();
        expect('{');
        if (next() == '}') {
            position++;
            return fields;
        }
        while (true) {
            next();
            String name = stringValue();
            expect(':');
            fields.put(name, value());
            if (next() == '}') break;
            expect(',');
        }
        position++;
        return fields;
    }

    private List<Object> arrayValue() {
        List<Object> items = new ArrayList<>();
        expect('[');
        if (next() == ']') {
            position++;
            return items;
        }
        while (true) {
            items.add(value());
            if (next() == ']') break;
            expect(',');
        }
        position++;
        return items;
    }

    private String stringValue() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (true) {
            char c = text.charAt(position++);
            if (c == '"') return out.toString();
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(position++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                    position += 4;
                }
                default -> out.append(escaped);
            }
        }
    }
}
