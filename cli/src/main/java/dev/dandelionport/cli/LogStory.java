package dev.dandelionport.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.dandelionport.node.process.LogEvent;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Collects from the logs of several processes what they say about one request, and what changed for
 * all requests meanwhile, in the order of time. The clocks of the processes may differ a little.
 */
final class LogStory {

  /**
   * Events that concern every request: owners, configuration, closed failure domains, the store,
   * starts and stops.
   */
  private static final Set<String> SHARED =
      Stream.of(
              LogEvent.INSTANCE_STARTING,
              LogEvent.INSTANCE_STOPPING,
              LogEvent.WORKFLOWS_REBUILT,
              LogEvent.WORKFLOWS_SERVED,
              LogEvent.WORKFLOWS_LOST,
              LogEvent.POLICY_IN_FORCE,
              LogEvent.DOMAINS_CLOSED,
              LogEvent.STORE_OUTAGE_BEGAN,
              LogEvent.STORE_OUTAGE_ENDED)
          .map(LogEvent::number)
          .collect(Collectors.toUnmodifiableSet());

  private static final Set<String> UNSHOWN = Set.of("time", "level", "logger", "message", "event");

  /** One line of a log; {@code own} says that it names the request. */
  private record Line(Instant time, String source, JsonNode fields, boolean own) {}

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Pattern id;
  private final List<Line> lines = new ArrayList<>();

  /** Creates an empty story of the request with an id. */
  LogStory(String id) {
    // Tasks and paths contain the id between other characters than letters and digits.
    this.id = Pattern.compile("(?<![A-Za-z0-9])" + Pattern.quote(id) + "(?![A-Za-z0-9])");
  }

  /**
   * Takes a line of a log. Whatever stands before the JSON object, such as the name of the process
   * that a collector puts there, replaces {@code source}; lines without an event are passed over.
   */
  void add(String source, String text) {
    int brace = text.indexOf('{');
    if (brace < 0) {
      return;
    }
    boolean own = id.matcher(text).find();
    if (!own && SHARED.stream().noneMatch(text::contains)) {
      return;
    }
    try {
      JsonNode n = JSON.readTree(text.substring(brace));
      if (own || SHARED.contains(n.path("event").asText())) {
        String before = text.substring(0, brace).strip();
        String from =
            before.isEmpty() ? source : before.substring(before.lastIndexOf(' ') + 1).strip();
        lines.add(new Line(Instant.parse(n.path("time").asText()), from, n, own));
      }
    } catch (JsonProcessingException | DateTimeParseException e) {
      // A line that was cut off, or one of another program, tells nothing.
      return;
    }
  }

  /** Returns the story, one event a line; empty if no log names the request. */
  List<String> tell() {
    List<Instant> own = lines.stream().filter(Line::own).map(Line::time).sorted().toList();
    if (own.isEmpty()) {
      return List.of();
    }
    Instant first = own.get(0);
    Instant last = own.get(own.size() - 1);
    return lines.stream()
        .filter(l -> !l.time().isBefore(first) && !l.time().isAfter(last))
        .sorted(Comparator.comparing(Line::time))
        .map(LogStory::show)
        .toList();
  }

  private static String show(Line l) {
    StringBuilder b = new StringBuilder();
    b.append(l.own() ? "  " : "* ").append(l.time()).append(' ').append(l.source()).append(' ');
    b.append(l.fields().path("event").asText("-")).append(' ');
    b.append(l.fields().path("message").asText());
    for (Map.Entry<String, JsonNode> f : l.fields().properties()) {
      if (!UNSHOWN.contains(f.getKey())) {
        b.append(' ').append(f.getKey()).append('=').append(f.getValue().asText());
      }
    }
    return b.toString();
  }
}
