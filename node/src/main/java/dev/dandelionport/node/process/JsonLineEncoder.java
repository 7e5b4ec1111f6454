package dev.dandelionport.node.process;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.StackTraceElementProxy;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.slf4j.event.KeyValuePair;

/** Encodes each log record as one line of JSON that has the standard fields and the event's own. */
public final class JsonLineEncoder extends EncoderBase<ILoggingEvent> {

  /** Maximum number of stack frames written for one exception. */
  private static final int MAX_FRAMES = 30;

  /** Maximum number of exceptions written in a chain of causes. */
  private static final int MAX_CAUSES = 4;

  private static final ObjectMapper JSON = new ObjectMapper();

  @Override
  public byte[] headerBytes() {
    return new byte[0];
  }

  @Override
  public byte[] footerBytes() {
    return new byte[0];
  }

  @Override
  public byte[] encode(ILoggingEvent e) {
    ObjectNode n = JSON.createObjectNode();
    n.put("time", e.getInstant().toString());
    n.put("level", e.getLevel().toString());
    n.put("message", e.getFormattedMessage());
    n.put("logger", e.getLoggerName());
    if (e.getKeyValuePairs() != null) {
      for (KeyValuePair p : e.getKeyValuePairs()) {
        put(n, p.key, p.value);
      }
    }
    if (e.getThrowableProxy() != null) {
      putError(n, e.getThrowableProxy());
    }
    return (n + "\n").getBytes(StandardCharsets.UTF_8);
  }

  private static void put(ObjectNode n, String key, Object value) {
    if (value instanceof Boolean v) {
      n.put(key, v);
    } else if (value instanceof Integer || value instanceof Long) {
      n.put(key, ((Number) value).longValue());
    } else if (value instanceof Number v) {
      n.put(key, v.doubleValue());
    } else if (value instanceof List<?> values) {
      ArrayNode array = n.putArray(key);
      values.forEach(v -> array.add(String.valueOf(v)));
    } else {
      n.put(key, String.valueOf(value));
    }
  }

  private static void putError(ObjectNode n, IThrowableProxy error) {
    n.put("error", error.getClassName() + ": " + error.getMessage());
    ArrayNode stack = n.putArray("stack");
    IThrowableProxy p = error;
    for (int depth = 0; p != null && depth < MAX_CAUSES; depth++) {
      if (depth > 0) {
        stack.add("caused by " + p.getClassName() + ": " + p.getMessage());
      }
      StackTraceElementProxy[] frames = p.getStackTraceElementProxyArray();
      for (int i = 0; i < Math.min(frames.length, MAX_FRAMES); i++) {
        stack.add(frames[i].getSTEAsString());
      }
      p = p.getCause();
    }
  }
}
