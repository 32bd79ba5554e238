import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers and booleans. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object read(String text) {
    return new Json(text).value();
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
    append(out, value);
    return out.toString();
  }

  private static void append(StringBuilder out, Object value) {
    switch (value) {
      case null -> out.append("null");
      case String string -> appendString(out, string);
      case Map<?, ?> map -> {
        out.append('{');
        String separator = "";
        for (Map.Entry<?, ?> entry : map.entrySet()) {
          out.append(separator);
          appendString(out, String.valueOf(entry.getKey()));
          out.append(':');
          append(out, entry.getValue());
          separator = ",";
        }
        out.append('}');
      }
      case List<?> list -> {
        out.append('[');
        String separator = "";
        for (Object entry : list) {
          out.append(separator);
          append(out, entry);
          separator = ",";
        }
        out.append(']');
      }
      default -> out.append(value);
    }
  }

  private static void appendString(StringBuilder out, String string) {
    out.append('"');
    for (int i = 0; i < string.length(); i++) {
      char character = string.charAt(i);
      if (character == '"' || character == '\\') {
        out.append('\\').append(character);
      } else if (character < ' ') {
        out.append(String.format("\\u%04x", (int) character));
      } else {
        out.append(character);
      }
    }
    out.append('"');
  }

  private Object value() {
    skipBlanks();
    char first = text.charAt(at);
    switch (first) {
      case '{' -> {
        return readObject();
      }
      case '[' -> {
        return readList();
      }
      case '"' -> {
        return readString();
      }
      default -> {
        return readWord();
      }
    }
  }

  private Map<String, Object> readObject() {
    Map<String, Object> map = new LinkedHashMap<>();
    at++;
    skipBlanks();
    while (text.charAt(at) != '}') {
      skipBlanks();
      String key = readString();
      skipBlanks();
      at++;
      map.put(key, value());
      skipBlanks();
      if (text.charAt(at) == ',') {
        at++;
        skipBlanks();
      }
    }
    at++;
    return map;
  }

  private List<Object> readList() {
    List<Object> list = new ArrayList<>();
    at++;
    skipBlanks();
    while (text.charAt(at) != ']') {
      list.add(value());
      skipBlanks();
      if (text.charAt(at) == ',') {
        at++;
      }
      skipBlanks();
    }
    at++;
    return list;
  }

  private String readString() {
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char character = text.charAt(at++);
      if (character != '\\') {
        out.append(character);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
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

  private Object readWord() {
    int start = at;
    while (at < text.length() && ",}] \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    };
  }

  private void skipBlanks() {
    while (at < text.length() && text.charAt(at) <= ' ') {
      at++;
    }
  }
}
