package dev.dandelionport.node.process;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogSite;
import com.google.common.flogger.LogSites;
import com.google.common.flogger.MetadataKey;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;

/**
 * Logs numbered events with structured fields. Callers must never pass an API key, a secret or a
 * request body as a field.
 */
public final class EventLog {

  /** Metadata key under which the log back end finds the event. */
  static final MetadataKey<LogEvent> EVENT = MetadataKey.single("event", LogEvent.class);

  /** Metadata key under which the log back end finds the fields. */
  @SuppressWarnings("rawtypes")
  static final MetadataKey<Map> FIELDS = MetadataKey.single("fields", Map.class);

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  // A fixed log site avoids a stack walk for each event.
  private static final LogSite LOG_SITE = LogSites.logSite();

  private EventLog() {}

  /** Logs an event without fields. */
  public static void log(LogEvent event) {
    log(event, Map.of());
  }

  /** Logs an event with fields, whose values are strings, numbers, booleans or lists of strings. */
  public static void log(LogEvent event, Map<String, ?> fields) {
    log(event, null, fields);
  }

  /** Logs an event with fields and the exception that caused it. */
  public static void log(LogEvent event, Throwable cause, Map<String, ?> fields) {
    FluentLogger.Api api = LOGGER.at(julLevel(event)).withInjectedLogSite(LOG_SITE);
    if (event.minIntervalMillis() > 0) {
      api = api.per(event).atMostEvery(event.minIntervalMillis(), TimeUnit.MILLISECONDS);
    }
    api.withCause(cause).with(EVENT, event).with(FIELDS, fields).log("%s", event.text());
  }

  /** Returns whether the event's level is enabled; rate limits are not considered. */
  static boolean isEnabled(LogEvent event) {
    return LOGGER.at(julLevel(event)).isEnabled();
  }

  private static Level julLevel(LogEvent event) {
    return switch (event.level()) {
      case ERROR -> Level.SEVERE;
      case WARN -> Level.WARNING;
      case INFO -> Level.INFO;
      case DEBUG -> Level.FINE;
      case TRACE -> Level.FINEST;
    };
  }
}
