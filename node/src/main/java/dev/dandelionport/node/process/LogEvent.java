package dev.dandelionport.node.process;

import org.slf4j.event.Level;

/**
 * Numbered log events, listed in docs/EVENTS.md. The number of a removed event is never reused. The
 * first digit is the subject: 1 process, 2 cell and ownership, 3 manifest and operators, 4 jobs, 5
 * platform, 9 other.
 */
public enum LogEvent {
  INSTANCE_STARTING(1001, Level.INFO, "instance starts"),
  INSTANCE_SERVING(1002, Level.INFO, "instance serves callers"),
  INSTANCE_STOPPING(1003, Level.INFO, "graceful stop begins"),
  INSTANCE_STOPPED(1004, Level.INFO, "instance stopped"),
  STOP_FAILED(1005, Level.ERROR, "graceful stop failed"),
  ACTION_FAILED(1006, Level.ERROR, "a scheduled action failed", 1_000),
  SETTINGS_CHANGED(1007, Level.INFO, "settings were changed"),
  SETTINGS_UNUSABLE(1008, Level.WARN, "changed settings cannot be used; the former ones stay"),
  CELL_JOINED(2001, Level.INFO, "instance joined the cell"),
  LEASE_LOST(2002, Level.WARN, "the store no longer knows the instance's lease"),
  ASSIGNMENT_CHANGED(2003, Level.INFO, "assignment table changed"),
  ASSIGNMENT_RACE_LOST(2004, Level.INFO, "another instance changed the assignment table", 1_000),
  PARTITION_OPENED(2005, Level.INFO, "partition is served"),
  PARTITION_HANDED_OVER(2006, Level.INFO, "partition was handed over"),
  PARTITION_LOST(2007, Level.WARN, "partition was lost"),
  AUTHORITY_LOST(2008, Level.WARN, "the instance may no longer act as an owner"),
  AUTHORITY_REGAINED(2009, Level.INFO, "the instance may act as an owner again"),
  TAKEOVER_FINISHED(2010, Level.INFO, "claimed partition takes work"),
  PEER_SUSPECTED(2011, Level.WARN, "peer is silent; requests go around it", 100),
  PROMISES_GATHERED(2012, Level.INFO, "promises of all members extended the authority", 1_000),
  PERMITS_MOVED(2013, Level.INFO, "permits moved between partitions", 100),
  WORKFLOWS_REBUILT(2014, Level.INFO, "workflows were rebuilt from the journal"),
  WORKFLOWS_SERVED(2015, Level.INFO, "instance owns and serves the workflows"),
  WORKFLOWS_LOST(2016, Level.WARN, "instance no longer owns the workflows"),
  WORKFLOW_OWNER(2017, Level.INFO, "owner of the workflows changed"),
  WORKFLOW_LOAD(2018, Level.INFO, "load of the workflows' owner"),
  WORKFLOWS_OFFERED(2019, Level.INFO, "owner asks a larger instance to take over"),
  SUBSTITUTE_REQUESTED(
      2020, Level.WARN, "owner without the store asks another instance to take over"),
  MANIFEST_ADOPTED(3001, Level.INFO, "manifest came into force"),
  OPERATOR_CALL(3002, Level.INFO, "operator call was carried out"),
  OPERATOR_REFUSED(3003, Level.WARN, "operator call without a valid key was refused", 1_000),
  OPERATOR_CONFLICT(3004, Level.WARN, "operator call lost to a concurrent change"),
  OPERATOR_INVALID(3005, Level.WARN, "operator call was invalid", 100),
  MANIFEST_STALE(3006, Level.WARN, "manifest is not confirmed; nothing new starts"),
  POLICY_IN_FORCE(3007, Level.INFO, "configuration came into force"),
  DOMAINS_CLOSED(3009, Level.INFO, "failure domains in which nothing starts changed"),
  JOB_ACCEPTED(4001, Level.DEBUG, "job was accepted"),
  START_SENT(4002, Level.DEBUG, "start was sent to a worker"),
  JOB_ENDED(4003, Level.DEBUG, "job ended"),
  JOB_FAILED(4004, Level.WARN, "job failed or its outcome is unknown", 100),
  BATCH_COMMITTED(4005, Level.DEBUG, "journal batch is durable"),
  BATCH_SLOW(4006, Level.WARN, "journal batch took longer than 500 ms", 1_000),
  SNAPSHOT_WRITTEN(4007, Level.DEBUG, "snapshot replaced journal batches"),
  WORKFLOW_DECISION(4008, Level.INFO, "decision about a workflow"),
  WORKFLOW_REFUSED(4009, Level.INFO, "request was refused"),
  WORKFLOW_ANSWERED(4010, Level.INFO, "request was answered"),
  WORKER_LOST(5001, Level.WARN, "worker was silent until its task leases expired", 100),
  ALERT_RAISED(5002, Level.WARN, "scheduler raised an alert", 100),
  STORE_CALL_FAILED(5003, Level.WARN, "store call failed", 1_000),
  STORE_OUTAGE_BEGAN(5004, Level.WARN, "store does not answer"),
  STORE_OUTAGE_ENDED(5005, Level.INFO, "store answers again"),
  RUNNER_SILENT(5006, Level.WARN, "runner does not answer", 20),
  RUNNER_BACK(5007, Level.INFO, "runner answers again", 20),
  RUNNER_LAPSED(5008, Level.WARN, "runner was silent until all leases on it ran out", 20),
  ENTRY_IGNORED(5009, Level.WARN, "entry in the store cannot be used", 20),
  RUNNER_LEASE_TOO_LONG(5010, Level.WARN, "lease on a runner is longer than intended", 20),
  ENGINE_EVENT(9001, Level.DEBUG, "engine event without a number of its own");

  private final int number;
  private final Level level;
  private final String text;
  private final int minIntervalMillis;

  LogEvent(int number, Level level, String text) {
    this(number, level, text, 0);
  }

  LogEvent(int number, Level level, String text, int minIntervalMillis) {
    this.number = number;
    this.level = level;
    this.text = text;
    this.minIntervalMillis = minIntervalMillis;
  }

  /** Returns the number in the form {@code DP1001}. */
  public String number() {
    return "DP" + number;
  }

  /** Returns the severity. */
  public Level level() {
    return level;
  }

  /** Returns the message text, which is constant; variable data is in the fields. */
  public String text() {
    return text;
  }

  /** Returns the minimum interval between two logged occurrences in milliseconds; 0 for none. */
  public int minIntervalMillis() {
    return minIntervalMillis;
  }
}
