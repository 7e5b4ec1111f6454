package dev.dandelionport.bench;

import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.scheduler.Effect;
import dev.dandelionport.core.scheduler.Event;
import dev.dandelionport.core.scheduler.PartitionScheduler;
import java.util.List;

/** Runs the {@link PartitionScheduler} of this project in the benchmarks. */
final class PartitionSchedulerAdapter implements BenchmarkScheduler {
  private final PartitionScheduler scheduler;

  PartitionSchedulerAdapter(Manifest manifest) {
    scheduler = new PartitionScheduler(new PartitionId("r", 0), 1, manifest, List.of());
  }

  @Override
  public List<Effect> handle(Event event, long now) {
    return scheduler.handle(event, now).effects();
  }

  @Override
  public long candidatesExamined() {
    return scheduler.stats().comparisons();
  }

  PartitionScheduler scheduler() {
    return scheduler;
  }
}
