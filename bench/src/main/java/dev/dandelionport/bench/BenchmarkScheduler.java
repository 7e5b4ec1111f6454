package dev.dandelionport.bench;

import dev.dandelionport.core.scheduler.Effect;
import dev.dandelionport.core.scheduler.Event;
import java.util.List;

/** A scheduler under test. */
interface BenchmarkScheduler {

  /** Handles an event at {@code now} and returns what is to be done. */
  List<Effect> handle(Event event, long now);

  /** Returns how many candidates all placements have examined. */
  long candidatesExamined();
}
