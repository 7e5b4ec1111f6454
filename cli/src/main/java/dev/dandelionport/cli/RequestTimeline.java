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
 * Collects the log lines of several processes that name one request, together with the cell-wide
 * events between the first and the last of them, and sorts them by time. The order is approximate
 * where the clocks of the processes differ.
 */
final class RequestTimeline {

  /**
   * Events that affect every request: changes of owner and policy, closed failure domains, store
   * outages, and starts and stops of instances.
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

  /** A parsed log line; {@code namesRequest} is false for a cell-wide event. */
  private record Line(Instant time, String source, JsonNode fields, boolean namesRequest) {}

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Pattern idPattern;
  private final List<Line> lines = new ArrayList<>();

  /** Creates an empty timeline of the request with the given id. */
  RequestTimeline(String id) {
    // Task ids and paths contain the request id, delimited by characters other than [A-Za-z0-9].
    this.idPattern = Pattern.compile("(?<![A-Za-z0-9])" + Pattern.quote(id) + "(?![A-Za-z0-9])");
  }

  /**
   * Adds a log line if it names the request or is a cell-wide event; skips all other lines. If a
   * log collector wrote a prefix before the JSON object, the last word of the prefix, usually the
   * process name, replaces {@code source}.
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
      // The line was truncated or is the output of another program.
      return;
    }
  }

  /** Returns the events sorted by time, one per line; empty if no log line names the request. */
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
        .map(this::formatLine)
        .toList();
  }

  private String formatLine(Line l) {
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
        b.append(' ').append(f.getKey()).append('=').append(formatValue(f.getValue()));
      }
    }
    return b.toString();
  }

  /** Returns a value as text; of an array, only the elements that name the request. */
  private String formatValue(JsonNode value) {
    if (!value.isArray()) {
      return value.asText();
    }
    return value
        .valueStream()
        .map(JsonNode::asText)
        .filter(v -> idPattern.matcher(v).find())
        .collect(Collectors.joining("; "));
  }
}
