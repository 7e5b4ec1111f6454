package dev.dandelionport.core.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Counts of the runs of a simulated cell, and of the quarantines of its runners. */
final class RunCounts {

  private final Set<String> faultyRunners = new HashSet<>();
  private final Map<String, Long> heldSince = new HashMap<>();

  /** Expected times of the runs that hang, by step and run number. */
  private final Map<String, Double> hungRuns = new HashMap<>();

  int starts;
  int lost;

  /** Stops of runs that would have ended by themselves. */
  int goodStops;

  /** Core time that these stops discarded, without the checkpoints. */
  long discardedMillis;

  long heldGoodMillis;
  long longestHeldGoodMillis;
  long heldFaultyMillis;

  /** Times after which runs that hang were stopped, as multiples of their expected times. */
  final List<Double> hungFactors = new ArrayList<>();

  private final long warmUpMillis;

  /** Creates counts; the hung runs that are stopped in the warm-up time do not count. */
  RunCounts(long warmUpMillis) {
    this.warmUpMillis = warmUpMillis;
  }

  /** Marks a runner as one that hangs some of its tasks. */
  void addFaultyRunner(String runner) {
    faultyRunners.add(runner);
  }

  /** Records a start; a run that hangs does so with all members of its gang. */
  void addStart(WorkflowEffect.Start s, boolean hangs, boolean gang, double expectedMillis) {
    starts++;
    if (hangs) {
      hungRuns.put(key(s.task(), s.run(), gang), expectedMillis);
    }
  }

  private static String key(TaskKey t, int run, boolean gang) {
    return t.workflow() + t.step() + (gang ? "" : "." + t.index()) + '#' + run;
  }

  /** Records a run that its runner lost. */
  void addLost() {
    lost++;
  }

  /** Handles a log entry of the scheduler. */
  void handle(WorkflowEffect.LogEntry l, long now) {
    Map<String, Object> fields = new HashMap<>();
    for (int i = 0; i < l.fields().size(); i += 2) {
      fields.put(l.fields().get(i).toString(), l.fields().get(i + 1));
    }
    if (l.topic() == WorkflowEffect.Topic.STOPPED && fields.containsKey("faultPercent")) {
      String[] task = fields.get("task").toString().split("\\.");
      TaskKey key = new TaskKey(task[0], 0, Integer.parseInt(task[2]), Integer.parseInt(task[3]));
      addStuckStop(key, (int) fields.get("run"), (long) fields.get("ranMillis"), now);
    } else if (l.topic() == WorkflowEffect.Topic.RUNNER_HELD) {
      addHeld(fields.get("runner").toString(), (boolean) fields.get("held"), now);
    }
  }

  private void addStuckStop(TaskKey t, int run, long ranMillis, long now) {
    Double expected = hungRuns.getOrDefault(key(t, run, false), hungRuns.get(key(t, run, true)));
    if (expected == null) {
      goodStops++;
      discardedMillis += ranMillis;
    } else if (now >= warmUpMillis) {
      hungFactors.add(ranMillis / expected);
    }
  }

  private void addHeld(String runner, boolean held, long now) {
    if (held) {
      heldSince.putIfAbsent(runner, now);
      return;
    }
    Long since = heldSince.remove(runner);
    long millis = since == null ? 0 : now - since;
    if (faultyRunners.contains(runner)) {
      heldFaultyMillis += millis;
    } else {
      heldGoodMillis += millis;
      longestHeldGoodMillis = Math.max(longestHeldGoodMillis, millis);
    }
  }

  /** Adds the counts of another simulation. */
  void add(RunCounts c) {
    starts += c.starts;
    lost += c.lost;
    goodStops += c.goodStops;
    discardedMillis += c.discardedMillis;
    heldGoodMillis += c.heldGoodMillis;
    longestHeldGoodMillis = Math.max(longestHeldGoodMillis, c.longestHeldGoodMillis);
    heldFaultyMillis += c.heldFaultyMillis;
    hungFactors.addAll(c.hungFactors);
  }

  /** Returns a quantile of the times after which runs that hang were stopped. */
  double hungFactor(double quantile) {
    List<Double> sorted = hungFactors.stream().sorted().toList();
    return sorted.isEmpty() ? 0 : sorted.get((int) (quantile * (sorted.size() - 1)));
  }

  @Override
  public String toString() {
    return String.format(
        "starts=%d lost=%d goodStops=%d discarded=%dms hungStops=%d p50=%.1f p95=%.1f max=%.1f"
            + " heldGood=%dms longest=%dms heldFaulty=%dms",
        starts,
        lost,
        goodStops,
        discardedMillis,
        hungFactors.size(),
        hungFactor(0.5),
        hungFactor(0.95),
        hungFactor(1),
        heldGoodMillis,
        longestHeldGoodMillis,
        heldFaultyMillis);
  }
}
