import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader and writer of JSON. Objects are maps, arrays are lists, numbers are doubles. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.space();
    if (json.at != text.length()) {
      throw new IllegalArgumentException("text after the value");
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(Object value) {
    return (Map<String, Object>) value;
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Object value) {
    return value == null ? List.of() : (List<Object>) value;
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(out, value);
    return out.toString();
  }

  private static void write(StringBuilder out, Object value) {
    switch (value) {
      case null -> out.append("null");
      case Map<?, ?> map -> {
        String separator = "{";
        for (Map.Entry<?, ?> entry : map.entrySet()) {
          out.append(separator);
          quote(out, entry.getKey().toString());
          out.append(':');
          write(out, entry.getValue());
          separator = ",";
        }
        out.append(map.isEmpty() ? "{}" : "}");
      }
      case List<?> list -> {
        String separator = "[";
        for (Object entry : list) {
          out.append(separator);
          write(out, entry);
          separator = ",";
        }
        out.append(list.isEmpty() ? "[]" : "]");
      }
      case Number number -> out.append(number);
      case Boolean flag -> out.append(flag);
      default -> quote(out, value.toString());
    }
  }

  private static void quote(StringBuilder out, String text) {
    out.append('"');
    for (char c : text.toCharArray()) {
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

  private void space() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private boolean take(char c) {
    space();
    if (at < text.length() && text.charAt(at) == c) {
      at++;
      return true;
    }
    return false;
  }

  private void expect(char c) {
    if (!take(c)) {
      throw new IllegalArgumentException("expected " + c + " at " + at);
    }
  }

  private Object value() {
    space();
    if (take('{')) {
      Map<String, Object> map = new LinkedHashMap<>();
      while (!take('}')) {
        space();
        String key = string();
        expect(':');
        map.put(key, value());
        take(',');
      }
      return map;
    }
    if (take('[')) {
      List<Object> list = new ArrayList<>();
      while (!take(']')) {
        list.add(value());
        take(',');
      }
      return list;
    }
    if (text.charAt(at) == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> Double.valueOf(word);
    };
  }

  private String string() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 'r' -> out.append('\r');
        case 't' -> out.append('\t');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(escaped);
      }
    }
    at++;
    return out.toString();
  }
}
