package dev.dandelionport.core.engine;

import dev.dandelionport.core.scheduler.Event;
import java.util.function.BooleanSupplier;

/**
 * Passes events of the worker links to the scheduler of their partition.
 *
 * @param driver the partition's scheduler
 * @param closed returns whether the partition's host is closed
 * @param answered called when a worker has answered a sync
 */
record WorkerLinkCallbacks(SchedulerDriver driver, BooleanSupplier closed, Runnable answered)
    implements WorkerLinks.Callbacks {

  @Override
  public void handle(Event e) {
    driver.handle(e);
  }

  @Override
  public void afterCommit(Runnable action) {
    driver.afterCommit(action);
  }

  @Override
  public boolean isClosed() {
    return closed.getAsBoolean();
  }

  @Override
  public void workerAnswered() {
    answered.run();
  }
}
