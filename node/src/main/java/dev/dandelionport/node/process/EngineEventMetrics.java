package dev.dandelionport.node.process;

import dev.dandelionport.core.engine.EngineEvent;
import java.util.Locale;
import java.util.function.Consumer;

/** Updates the counters and histograms for engine events. */
final class EngineEventMetrics implements Consumer<EngineEvent> {

  private final InstanceMetrics metrics;

  EngineEventMetrics(InstanceMetrics metrics) {
    this.metrics = metrics;
  }

  @Override
  public void accept(EngineEvent event) {
    if (event instanceof EngineEvent.JobAccepted e) {
      metrics.counter(MetricSpec.JOBS_ACCEPTED, label(e.workloadClass())).inc();
    } else if (event instanceof EngineEvent.StartSent e) {
      metrics.counter(MetricSpec.STARTS, label(e.workloadClass())).inc();
      metrics.histogram(MetricSpec.JOB_WAIT, label(e.workloadClass())).update(e.waitedMillis());
    } else if (event instanceof EngineEvent.JobEnded e) {
      metrics.counter(MetricSpec.JOBS_ENDED, label(e.workloadClass()), label(e.phase())).inc();
      metrics.histogram(MetricSpec.JOB_DURATION, label(e.workloadClass())).update(e.totalMillis());
    } else if (event instanceof EngineEvent.BatchCommitted e) {
      metrics.counter(MetricSpec.JOURNAL_BATCHES).inc();
      metrics.counter(MetricSpec.JOURNAL_RECORDS).inc(e.records());
      metrics.histogram(MetricSpec.JOURNAL_WRITE).update(e.writeMillis());
    } else if (event instanceof EngineEvent.PartitionOpened e) {
      metrics.counter(MetricSpec.RECOVERIES).inc();
      metrics.counter(MetricSpec.RECOVERY_RECORDS).inc(e.records());
      metrics.histogram(MetricSpec.RECOVERY_TIME).update(e.openMillis());
    } else if (event instanceof EngineEvent.PartitionClosed e) {
      String reason = e.graceful() ? "handed_over" : "lost";
      metrics.counter(MetricSpec.PARTITIONS_CLOSED, reason).inc();
    } else if (event instanceof EngineEvent.AlertRaised e) {
      metrics.counter(MetricSpec.ALERTS, e.code().toString()).inc();
    } else if (event instanceof EngineEvent.WorkerLost) {
      metrics.counter(MetricSpec.WORKERS_LOST).inc();
    } else if (event instanceof EngineEvent.TakeoverFinished e) {
      metrics.histogram(MetricSpec.TAKEOVER_TIME).update(e.millis());
    } else if (event instanceof EngineEvent.SnapshotWritten) {
      metrics.counter(MetricSpec.SNAPSHOTS).inc();
    } else if (event instanceof EngineEvent.PermitsMoved e) {
      metrics.counter(MetricSpec.PERMITS_MOVED).inc(e.count());
    } else if (event instanceof EngineEvent.StoreOutageBegan) {
      metrics.counter(MetricSpec.STORE_OUTAGES).inc();
    } else if (event instanceof EngineEvent.LeaseLost) {
      metrics.counter(MetricSpec.LEASES_LOST).inc();
    }
  }

  private static String label(Enum<?> e) {
    return e.name().toLowerCase(Locale.ROOT);
  }
}
