package dev.dandelionport.core.common;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Parses a JSON document strictly and collects its problems. Not thread-safe. */
public final class JsonProblems {

  /** Bounds the memory used for a document with many problems. */
  private static final int MAX_PROBLEMS = 1_000;

  private static final int MAX_DEPTH = 32;

  private static final ObjectMapper MAPPER = mapper();

  private final List<JsonProblem> problems = new ArrayList<>();

  /**
   * Parses an object; malformed JSON, trailing text and repeated names are reported as problems.
   */
  public Optional<JsonFields> parse(byte[] json) {
    try {
      JsonNode n = MAPPER.readTree(json);
      if (n != null && n.isObject()) {
        return Optional.of(new JsonFields(n, "$", this));
      }
      add("$", "must be a JSON object");
    } catch (JsonProcessingException e) {
      String location =
          e.getLocation() == null
              ? ""
              : " at line "
                  + e.getLocation().getLineNr()
                  + ", column "
                  + e.getLocation().getColumnNr();
      add("$", "is not valid JSON" + location + ": " + firstLine(e.getOriginalMessage()));
    } catch (IOException e) {
      add("$", "is not valid JSON: " + firstLine(e.getMessage()));
    }
    return Optional.empty();
  }

  /** Adds a problem, up to the maximum number. */
  public void add(String path, String message) {
    if (problems.size() < MAX_PROBLEMS) {
      problems.add(new JsonProblem(path, message));
    } else if (problems.size() == MAX_PROBLEMS) {
      problems.add(new JsonProblem("$", "has more problems, which are not listed"));
    }
  }

  /** Returns the problems reported so far. */
  public List<JsonProblem> list() {
    return List.copyOf(problems);
  }

  private static String firstLine(String message) {
    String m = message == null ? "" : message;
    if (m.startsWith("Trailing token")) {
      return "there is text after the end of the object";
    }
    int end = m.indexOf('\n');
    return end < 0 ? m : m.substring(0, end);
  }

  private static ObjectMapper mapper() {
    ObjectMapper m =
        JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .build();
    m.getFactory()
        .setStreamReadConstraints(
            StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build());
    return m;
  }
}
