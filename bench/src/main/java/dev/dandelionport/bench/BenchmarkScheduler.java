package dev.dandelionport.bench;

import dev.dandelionport.core.scheduler.Effect;
import dev.dandelionport.core.scheduler.Event;
import java.util.List;

/** A scheduler that the benchmarks can run and compare. */
interface BenchmarkScheduler {

  /** Handles an event at time {@code now} and returns the effects to apply. */
  List<Effect> handle(Event event, long now);

  /** Returns the number of workers or ranges of workers that all placements have examined. */
  long candidatesExamined();
}
