package dev.dandelionport.node.process;

import com.google.common.flogger.LogContext;
import com.google.common.flogger.backend.BaseMessageFormatter;
import com.google.common.flogger.backend.LogData;
import com.google.common.flogger.backend.LoggerBackend;
import com.google.common.flogger.backend.Metadata;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Forwards Flogger's records to SLF4J with the fields as key-value pairs. Flogger's own SLF4J back
 * end would append them to the message text.
 */
final class JsonLogBackend extends LoggerBackend {

  private final Logger logger;

  JsonLogBackend(String name) {
    this.logger = LoggerFactory.getLogger(name);
  }

  @Override
  public String getLoggerName() {
    return logger.getName();
  }

  @Override
  public boolean isLoggable(java.util.logging.Level level) {
    return logger.isEnabledForLevel(level(level));
  }

  @Override
  public void log(LogData data) {
    LoggingEventBuilder b = logger.makeLoggingEventBuilder(level(data.getLevel()));
    Metadata m = data.getMetadata();
    LogEvent event = m.findValue(EventLog.EVENT);
    if (event != null) {
      b = b.addKeyValue("event", event.number());
    }
    Map<?, ?> fields = m.findValue(EventLog.FIELDS);
    if (fields != null) {
      for (Map.Entry<?, ?> f : fields.entrySet()) {
        b = b.addKeyValue(f.getKey().toString(), f.getValue());
      }
    }
    Throwable cause = m.findValue(LogContext.Key.LOG_CAUSE);
    if (cause != null) {
      b = b.setCause(cause);
    }
    b.log(message(data));
  }

  private static String message(LogData data) {
    if (data.getTemplateContext() == null) {
      return String.valueOf(data.getLiteralArgument());
    }
    return BaseMessageFormatter.appendFormattedMessage(data, new StringBuilder()).toString();
  }

  @Override
  public void handleError(RuntimeException error, LogData badData) {
    logger.warn("a log record could not be formatted", error);
  }

  private static Level level(java.util.logging.Level l) {
    int v = l.intValue();
    if (v >= java.util.logging.Level.SEVERE.intValue()) {
      return Level.ERROR;
    } else if (v >= java.util.logging.Level.WARNING.intValue()) {
      return Level.WARN;
    } else if (v >= java.util.logging.Level.INFO.intValue()) {
      return Level.INFO;
    }
    return v >= java.util.logging.Level.FINE.intValue() ? Level.DEBUG : Level.TRACE;
  }
}
