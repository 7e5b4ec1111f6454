package dev.dandelionport.node.process;

import dev.dandelionport.core.port.Timer;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs actions on an executor. A failing action is logged and does not affect other actions. */
public final class ExecutorTimer implements Timer {

  private final ScheduledExecutorService executor;

  /** Creates a timer on {@code executor}. */
  public ExecutorTimer(ScheduledExecutorService executor) {
    this.executor = executor;
  }

  @Override
  public void schedule(long delayMillis, Runnable action) {
    try {
      executor.schedule(() -> run(action), delayMillis, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      // The executor has been shut down because the process is stopping.
    }
  }

  private static void run(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      EventLog.log(LogEvent.ACTION_FAILED, e, Map.of());
    }
  }
}
