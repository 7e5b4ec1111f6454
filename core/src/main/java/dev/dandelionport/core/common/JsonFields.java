package dev.dandelionport.core.common;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Reads the fields of one JSON object and reports each problem with its JSON path instead of
 * failing at the first one. For an invalid field a getter returns its fallback, or a valid
 * placeholder if it has none.
 */
public final class JsonFields {

  private static final int MAX_TEXT_CHARS = 256;

  private final JsonNode node;
  private final String path;
  private final JsonProblems problems;
  private final TreeSet<String> knownNames = new TreeSet<>();

  JsonFields(JsonNode node, String path, JsonProblems problems) {
    this.node = node;
    this.path = path;
    this.problems = problems;
  }

  /** Returns the JSON path of a field. */
  public String path(String name) {
    return path + "." + name;
  }

  /** Returns whether the field is present and not null. */
  public boolean has(String name) {
    return node.hasNonNull(name);
  }

  /** Reports a problem of a field. */
  public void addProblem(String name, String message) {
    problems.add(path(name), message);
  }

  /**
   * Returns a required text that {@code valid} accepts; {@code allowed} describes the accepted
   * texts in problem messages.
   */
  public String text(String name, Predicate<String> valid, String allowed) {
    return text(name, null, valid, allowed);
  }

  /** Returns a text that {@code valid} accepts, or {@code fallback} if the field is absent. */
  public String text(String name, String fallback, Predicate<String> valid, String allowed) {
    JsonNode n = readNode(name);
    if (n == null) {
      return absent(name, fallback, "must be " + allowed, "");
    }
    if (!n.isTextual() || !valid.test(n.textValue())) {
      addProblem(name, "must be " + allowed + describeActual(n));
      return fallback == null ? "" : fallback;
    }
    return n.textValue();
  }

  /** Returns a text like {@link #text}, but keeps its value out of problem messages. */
  public String secret(String name, String fallback, Predicate<String> valid, String allowed) {
    JsonNode n = readNode(name);
    if (n == null) {
      return absent(name, fallback, "must be " + allowed, "");
    }
    if (!n.isTextual() || !valid.test(n.textValue())) {
      addProblem(name, "must be " + allowed);
      return fallback == null ? "" : fallback;
    }
    return n.textValue();
  }

  /** Returns a required whole number from {@code min} to {@code max}. */
  public long number(String name, long min, long max) {
    return number(name, null, min, max);
  }

  /** Returns a whole number, or {@code fallback} if the field is absent. */
  public long number(String name, Long fallback, long min, long max) {
    JsonNode n = readNode(name);
    String rule = "must be a whole number from " + min + " to " + max;
    if (n == null) {
      return absent(name, fallback, rule, min);
    }
    boolean isWholeNumber = n.isIntegralNumber() && n.canConvertToLong();
    if (!isWholeNumber || n.longValue() < min || n.longValue() > max) {
      addProblem(name, rule + describeActual(n));
      return fallback == null ? min : fallback;
    }
    return n.longValue();
  }

  /** Returns a required number greater than 0 and at most {@code max}. */
  public double positiveNumber(String name, double max) {
    JsonNode n = readNode(name);
    String rule = String.format(Locale.ROOT, "must be a number greater than 0, at most %.0f", max);
    if (n == null) {
      return absent(name, null, rule, 1.0);
    }
    if (!n.isNumber() || !(n.doubleValue() > 0) || n.doubleValue() > max) {
      addProblem(name, rule + describeActual(n));
      return 1.0;
    }
    return n.doubleValue();
  }

  /**
   * Returns a boolean, or {@code fallback} if the field is absent; the field is required if {@code
   * fallback} is null.
   */
  public boolean bool(String name, Boolean fallback) {
    JsonNode n = readNode(name);
    if (n == null) {
      return absent(name, fallback, "must be true or false", false);
    }
    if (!n.isBoolean()) {
      addProblem(name, "must be true or false" + describeActual(n));
      return fallback != null && fallback;
    }
    return n.booleanValue();
  }

  /** Returns the constant with this lower-case name, or {@code fallback} if the field is absent. */
  public <E extends Enum<E>> E choice(String name, E fallback, E[] values) {
    JsonNode n = readNode(name);
    List<String> names = Stream.of(values).map(v -> v.name().toLowerCase(Locale.ROOT)).toList();
    String rule = "must be one of " + String.join(", ", names);
    if (n == null) {
      return fallback != null ? fallback : absent(name, null, rule, values[0]);
    }
    int i = n.isTextual() ? names.indexOf(n.textValue()) : -1;
    if (i < 0) {
      addProblem(name, rule + describeActual(n));
      return fallback != null ? fallback : values[0];
    }
    return values[i];
  }

  /** Returns the fields of an object; a missing object is treated as empty. */
  public JsonFields object(String name) {
    JsonNode n = readNode(name);
    if (n != null && !n.isObject()) {
      addProblem(name, "must be an object" + describeActual(n));
    }
    JsonNode object = n != null && n.isObject() ? n : JsonNodeFactory.instance.objectNode();
    return new JsonFields(object, path(name), problems);
  }

  /** Returns the objects of an array with {@code min} to {@code max} elements. */
  public List<JsonFields> objects(String name, int min, int max) {
    JsonNode n = readNode(name);
    String rule = "must be an array of " + min + " to " + max + " objects";
    if (n == null && min == 0) {
      return List.of();
    }
    if (n == null || !n.isArray() || n.size() < min || n.size() > max) {
      addProblem(name, rule + (n == null ? "; it is missing" : describeActual(n)));
      return List.of();
    }
    List<JsonFields> list = new ArrayList<>();
    for (int i = 0; i < n.size(); i++) {
      String p = path(name) + "[" + i + "]";
      if (n.get(i).isObject()) {
        list.add(new JsonFields(n.get(i), p, problems));
      } else {
        problems.add(p, "must be an object" + describeActual(n.get(i)));
      }
    }
    return list;
  }

  /** Returns a required array of {@code count} whole numbers from {@code min} to {@code max}. */
  public List<Long> numbers(String name, int count, long min, long max) {
    JsonNode n = readNode(name);
    String rule = "must be " + count + " whole numbers from " + min + " to " + max;
    List<Long> list = new ArrayList<>();
    if (n == null) {
      return absent(name, null, rule, list);
    }
    boolean valid = n.isArray() && n.size() == count;
    for (int i = 0; valid && i < count; i++) {
      JsonNode x = n.get(i);
      valid = x.isIntegralNumber() && x.asLong() >= min && x.asLong() <= max;
      list.add(x.asLong());
    }
    if (!valid) {
      addProblem(name, rule + describeActual(n));
      return List.of();
    }
    return list;
  }

  /** Marks a field as known without reading it. */
  public void ignore(String name) {
    knownNames.add(name);
  }

  /**
   * Reports a problem for each field that was neither read nor ignored. Must be called after all
   * reads.
   */
  public void rejectUnknownFields() {
    for (Map.Entry<String, JsonNode> e : node.properties()) {
      String name = e.getKey();
      if (!knownNames.contains(name)) {
        String shortName = name.length() > 64 ? name.substring(0, 64) + "..." : name;
        addProblem(shortName, "is not a known field; allowed: " + String.join(", ", knownNames));
      }
    }
  }

  private JsonNode readNode(String name) {
    knownNames.add(name);
    JsonNode n = node.get(name);
    return n == null || n.isNull() ? null : n;
  }

  private <T> T absent(String name, T fallback, String rule, T placeholder) {
    if (fallback != null) {
      return fallback;
    }
    addProblem(name, rule + "; it is missing");
    return placeholder;
  }

  private static String describeActual(JsonNode n) {
    String s = n.isContainerNode() ? n.isArray() ? "an array" : "an object" : n.toString();
    if (n.isArray()) {
      s += " with " + n.size() + " elements";
    }
    return "; found " + (s.length() > MAX_TEXT_CHARS ? s.substring(0, MAX_TEXT_CHARS) + "..." : s);
  }
}
