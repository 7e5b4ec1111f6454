package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.workflow.TaskKey;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Queue of start and stop orders to one runner. Limits the number of orders in flight and sends
 * stops before starts. Guarded by the owner's shard.
 */
final class RunnerOrders {

  /**
   * Maximum number of orders in flight to the runner. Each uses its own connection: a new owner
   * that opened one for every start of a batch was busy with that for seconds.
   */
  private static final int MAX_IN_FLIGHT = 3;

  /** Sends a stop; {@link #orderCompleted} must be called when it is answered or fails. */
  @FunctionalInterface
  interface StopSender {
    void send(TaskKey task, int run);
  }

  /**
   * Sends a start unless it is rejected beforehand. Returns whether it was sent; if so, {@link
   * #orderCompleted} must be called when it is answered or fails.
   */
  @FunctionalInterface
  interface StartSender {
    boolean send(TaskKey task, int run);
  }

  /** Identifies a run of a task. */
  private record RunKey(TaskKey task, int run) {}

  private final CallLimiter limiter;
  private final CallLimiter.Sender turn = this::sendWaiting;
  private final StopSender stopSender;
  private final StartSender startSender;
  private final BooleanSupplier mayStart;

  /** Stops that wait for an order in flight to complete, the oldest first, one for each run. */
  private final Set<RunKey> stops = new LinkedHashSet<>();

  /** Starts that wait for an order in flight to complete or for permission to start. */
  private final Deque<RunKey> starts = new ArrayDeque<>();

  private int inFlight;

  /**
   * Creates an empty queue; starts wait for as long as {@code mayStart} returns false.
   *
   * @param limiter limits the orders to all runners
   */
  RunnerOrders(
      CallLimiter limiter,
      StopSender stopSender,
      StartSender startSender,
      BooleanSupplier mayStart) {
    this.limiter = limiter;
    this.stopSender = stopSender;
    this.startSender = startSender;
    this.mayStart = mayStart;
  }

  /** Returns how many orders wait for an order in flight to complete. */
  int waiting() {
    return stops.size() + starts.size();
  }

  /** Returns whether starts wait to be sent. */
  boolean hasStarts() {
    return !starts.isEmpty();
  }

  /** Enqueues a start behind all waiting orders. */
  void start(TaskKey task, int run) {
    starts.add(new RunKey(task, run));
    sendWaiting();
  }

  /** Enqueues a stop ahead of waiting starts, unless a stop for the run is already waiting. */
  void stop(TaskKey task, int run) {
    stops.add(new RunKey(task, run));
    sendWaiting();
  }

  /** Records that an order in flight was answered or has failed, and sends the next ones. */
  void orderCompleted(long sentMillis, long nowMillis, boolean answered) {
    inFlight--;
    limiter.completed(sentMillis, nowMillis, answered);
    sendWaiting();
  }

  /** Discards all waiting orders. */
  void clear() {
    stops.clear();
    starts.clear();
  }

  /**
   * Passes all waiting starts to the sender without waiting for the stops before them, which an
   * unresponsive runner does not answer.
   */
  void rejectWaitingStarts() {
    while (!starts.isEmpty()) {
      // The scheduler rejects each start, because the runner is unresponsive.
      sendNextStart();
    }
  }

  /** Sends waiting orders up to the limit of orders in flight. */
  void sendWaiting() {
    while (inFlight < MAX_IN_FLIGHT && waiting() > 0) {
      if (stops.isEmpty() && !mayStart.getAsBoolean() || !limiter.admits(turn, !stops.isEmpty())) {
        return;
      }
      if (stops.isEmpty()) {
        sendNextStart();
      } else {
        RunKey first = stops.iterator().next();
        stops.remove(first);
        inFlight++;
        limiter.sent();
        stopSender.send(first.task(), first.run());
      }
    }
  }

  private void sendNextStart() {
    RunKey first = starts.poll();
    if (startSender.send(first.task(), first.run())) {
      inFlight++;
      limiter.sent();
    }
  }
}
