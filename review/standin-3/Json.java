package review3;

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

  /** Parses an object; an empty text is an empty object. */
  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return text.isBlank() ? Map.of() : (Map<String, Object>) new Json(text).value();
  }

  /** Returns a map with the given names and values, in this order. */
  static Map<String, Object> of(Object... namesAndValues) {
    Map<String, Object> m = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      m.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return m;
  }

  static long number(Map<String, Object> m, String name) {
    return m.get(name) instanceof Number n ? n.longValue() : 0;
  }

  static String string(Map<String, Object> m, String name) {
    return m.get(name) instanceof String s ? s : "";
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Map<String, Object> m, String name) {
    return m.get(name) instanceof List<?> l ? (List<Object>) l : List.of();
  }

  static String write(Object o) {
    StringBuilder b = new StringBuilder();
    write(o, b);
    return b.toString();
  }

  private static void write(Object o, StringBuilder b) {
    if (o instanceof Map<?, ?> m) {
      String separator = "{";
      for (Map.Entry<?, ?> e : m.entrySet()) {
        b.append(separator);
        write(e.getKey(), b);
        b.append(':');
        write(e.getValue(), b);
        separator = ",";
      }
      b.append(m.isEmpty() ? "{}" : "}");
    } else if (o instanceof List<?> l) {
      String separator = "[";
      for (Object e : l) {
        b.append(separator);
        write(e, b);
        separator = ",";
      }
      b.append(l.isEmpty() ? "[]" : "]");
    } else if (o instanceof String s) {
      b.append('"').append(s.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
    } else {
      b.append(o);
    }
  }

  private Object value() {
    skipSpace();
    char c = text.charAt(at);
    if (c == '{') {
      return readObject();
    } else if (c == '[') {
      return readList();
    } else if (c == '"') {
      return readString();
    }
    int from = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(from, at);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default -> word.contains(".") ? (Object) Double.valueOf(word) : Long.valueOf(word);
    };
  }

  private Map<String, Object> readObject() {
    Map<String, Object> m = new LinkedHashMap<>();
    at++;
    skipSpace();
    while (text.charAt(at) != '}') {
      skipSpace();
      String name = readString();
      skipSpace();
      at++;
      m.put(name, value());
      skipSpace();
      at += text.charAt(at) == ',' ? 1 : 0;
      skipSpace();
    }
    at++;
    return m;
  }

  private List<Object> readList() {
    List<Object> l = new ArrayList<>();
    at++;
    skipSpace();
    while (text.charAt(at) != ']') {
      l.add(value());
      skipSpace();
      at += text.charAt(at) == ',' ? 1 : 0;
      skipSpace();
    }
    at++;
    return l;
  }

  private String readString() {
    StringBuilder b = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c == '\\') {
        c = text.charAt(at++);
        if (c == 'u') {
          c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
          at += 4;
        } else {
          c = c == 'n' ? '\n' : c == 't' ? '\t' : c == 'r' ? '\r' : c;
        }
      }
      b.append(c);
    }
    at++;
    return b.toString();
  }

  private void skipSpace() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }
}
