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
final class RequestTimeline {

  /**
   * Events that concern every request: owners, configuration, closed failure domains, the store,
   * starts and stops.
   */
  private static final Set<String> CELL_WIDE_EVENTS =
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

  private static final Set<String> OMITTED_FIELDS =
      Set.of("time", "level", "logger", "message", "event");

  /** One line of a log; {@code own} says that it names the request. */
  private record Line(Instant time, String source, JsonNode fields, boolean namesRequest) {}

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Pattern idPattern;
  private final List<Line> lines = new ArrayList<>();

  /** Creates an empty story of the request with an id. */
  RequestTimeline(String id) {
    // Tasks and paths contain the id between other characters than letters and digits.
    this.idPattern = Pattern.compile("(?<![A-Za-z0-9])" + Pattern.quote(id) + "(?![A-Za-z0-9])");
  }

  /**
   * Takes a line of a log. Whatever stands before the JSON object, such as the name of the process
   * that a collector puts there, replaces {@code source}; lines without an event are passed over.
   */
  void add(String source, String text) {
    int jsonStart = text.indexOf('{');
    if (jsonStart < 0) {
      return;
    }
    boolean namesRequest = idPattern.matcher(text).find();
    if (!namesRequest && CELL_WIDE_EVENTS.stream().noneMatch(text::contains)) {
      return;
    }
    try {
      JsonNode event = JSON.readTree(text.substring(jsonStart));
      if (namesRequest || CELL_WIDE_EVENTS.contains(event.path("event").asText())) {
        String prefix = text.substring(0, jsonStart).strip();
        String origin =
            prefix.isEmpty() ? source : prefix.substring(prefix.lastIndexOf(' ') + 1).strip();
        lines.add(
            new Line(Instant.parse(event.path("time").asText()), origin, event, namesRequest));
      }
    } catch (JsonProcessingException | DateTimeParseException e) {
      // A line that was cut off, or one of another program, tells nothing.
      return;
    }
  }

  /** Returns the story, one event a line; empty if no log names the request. */
  List<String> format() {
    List<Instant> requestTimes =
        lines.stream().filter(Line::namesRequest).map(Line::time).sorted().toList();
    if (requestTimes.isEmpty()) {
      return List.of();
    }
    Instant first = requestTimes.get(0);
    Instant last = requestTimes.get(requestTimes.size() - 1);
    return lines.stream()
        .filter(l -> !l.time().isBefore(first) && !l.time().isAfter(last))
        .sorted(Comparator.comparing(Line::time))
        .map(RequestTimeline::formatLine)
        .toList();
  }

  private static String formatLine(Line l) {
    StringBuilder b = new StringBuilder();
    b.append(l.namesRequest() ? "  " : "* ")
        .append(l.time())
        .append(' ')
        .append(l.source())
        .append(' ');
    b.append(l.fields().path("event").asText("-")).append(' ');
    b.append(l.fields().path("message").asText());
    for (Map.Entry<String, JsonNode> f : l.fields().properties()) {
      if (!OMITTED_FIELDS.contains(f.getKey())) {
        b.append(' ').append(f.getKey()).append('=').append(f.getValue().asText());
      }
    }
    return b.toString();
  }
}
