package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.workflow.CellLoad;
import dev.dandelionport.core.workflow.WorkflowScheduler;
import java.util.Collection;
import java.util.concurrent.TimeUnit;

/** Measures how busy an owner is, and what waits for what. Guarded by the owner's shard. */
final class OwnerLoad {

  private final DispatchContext context;
  private final WorkflowScheduler scheduler;
  private final AdviceLanes lanes;
  private final Collection<RunnerLink> links;
  private final Times passes = new Times();
  private final Times lags = new Times();
  private long tickDueMillis = Long.MAX_VALUE;
  private long takenMillis;

  /** Sum, number and largest of some times, in nanoseconds. */
  private static final class Times {
    private long sum;
    private long count;
    private long longest;

    void add(long nanos) {
      sum += nanos;
      count++;
      longest = Math.max(longest, nanos);
    }

    double meanMillis() {
      return millis(sum / Math.max(1, count));
    }

    double longestMillis() {
      return millis(longest);
    }

    /** Returns a time in milliseconds with one decimal. */
    private static double millis(long nanos) {
      return TimeUnit.NANOSECONDS.toMicros(nanos) / 100 / 10.0;
    }

    void clear() {
      sum = 0;
      count = 0;
      longest = 0;
    }
  }

  /** Creates a measure; {@code links} shows the links there are at any time. */
  OwnerLoad(
      DispatchContext context,
      WorkflowScheduler scheduler,
      AdviceLanes lanes,
      Collection<RunnerLink> links) {
    this.context = context;
    this.scheduler = scheduler;
    this.lanes = lanes;
    this.links = links;
    this.takenMillis = context.nowMillis();
  }

  /** Notes that a pass took some time. */
  void passed(long nanos) {
    passes.add(nanos);
  }

  /** Notes that the owner's timer is to run after a while. */
  void tickIn(long millis) {
    tickDueMillis = context.nowMillis() + millis;
  }

  /** Notes that the owner's timer runs. */
  void ticked() {
    if (tickDueMillis != Long.MAX_VALUE) {
      long late = Math.max(0, context.nowMillis() - tickDueMillis);
      lags.add(TimeUnit.MILLISECONDS.toNanos(late));
    }
  }

  /** Returns the figures by name and starts to count anew. */
  Object[] take(long token, boolean open, int early, JournalBacklog journal) {
    int waiting = 0;
    int most = 0;
    int holds = 0;
    for (RunnerLink l : links) {
      waiting += l.ordersWaiting();
      most = Math.max(most, l.ordersWaiting());
      holds += l.isHolding() ? 1 : 0;
    }
    final long now = context.nowMillis();
    final CellLoad cell = scheduler.load();
    final CellLoad.RunnerCounts runners = cell.runners();
    final AdviceLanes.Counts advice = lanes.counts();
    final Object[] fields = {
      "token", token,
      "open", open,
      "millis", now - takenMillis,
      "waitingSteps", cell.waitingSteps().toString(),
      "waitingTasks", cell.waitingTasks(),
      "runs", cell.runs().toString(),
      "coresUsedPercent", cell.coresUsedPercent(),
      "listed", runners.listed(),
      "answered", runners.confirmed(),
      "silent", runners.unreachable(),
      "held", runners.quarantined(),
      "draining", runners.draining(),
      "gone", runners.unlisted(),
      "passes", cell.passes().passes(),
      "passMaxMillis", passes.longestMillis(),
      "passMeanMillis", passes.meanMillis(),
      "looked", cell.passes().examinedSteps(),
      "cutOff", cell.passes().skippedSteps(),
      "cutOffMost", cell.passes().maxSkippedSteps(),
      "journalBatches", journal.batches(),
      "journalRecords", journal.records(),
      "journalOldestMillis", journal.oldestMillis(),
      "ordersWaiting", waiting,
      "ordersMost", most,
      "holds", holds,
      "adviceBusy", advice.busy(),
      "adviceFree", advice.free(),
      "adviceFailed", advice.failed(),
      "early", early,
      "lagMaxMillis", lags.longestMillis(),
      "lagMeanMillis", lags.meanMillis()
    };
    takenMillis = now;
    passes.clear();
    lags.clear();
    return fields;
  }
}
