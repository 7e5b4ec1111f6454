package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.workflow.CellLoad;
import dev.dandelionport.core.workflow.WorkflowScheduler;
import java.util.concurrent.TimeUnit;

/**
 * Measures the load of an owner: durations, timer lag, and work that waits. Guarded by the owner's
 * shard.
 */
final class OwnerLoad {

  private final DispatchContext context;
  private final WorkflowScheduler scheduler;
  private final AdviceDispatcher adviceDispatcher;
  private final RunnerLinks links;
  private final DurationStats passDurations = new DurationStats();
  private final DurationStats timerLags = new DurationStats();
  private long tickDueMillis = Long.MAX_VALUE;
  private long periodStartMillis;

  /** Sum, count and maximum of durations, in nanoseconds. */
  private static final class DurationStats {
    private long sum;
    private long count;
    private long max;

    void add(long nanos) {
      sum += nanos;
      count++;
      max = Math.max(max, nanos);
    }

    double meanMillis() {
      return toMillis(sum / Math.max(1, count));
    }

    double maxMillis() {
      return toMillis(max);
    }

    /** Converts nanoseconds to milliseconds with one decimal. */
    private static double toMillis(long nanos) {
      return TimeUnit.NANOSECONDS.toMicros(nanos) / 100 / 10.0;
    }

    void reset() {
      sum = 0;
      count = 0;
      max = 0;
    }
  }

  /** Creates a load measurement; {@code links} are the links to all runners. */
  OwnerLoad(
      DispatchContext context,
      WorkflowScheduler scheduler,
      AdviceDispatcher adviceDispatcher,
      RunnerLinks links) {
    this.context = context;
    this.scheduler = scheduler;
    this.adviceDispatcher = adviceDispatcher;
    this.links = links;
    this.periodStartMillis = context.nowMillis();
  }

  /** Records the duration of a placement pass. */
  void recordPass(long nanos) {
    passDurations.add(nanos);
  }

  /** Records that the owner's timer is due after a delay. */
  void tickScheduled(long delayMillis) {
    tickDueMillis = context.nowMillis() + delayMillis;
  }

  /** Records that the owner's timer runs, and measures its lag. */
  void tickStarted() {
    if (tickDueMillis != Long.MAX_VALUE) {
      long late = Math.max(0, context.nowMillis() - tickDueMillis);
      timerLags.add(TimeUnit.MILLISECONDS.toNanos(late));
    }
  }

  /** Returns the measured values as alternating names and values, and starts a new period. */
  Object[] collectAndReset(long token, boolean open, int queuedCalls, JournalBacklog journal) {
    int waiting = 0;
    int maxWaiting = 0;
    int holds = 0;
    for (RunnerLink l : links.all()) {
      waiting += l.ordersWaiting();
      maxWaiting = Math.max(maxWaiting, l.ordersWaiting());
      holds += l.isCallPending() ? 1 : 0;
    }
    final long now = context.nowMillis();
    final CellLoad cell = scheduler.load();
    final CellLoad.RunnerCounts runners = cell.runners();
    final AdviceDispatcher.Counts advice = adviceDispatcher.counts();
    final Object[] fields = {
      "token", token,
      "open", open,
      "millis", now - periodStartMillis,
      "waitingSteps", cell.waitingSteps().toString(),
      "waitingTasks", cell.waitingTasks(),
      "runs", cell.runs().toString(),
      "coresUsedPercent", cell.coresUsedPercent(),
      "accountsOverShare", cell.accountsOverShare(),
      "listed", runners.listed(),
      "answered", runners.confirmed(),
      "silent", runners.unresponsive(),
      "held", runners.quarantined(),
      "draining", runners.draining(),
      "undescribed", runners.undescribed(),
      "gone", runners.unlisted(),
      "passes", cell.passes().passes(),
      "passMaxMillis", passDurations.maxMillis(),
      "passMeanMillis", passDurations.meanMillis(),
      "looked", cell.passes().examinedSteps(),
      "cutOff", cell.passes().skippedSteps(),
      "cutOffMost", cell.passes().maxSkippedSteps(),
      "placedLocal", cell.locality().local(),
      "placedRemote", cell.locality().remote(),
      "localWaits", cell.locality().waits(),
      "localWaitMillis", cell.locality().waitedMillis(),
      "journalBatches", journal.batches(),
      "journalRecords", journal.records(),
      "journalOldestMillis", journal.oldestMillis(),
      "ordersWaiting", waiting,
      "ordersMost", maxWaiting,
      "ordersLimit", links.orders().limit(),
      "firstCallsLimit", links.firstCalls().limit(),
      "firstCallsWaiting", links.firstCalls().waiting(),
      "holds", holds,
      "adviceBusy", advice.busy(),
      "adviceFree", advice.free(),
      "adviceFailed", advice.failed(),
      "early", queuedCalls,
      "refused", cell.refused(),
      "returning", cell.returning(),
      "lagMaxMillis", timerLags.maxMillis(),
      "lagMeanMillis", timerLags.meanMillis()
    };
    periodStartMillis = now;
    passDurations.reset();
    timerLags.reset();
    return fields;
  }
}
