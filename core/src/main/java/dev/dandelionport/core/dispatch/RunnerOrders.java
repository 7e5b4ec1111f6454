package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.workflow.TaskKey;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Orders to one runner: bounds how many are under way, and sends stops before starts. Guarded by
 * the owner's shard.
 */
final class RunnerOrders {

  /**
   * Most orders under way to the runner. Each needs a connection of its own, and a new owner that
   * opened one for every start of a batch was busy with that for seconds.
   */
  private static final int MAX_IN_FLIGHT = 3;

  /** Sends a stop; {@link #orderCompleted} must be called with its answer. */
  @FunctionalInterface
  interface StopSender {
    void send(TaskKey task, int run);
  }

  /**
   * Sends a start unless it is refused before; returns whether it was sent, and {@link
   * #orderCompleted} must then be called with its answer.
   */
  @FunctionalInterface
  interface StartSender {
    boolean send(TaskKey task, int run);
  }

  /** A run of a task. */
  private record RunKey(TaskKey task, int run) {}

  private final StopSender stopSender;
  private final StartSender startSender;

  /** Stops that wait for an order under way to be answered, the oldest first, one for each run. */
  private final Set<RunKey> stops = new LinkedHashSet<>();

  /** Starts that wait for an order under way to be answered. */
  private final Deque<RunKey> starts = new ArrayDeque<>();

  private int inFlight;

  RunnerOrders(StopSender stopSender, StartSender startSender) {
    this.stopSender = stopSender;
    this.startSender = startSender;
  }

  /** Returns how many orders wait for one under way to be answered. */
  int waiting() {
    return stops.size() + starts.size();
  }

  /** Sends a start after all orders that wait. */
  void start(TaskKey task, int run) {
    starts.add(new RunKey(task, run));
    sendWaiting();
  }

  /** Sends a stop, before starts that wait, unless one for the run waits already. */
  void stop(TaskKey task, int run) {
    stops.add(new RunKey(task, run));
    sendWaiting();
  }

  /** Notes that an order under way was answered or has failed. */
  void orderCompleted() {
    inFlight--;
    sendWaiting();
  }

  /** Forgets what waits. */
  void clear() {
    stops.clear();
    starts.clear();
  }

  /** Gives up the starts that wait behind stops which a silent runner does not answer. */
  void rejectWaitingStarts() {
    while (!starts.isEmpty()) {
      // The scheduler refuses each of them, because the runner is silent.
      sendNextStart();
    }
  }

  private void sendWaiting() {
    while (inFlight < MAX_IN_FLIGHT && waiting() > 0) {
      if (stops.isEmpty()) {
        sendNextStart();
      } else {
        RunKey first = stops.iterator().next();
        stops.remove(first);
        inFlight++;
        stopSender.send(first.task(), first.run());
      }
    }
  }

  private void sendNextStart() {
    RunKey first = starts.poll();
    if (startSender.send(first.task(), first.run())) {
      inFlight++;
    }
  }
}
