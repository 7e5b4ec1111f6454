package dev.dandelionport.node.process;

import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.engine.InstanceEngine;
import dev.dandelionport.core.scheduler.SchedulerStats;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Metrics of the schedulers, read at each scrape and summed over the partitions served. */
final class SchedulerMetrics {

  private static final List<MetricSpec> LABELLED_GAUGES =
      List.of(
          MetricSpec.WAITING_TASKS,
          MetricSpec.RUNNING_TASKS,
          MetricSpec.PACKING,
          MetricSpec.TEAM_RUNNING,
          MetricSpec.SHARE_DEVIATION);

  private final InstanceEngine engine;
  private final InstanceMetrics metrics;

  SchedulerMetrics(InstanceEngine engine, InstanceMetrics metrics) {
    this.engine = engine;
    this.metrics = metrics;
  }

  /** Updates the gauges from the current scheduler statistics. */
  synchronized void refresh() {
    LABELLED_GAUGES.forEach(metrics::resetToZero);
    Map<PartitionId, SchedulerStats> all = engine.stats();
    all.forEach((p, s) -> metrics.set(MetricSpec.PACKING, s.utilization(), p.toString()));
    for (WorkloadClass c : WorkloadClass.values()) {
      String label = c.name().toLowerCase(Locale.ROOT);
      metrics.set(MetricSpec.WAITING_TASKS, sum(all, s -> s.waitingTasks().get(c)), label);
      metrics.set(MetricSpec.RUNNING_TASKS, sum(all, s -> s.runningTasks().get(c)), label);
    }
    metrics.set(MetricSpec.WORKERS_USABLE, sum(all, SchedulerStats::workersUsable));
    metrics.set(MetricSpec.WORKERS_HELD_BACK, sum(all, SchedulerStats::workersHeldBack));
    metrics.set(MetricSpec.PREEMPTIONS, sum(all, SchedulerStats::preemptions));
    metrics.set(MetricSpec.RETRIES, sum(all, SchedulerStats::retries));
    refreshTeams(all);
  }

  private void refreshTeams(Map<PartitionId, SchedulerStats> all) {
    Map<TeamId, Integer> running = new HashMap<>();
    Map<TeamId, Double> deviation = new HashMap<>();
    for (SchedulerStats s : all.values()) {
      s.teams()
          .forEach(
              (id, t) -> {
                running.merge(id, t.running(), Integer::sum);
                deviation.merge(id, t.deviation(), (a, b) -> Math.abs(a) > Math.abs(b) ? a : b);
              });
    }
    running.forEach((id, n) -> metrics.set(MetricSpec.TEAM_RUNNING, n, id.value()));
    deviation.forEach((id, x) -> metrics.set(MetricSpec.SHARE_DEVIATION, x, id.value()));
  }

  private static double sum(
      Map<PartitionId, SchedulerStats> all, ToDoubleFunction<SchedulerStats> f) {
    return all.values().stream().mapToDouble(f).sum();
  }
}
