package dev.dandelionport.node.process;

import dev.dandelionport.core.dispatch.DispatchTopic;
import java.util.Map;

/** Logs the workflow events of an instance as numbered events. */
public final class DispatchLog {

  private DispatchLog() {}

  /** Logs one event with its fields. */
  public static void write(DispatchTopic topic, Map<String, Object> fields) {
    EventLog.log(toLogEvent(topic), fields);
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
      case ENTRY_IGNORED -> LogEvent.ENTRY_IGNORED;
      case DECISION -> LogEvent.WORKFLOW_DECISION;
    };
  }
}
