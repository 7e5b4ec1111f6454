package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Logs why steps have waited for long. The number of entries per second is limited, so that a
 * backlog neither floods the log nor takes up the owner's time; the content of an entry is computed
 * only when it is written.
 */
final class WaitLogger {

  /**
   * Waiting time after which a step gets its first log entry; each later one comes at twice the
   * waiting time.
   */
  private static final long FIRST_MILLIS = 2_000;

  /** Interval at which the waiting steps are scanned, in milliseconds. */
  private static final long SCAN_MILLIS = 500;

  /** Maximum number of log entries per second, over all steps. */
  private static final double MAX_ENTRIES_PER_SECOND = 5;

  /** Time for which unused log entries accumulate, in seconds. */
  private static final double BURST_SECONDS = 1;

  private final CellState cell;
  private final Placement placement;
  private final AdviceTracker advice;
  private final TokenBucket entryRate = new TokenBucket(BURST_SECONDS);
  private long nextScanMillis;

  WaitLogger(CellState cell, Placement placement, AdviceTracker advice) {
    this.cell = cell;
    this.placement = placement;
    this.advice = advice;
  }

  /** Logs the steps whose entry is due, longest waiting first, as far as the rate limit allows. */
  void logDueSteps() {
    if (cell.now < nextScanMillis) {
      return;
    }
    nextScanMillis = cell.now + SCAN_MILLIS;
    List<Step> due = dueSteps();
    int written = 0;
    while (written < due.size() && entryRate.tryTake(MAX_ENTRIES_PER_SECOND, cell.now)) {
      written++;
    }
    for (Step s : due.subList(0, written)) {
      s.nextWaitLogMillis = cell.now + Math.max(FIRST_MILLIS, cell.now - s.waitingSinceMillis);
      log(s, due.size() - written);
    }
  }

  private List<Step> dueSteps() {
    List<Step> due = new ArrayList<>();
    for (Step s : cell.ready) {
      if (s.countWaiting() == 0) {
        s.waitingSinceMillis = -1;
        continue;
      }
      if (s.waitingSinceMillis < 0) {
        s.waitingSinceMillis = s.wasPlaced() ? cell.now : s.readyMillis;
        s.nextWaitLogMillis = s.waitingSinceMillis + FIRST_MILLIS;
      }
      if (cell.now >= s.nextWaitLogMillis) {
        due.add(s);
      }
    }
    due.sort(Comparator.comparingLong(s -> s.waitingSinceMillis));
    return due;
  }

  private void log(Step s, int omitted) {
    Queue q = cell.queueOf(s);
    StepCapacity capacity = new StepCapacity(cell, placement, s, q);
    List<Object> fields = new ArrayList<>();
    add(fields, "step", s.key.toString());
    add(fields, "why", reason(s, q, capacity).text());
    add(fields, "waitedMillis", cell.now - s.waitingSinceMillis);
    add(fields, "acceptedAgoMillis", cell.wallMillis - s.workflow.acceptedWallMillis);
    add(fields, "dueInMillis", s.dueMillis - cell.now);
    add(fields, "queue", s.workflow.spec.queue());
    add(fields, "account", s.workflow.spec.account());
    add(fields, "size", s.spec.summary());
    add(fields, "waiting", s.countWaiting());
    add(fields, "rank", placement.rankName(s));
    add(fields, "priority", s.priority);
    add(fields, "overShare", cell.shares.isOver(s));
    add(fields, "reached", placement.wasReached(s));
    add(fields, "lookedAgoMillis", s.lastExaminedMillis < 0 ? -1 : cell.now - s.lastExaminedMillis);
    add(fields, "ceilingAllows", Math.min(cell.tasksBelowCeiling(s), s.spec.tasks()));
    add(fields, "asking", s.pendingAdviceCalls);
    add(fields, "askAgainInMillis", Math.max(0, s.nextAdviceMillis - cell.now));
    if (q != null && q.advice().isPresent()) {
      add(fields, "allowedPercent", Math.round(100 * advice.allowedFraction(q)));
    }
    add(fields, "localWaitLeftMillis", placement.locality().remainingMillis(s));
    capacity.addFields(fields);
    add(fields, "leftOut", omitted);
    cell.log(Topic.WAITING, fields.toArray());
  }

  static void add(List<Object> fields, String name, Object value) {
    fields.add(name);
    fields.add(value);
  }

  /**
   * Returns the first obstacle to starting a step, in the order in which the placement checks them.
   */
  private WaitReason reason(Step s, Queue q, StepCapacity capacity) {
    if (q == null) {
      return WaitReason.NO_QUEUE;
    }
    if (s.spec.gang() && s.hasRuns()) {
      return WaitReason.PREVIOUS_RUN_ACTIVE;
    }
    if (!s.hasStartable(cell.now)) {
      return WaitReason.RETRY_DELAY;
    }
    int needed = s.spec.gang() ? s.spec.tasks() : 1;
    if (cell.tasksBelowCeiling(s) < needed) {
      return WaitReason.ACCOUNT_CEILING;
    }
    if (!placement.wasReached(s)) {
      return WaitReason.NOT_REACHED;
    }
    if (capacity.usableRunners() == 0) {
      return WaitReason.NO_RUNNER;
    }
    if (capacity.fittingOnEmpty() < needed) {
      return WaitReason.TOO_LARGE;
    }
    if (capacity.fittingOnNotDenied() < needed) {
      return capacity.fittingWithHeadroom() < needed
          ? WaitReason.INSUFFICIENT_CAPACITY
          : WaitReason.RESERVED_FOR_URGENT;
    }
    return adviceReason(s, capacity, needed);
  }

  private WaitReason adviceReason(Step s, StepCapacity capacity, int needed) {
    if (capacity.fittingWithTicket() >= needed) {
      if (placement.locality().remainingMillis(s) > 0) {
        return WaitReason.LOCAL_PLACE;
      }
      return WaitReason.STARTABLE;
    }
    if (s.pendingAdviceCalls > 0) {
      return WaitReason.ADVICE_PENDING;
    }
    if (capacity.fittingOnAllowed() >= needed) {
      return WaitReason.NO_TICKET;
    }
    return WaitReason.ADVICE_NOT_REQUESTED;
  }
}
