package dev.dandelionport.node.process;

import dev.dandelionport.core.dispatch.DispatchTopic;
import dev.dandelionport.core.port.Timer;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Logs the workflow events of an instance as numbered events. Those that tell how a request was
 * answered are logged in batches. Thread-safe.
 */
public final class DispatchLog {

  private final Map<DispatchTopic, EventBatcher> batchers = new EnumMap<>(DispatchTopic.class);

  /** Creates a log whose batches are written by {@code timer}. */
  public DispatchLog(Timer timer) {
    for (DispatchTopic t : List.of(DispatchTopic.REQUEST_REFUSED, DispatchTopic.REQUEST_ANSWERED)) {
      batchers.put(t, new EventBatcher(toLogEvent(t), timer));
    }
  }

  /** Logs one event with its fields. */
  public void write(DispatchTopic topic, Map<String, Object> fields) {
    EventBatcher batcher = batchers.get(topic);
    if (batcher == null) {
      EventLog.log(toLogEvent(topic), fields);
    } else {
      batcher.add(fields);
    }
  }

  /** Logs what is left of the batches; later events are logged one by one. */
  public void close() {
    batchers.values().forEach(EventBatcher::close);
  }

  static LogEvent toLogEvent(DispatchTopic topic) {
    return switch (topic) {
      case OWNER_CLAIMED -> LogEvent.WORKFLOWS_REBUILT;
      case OWNER_SERVING -> LogEvent.WORKFLOWS_SERVED;
      case OWNER_LOAD -> LogEvent.WORKFLOW_LOAD;
      case OWNER_LOST -> LogEvent.WORKFLOWS_LOST;
      case OWNER_CHANGED -> LogEvent.WORKFLOW_OWNER;
      case HAND_OVER_OFFERED -> LogEvent.WORKFLOWS_OFFERED;
      case SUBSTITUTE_REQUESTED -> LogEvent.SUBSTITUTE_REQUESTED;
      case POLICY_IN_FORCE -> LogEvent.POLICY_IN_FORCE;
      case DOMAINS_CLOSED -> LogEvent.DOMAINS_CLOSED;
      case ACTION_FAILED -> LogEvent.ACTION_FAILED;
      case STORE_CALL_FAILED -> LogEvent.STORE_CALL_FAILED;
      case STORE_OUTAGE_BEGAN -> LogEvent.STORE_OUTAGE_BEGAN;
      case STORE_OUTAGE_ENDED -> LogEvent.STORE_OUTAGE_ENDED;
      case RUNNER_SILENT -> LogEvent.RUNNER_SILENT;
      case RUNNER_ANSWERED_AGAIN -> LogEvent.RUNNER_BACK;
      case RUNNER_LEASES_EXPIRED -> LogEvent.RUNNER_LAPSED;
      case RUNNER_LEASE_TOO_LONG -> LogEvent.RUNNER_LEASE_TOO_LONG;
      case BATCH_SLOW -> LogEvent.BATCH_SLOW;
      case SNAPSHOT_WRITTEN -> LogEvent.SNAPSHOT_WRITTEN;
      case REQUEST_REFUSED -> LogEvent.WORKFLOW_REFUSED;
      case REQUEST_ANSWERED -> LogEvent.WORKFLOW_ANSWERED;
      case ENTRY_IGNORED -> LogEvent.ENTRY_IGNORED;
      case DECISION -> LogEvent.WORKFLOW_DECISION;
    };
  }
}
