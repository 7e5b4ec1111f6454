package dev.dandelionport.node.process;

import dev.dandelionport.core.engine.EngineEvent;
import java.lang.reflect.RecordComponent;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Logs engine events as numbered events. */
final class EngineEventLog implements Consumer<EngineEvent> {

  /** Duration above which a journal write is logged as a warning, in milliseconds. */
  private static final long SLOW_BATCH_MILLIS = 500;

  /** Log events of the engine events whose type alone determines the log event. */
  private static final Map<Class<?>, LogEvent> EVENTS_BY_TYPE =
      Map.ofEntries(
          Map.entry(EngineEvent.AuthorityLost.class, LogEvent.AUTHORITY_LOST),
          Map.entry(EngineEvent.AuthorityRegained.class, LogEvent.AUTHORITY_REGAINED),
          Map.entry(EngineEvent.TakeoverFinished.class, LogEvent.TAKEOVER_FINISHED),
          Map.entry(EngineEvent.PeerSuspected.class, LogEvent.PEER_SUSPECTED),
          Map.entry(EngineEvent.PromisesGathered.class, LogEvent.PROMISES_GATHERED),
          Map.entry(EngineEvent.PermitsMoved.class, LogEvent.PERMITS_MOVED),
          Map.entry(EngineEvent.ManifestStale.class, LogEvent.MANIFEST_STALE),
          Map.entry(EngineEvent.SnapshotWritten.class, LogEvent.SNAPSHOT_WRITTEN),
          Map.entry(EngineEvent.StoreOutageBegan.class, LogEvent.STORE_OUTAGE_BEGAN),
          Map.entry(EngineEvent.StoreOutageEnded.class, LogEvent.STORE_OUTAGE_ENDED));

  /** Package of the identifier types, whose text form may be logged. */
  private static final String IDENTIFIER_PACKAGE = "dev.dandelionport.core.common.";

  @Override
  public void accept(EngineEvent e) {
    LogEvent event = toLogEvent(e);
    if (EventLog.isEnabled(event)) {
      EventLog.log(event, fields(e));
    }
  }

  /** Returns the log event for an engine event. */
  static LogEvent toLogEvent(EngineEvent e) {
    if (e instanceof EngineEvent.Joined) {
      return LogEvent.CELL_JOINED;
    } else if (e instanceof EngineEvent.LeaseLost) {
      return LogEvent.LEASE_LOST;
    } else if (e instanceof EngineEvent.AssignmentSwapped a) {
      return a.swapped() ? LogEvent.ASSIGNMENT_CHANGED : LogEvent.ASSIGNMENT_RACE_LOST;
    } else if (e instanceof EngineEvent.PartitionOpened) {
      return LogEvent.PARTITION_OPENED;
    } else if (e instanceof EngineEvent.PartitionClosed c) {
      return c.graceful() ? LogEvent.PARTITION_HANDED_OVER : LogEvent.PARTITION_LOST;
    } else if (e instanceof EngineEvent.ManifestAdopted) {
      return LogEvent.MANIFEST_ADOPTED;
    } else if (e instanceof EngineEvent.BatchCommitted b) {
      return b.writeMillis() > SLOW_BATCH_MILLIS ? LogEvent.BATCH_SLOW : LogEvent.BATCH_COMMITTED;
    } else if (e instanceof EngineEvent.JobAccepted) {
      return LogEvent.JOB_ACCEPTED;
    } else if (e instanceof EngineEvent.StartSent) {
      return LogEvent.START_SENT;
    } else if (e instanceof EngineEvent.JobEnded j) {
      return switch (j.phase()) {
        case FAILED, UNKNOWN -> LogEvent.JOB_FAILED;
        default -> LogEvent.JOB_ENDED;
      };
    } else if (e instanceof EngineEvent.WorkerLost) {
      return LogEvent.WORKER_LOST;
    } else if (e instanceof EngineEvent.AlertRaised) {
      return LogEvent.ALERT_RAISED;
    } else if (e instanceof EngineEvent.StoreCall c && !c.ok()) {
      return LogEvent.STORE_CALL_FAILED;
    }
    return EVENTS_BY_TYPE.getOrDefault(e.getClass(), LogEvent.ENGINE_EVENT);
  }

  /**
   * Returns the components of an event as log fields. Only numbers, booleans, strings, enum
   * constants and identifiers are included, so that a component with a request or an API key is
   * never logged.
   */
  static Map<String, Object> fields(EngineEvent e) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("engineEvent", e.getClass().getSimpleName());
    for (RecordComponent c : e.getClass().getRecordComponents()) {
      Object v;
      try {
        v = c.getAccessor().invoke(e);
      } catch (ReflectiveOperationException x) {
        continue;
      }
      if (v instanceof Number || v instanceof Boolean || v instanceof String) {
        m.put(c.getName(), v);
      } else if (v instanceof Enum<?> || (v != null && isIdentifier(v))) {
        m.put(c.getName(), v.toString());
      }
    }
    return m;
  }

  private static boolean isIdentifier(Object v) {
    return v.getClass().getName().startsWith(IDENTIFIER_PACKAGE);
  }
}
