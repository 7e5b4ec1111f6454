package dev.dandelionport.node.process;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.slf4j.LoggerFactory;

/**
 * Captures the log lines of this process until it is closed, with the project's loggers at TRACE.
 */
final class CapturedLog extends AppenderBase<ILoggingEvent> implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final JsonLineEncoder encoder = new JsonLineEncoder();
  private final List<String> lines = new CopyOnWriteArrayList<>();
  private final Logger root = (Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME);
  private final Logger projectLogger = (Logger) LoggerFactory.getLogger("dev.dandelionport");

  CapturedLog() {
    projectLogger.setLevel(Level.TRACE);
    start();
    root.addAppender(this);
  }

  @Override
  protected void append(ILoggingEvent e) {
    lines.add(new String(encoder.encode(e), StandardCharsets.UTF_8));
  }

  List<String> all() {
    return List.copyOf(lines);
  }

  int count(String event) {
    return (int) lines.stream().filter(l -> l.contains("\"event\":\"" + event + "\"")).count();
  }

  Map<String, Object> last() {
    try {
      return JSON.readValue(lines.get(lines.size() - 1), new TypeReference<>() {});
    } catch (JsonProcessingException e) {
      throw new AssertionError("line is not JSON", e);
    }
  }

  @Override
  public void close() {
    root.detachAppender(this);
    projectLogger.setLevel(null);
  }
}
