package dev.dandelionport.node.process;

import java.util.List;

/** Metrics of an instance, listed in docs/METRICS.md. */
public enum MetricSpec {
  JOB_WAIT(
      Kind.HISTOGRAM, "job_wait_seconds", "seconds", "acceptance of a job to its start", "class"),
  JOB_DURATION(
      Kind.HISTOGRAM, "job_duration_seconds", "seconds", "acceptance of a job to its end", "class"),
  JOBS_ACCEPTED(Kind.COUNTER, "jobs_accepted_total", "jobs", "accepted jobs", "class"),
  JOBS_ENDED(Kind.COUNTER, "jobs_ended_total", "jobs", "jobs in a final phase", "class", "phase"),
  STARTS(Kind.COUNTER, "starts_total", "starts", "starts sent to workers", "class"),
  ADMISSION_REFUSALS(
      Kind.COUNTER,
      "admission_refusals_total",
      "requests",
      "job requests refused with status 401, 429 or 503",
      "status"),
  HTTP_RESPONSES(
      Kind.COUNTER, "http_responses_total", "responses", "HTTP answers", "route", "status"),
  ALERTS(
      Kind.COUNTER,
      "alerts_total",
      "alerts",
      "alerts raised, by code of docs/OPERATIONS.md",
      "code"),
  WORKERS_LOST(Kind.COUNTER, "workers_lost_total", "workers", "workers silent for too long"),
  RECOVERIES(Kind.COUNTER, "recoveries_total", "partitions", "partitions opened"),
  RECOVERY_TIME(
      Kind.HISTOGRAM, "recovery_seconds", "seconds", "start of opening a partition to serving it"),
  RECOVERY_RECORDS(
      Kind.COUNTER, "recovery_records_total", "records", "journal records read when opening"),
  PARTITIONS_CLOSED(
      Kind.COUNTER, "partitions_closed_total", "partitions", "partitions given up", "reason"),
  PARTITIONS_SERVED(Kind.GAUGE, "partitions_served", "partitions", "partitions served now"),
  MANIFEST_VERSION(Kind.GAUGE, "manifest_version", "version", "manifest in force, 0 if none"),
  ASSIGNMENT_VERSION(Kind.GAUGE, "assignment_version", "version", "assignment table known"),
  AUTHORITY(Kind.GAUGE, "authority_held", "0 or 1", "whether the instance may act as an owner"),
  READY(Kind.GAUGE, "ready", "0 or 1", "whether /readyz answers 200"),
  LIVE_MEMBERS(Kind.GAUGE, "live_members", "instances", "members whose lease the store holds"),
  LEASES_LOST(Kind.COUNTER, "leases_lost_total", "leases", "leases that the store forgot"),
  JOURNAL_BATCHES(Kind.COUNTER, "journal_batches_total", "batches", "durable journal batches"),
  JOURNAL_RECORDS(Kind.COUNTER, "journal_records_total", "records", "durable journal records"),
  JOURNAL_WRITE(Kind.HISTOGRAM, "journal_write_seconds", "seconds", "time of a journal write"),
  STORE_CALLS(
      Kind.COUNTER,
      "store_calls_total",
      "calls",
      "store calls, where a watch counts once",
      "operation",
      "outcome"),
  STORE_WRITES(Kind.COUNTER, "store_writes_total", "calls", "store calls that write"),
  STORE_WRITE_BYTES(Kind.COUNTER, "store_write_bytes_total", "bytes", "values written"),
  STORE_CALL_TIME(
      Kind.HISTOGRAM, "store_call_seconds", "seconds", "time of a store call", "operation"),
  STORE_CALL_RATE(Kind.GAUGE, "store_calls_per_second", "calls/s", "calls over the last minute"),
  STORE_CALL_BUDGET(
      Kind.GAUGE, "store_call_budget_per_second", "calls/s", "most calls of an idle instance"),
  TAKEOVER_TIME(
      Kind.HISTOGRAM,
      "takeover_seconds",
      "seconds",
      "claim of a partition to its first possible start"),
  SNAPSHOTS(Kind.COUNTER, "snapshots_total", "snapshots", "snapshots written"),
  PERMITS_MOVED(
      Kind.COUNTER,
      "permits_moved_total",
      "permits",
      "permits that this instance moved between partitions"),
  STORE_OUTAGES(
      Kind.COUNTER, "store_outages_total", "outages", "times that the store stopped answering"),
  MANIFEST_CONFIRMED(
      Kind.GAUGE,
      "manifest_confirmed",
      "0 or 1",
      "whether the manifest is confirmed to be the newest"),
  WAITING_TASKS(
      Kind.GAUGE, "waiting_tasks", "tasks", "tasks that may start and wait for room", "class"),
  RUNNING_TASKS(Kind.GAUGE, "running_tasks", "tasks", "open attempts of known jobs", "class"),
  PACKING(
      Kind.GAUGE,
      "packing_ratio",
      "ratio",
      "largest fraction of any resource that is committed",
      "partition"),
  TEAM_RUNNING(Kind.GAUGE, "team_running_tasks", "tasks", "attempts that may be running", "team"),
  SHARE_DEVIATION(
      Kind.GAUGE,
      "team_share_deviation",
      "ratio",
      "distance from the fair part, of the partition where it is largest",
      "team"),
  WORKERS_USABLE(Kind.GAUGE, "workers_usable", "workers", "workers that may get work"),
  WORKERS_HELD_BACK(
      Kind.GAUGE, "workers_held_back", "workers", "workers that fail what they start"),
  PREEMPTIONS(
      Kind.GAUGE,
      "preemptions",
      "attempts",
      "attempts told to end, since the partitions served were opened"),
  RETRIES(
      Kind.GAUGE,
      "retries",
      "attempts",
      "attempts after a failed or lost one, since the partitions served were opened"),
  PEER_CALLS(
      Kind.COUNTER, "peer_calls_total", "calls", "calls to other instances", "message", "outcome"),
  PEER_SENT_BYTES(
      Kind.COUNTER,
      "peer_sent_bytes_total",
      "bytes",
      "frames sent to other instances, without TLS and TCP headers",
      "frame"),
  WORKER_CALLS(
      Kind.COUNTER, "worker_calls_total", "calls", "calls to workers", "operation", "outcome"),
  WRITTEN_BYTES(
      Kind.COUNTER,
      "process_written_bytes_total",
      "bytes",
      "bytes the process wrote to sockets and standard output"),
  CPU_TIME(Kind.COUNTER, "process_cpu_seconds_total", "seconds", "processor time used"),
  RESIDENT_BYTES(Kind.GAUGE, "process_resident_bytes", "bytes", "resident memory"),
  HEAP_BYTES(Kind.GAUGE, "process_heap_bytes", "bytes", "heap in use"),
  THREADS(Kind.GAUGE, "process_threads", "threads", "live threads");

  /** Metric types of the Prometheus text format. */
  public enum Kind {
    /** A value that only increases. */
    COUNTER,
    /** A value that can increase and decrease. */
    GAUGE,
    /** Counts of values by bucket. */
    HISTOGRAM
  }

  private static final String PREFIX = "dandelionport_";

  private final Kind kind;
  private final String metric;
  private final String unit;
  private final String help;
  private final List<String> labels;

  MetricSpec(Kind kind, String metric, String unit, String help, String... labels) {
    this.kind = kind;
    this.metric = PREFIX + metric;
    this.unit = unit;
    this.help = help;
    this.labels = List.of(labels);
  }

  /** Returns the kind. */
  public Kind kind() {
    return kind;
  }

  /** Returns the full metric name, as shown at the scrape endpoint. */
  public String metric() {
    return metric;
  }

  /** Returns the unit of the values. */
  public String unit() {
    return unit;
  }

  /** Returns the help text. */
  public String help() {
    return help;
  }

  /** Returns the names of the labels. */
  public List<String> labels() {
    return labels;
  }
}
