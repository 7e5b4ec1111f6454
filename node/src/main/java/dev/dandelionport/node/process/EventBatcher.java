package dev.dandelionport.node.process;

import dev.dandelionport.core.port.Timer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Logs the occurrences of one event, each of which names a request. The first one is logged at
 * once, and those that follow within an interval in one line that lists them all, so a burst costs
 * few lines and no request is left out. Thread-safe.
 */
final class EventBatcher {

  /** Time that occurrences wait for others, in milliseconds. */
  private static final long INTERVAL_MILLIS = 20;

  /** Number of requests at which a batch is logged before the interval ends. */
  private static final int MAX_REQUESTS = 200;

  private final LogEvent event;
  private final Timer timer;
  private List<Map<String, Object>> batch = new ArrayList<>();
  private boolean inInterval;
  private boolean closed;

  /** Creates a batcher; {@code timer} ends the intervals. */
  EventBatcher(LogEvent event, Timer timer) {
    this.event = event;
    this.timer = timer;
  }

  /** Logs an occurrence now or with the batch of the present interval. */
  void add(Map<String, Object> fields) {
    List<Map<String, Object>> due;
    boolean startsInterval;
    synchronized (this) {
      batch.add(fields);
      if (inInterval && !closed && batch.size() < MAX_REQUESTS) {
        return;
      }
      due = takeBatch();
      startsInterval = !inInterval && !closed;
      inInterval = true;
    }
    log(due);
    if (startsInterval) {
      timer.schedule(INTERVAL_MILLIS, this::endInterval);
    }
  }

  /** Logs the batch; another interval follows, unless the batch is empty. */
  private void endInterval() {
    List<Map<String, Object>> due;
    synchronized (this) {
      due = takeBatch();
      inInterval = !due.isEmpty();
    }
    if (!due.isEmpty()) {
      log(due);
      timer.schedule(INTERVAL_MILLIS, this::endInterval);
    }
  }

  /** Logs the batch; later occurrences are logged at once, as the timer may have ended. */
  void close() {
    List<Map<String, Object>> due;
    synchronized (this) {
      closed = true;
      due = takeBatch();
    }
    log(due);
  }

  private List<Map<String, Object>> takeBatch() {
    List<Map<String, Object>> taken = batch;
    batch = new ArrayList<>();
    return taken;
  }

  private void log(List<Map<String, Object>> occurrences) {
    if (occurrences.size() == 1) {
      EventLog.log(event, occurrences.get(0));
    } else if (!occurrences.isEmpty()) {
      List<String> requests = occurrences.stream().map(EventBatcher::format).toList();
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("count", requests.size());
      fields.put("requests", requests);
      EventLog.log(event, fields);
    }
  }

  /** Returns fields in the form {@code name=value}, separated by spaces. */
  private static String format(Map<String, Object> fields) {
    return fields.entrySet().stream()
        .map(f -> f.getKey() + "=" + f.getValue())
        .collect(Collectors.joining(" "));
  }
}
