package dev.dandelionport.bench;

import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/** Prints policy figures next to their targets and to those of a first-fit baseline. */
public final class PolicyBenchmark {
  private static final List<Integer> SEEDS = List.of(1, 2, 3);

  private PolicyBenchmark() {}

  /**
   * Runs all scenarios. Every figure is a count or a virtual time, so the output is the same in
   * each run.
   */
  public static void main(String[] args) {
    print("%-58s %14s %12s %12s", "figure", "target", "dandelionport", "first fit");
    printCandidates();
    // The outage scenarios use one partition of the design size. The overload scenario uses a small
    // cell so that the baseline, whose cost per step grows with its queue, finishes in time.
    for (Scenario.Outage o : Scenario.Outage.values()) {
      if (o != Scenario.Outage.NONE) {
        printOutage(o);
      }
    }
    printOverload(new Scenario(60, 240, 1.6, Scenario.Outage.NONE, true, 2));
    OwnerLoad.print();
  }

  private static void printCandidates() {
    double smallestCell = 0;
    for (int workers : new int[] {30, 300, 1_500}) {
      Scenario s = candidateScenario(workers);
      Measurements scheduler = runScheduler(s);
      Measurements baseline = runBaseline(s);
      smallestCell = smallestCell == 0 ? scheduler.candidatesPerPlacement() : smallestCell;
      String target =
          String.format(Locale.ROOT, "<= %.1f", smallestCell * Math.log(workers) / Math.log(30));
      printRow(
          "candidates per placement, " + workers + " workers",
          target,
          scheduler.candidatesPerPlacement(),
          baseline.candidatesPerPlacement());
    }
  }

  static Scenario candidateScenario(int workers) {
    return new Scenario(workers, 60, 0.85, Scenario.Outage.NONE, false, 3);
  }

  /** Prints worst and mean figures over several seeds, so that none depends on a single seed. */
  private static void printOutage(Scenario.Outage o) {
    print("85%% load, wrong declared run times, a failing worker, %s, seeds %s:", o, SEEDS);
    List<Measurements> scheduler = runSeeds(o, PolicyBenchmark::runScheduler);
    List<Measurements> baseline = runSeeds(o, PolicyBenchmark::runBaseline);
    printRow(
        "  urgent waiting time p99, ms",
        "<= 4600",
        maxUrgentWait(scheduler),
        maxUrgentWait(baseline));
    printRow(
        "  deferrable deadlines met, worst seed",
        "",
        min(scheduler, Measurements::deadlinesMet),
        min(baseline, Measurements::deadlinesMet));
    printRow(
        "  deferrable deadlines met, mean",
        "",
        mean(scheduler, Measurements::deadlinesMet),
        mean(baseline, Measurements::deadlinesMet));
    printRow(
        "  slot-seconds completed while away, mean",
        "",
        mean(scheduler, m -> m.slotSecondsDuringOutage),
        mean(baseline, m -> m.slotSecondsDuringOutage));
    printRow(
        "  slot-seconds completed in total, mean",
        "",
        mean(scheduler, m -> m.slotSecondsTotal),
        mean(baseline, m -> m.slotSecondsTotal));
    print("  missed deadlines by cause: %s", causes(scheduler));
    print("  of first fit: %s", causes(baseline));
  }

  private static List<Measurements> runSeeds(
      Scenario.Outage o, Function<Scenario, Measurements> runScenario) {
    return SEEDS.parallelStream()
        .map(seed -> runScenario.apply(new Scenario(190, 300, 0.85, o, true, seed)))
        .toList();
  }

  private static double maxUrgentWait(List<Measurements> runs) {
    return runs.stream().mapToDouble(m -> urgentWait(m, 99)).max().orElseThrow();
  }

  private static double min(List<Measurements> runs, ToDoubleFunction<Measurements> figure) {
    return runs.stream().mapToDouble(figure).min().orElseThrow();
  }

  private static double mean(List<Measurements> runs, ToDoubleFunction<Measurements> figure) {
    return runs.stream().mapToDouble(figure).average().orElseThrow();
  }

  private static Map<MissedDeadlines.Cause, Integer> causes(List<Measurements> runs) {
    Map<MissedDeadlines.Cause, Integer> counts = new EnumMap<>(MissedDeadlines.Cause.class);
    runs.forEach(m -> m.missedByCause.forEach((c, k) -> counts.merge(c, k, Integer::sum)));
    return counts;
  }

  private static void printOverload(Scenario s) {
    print("160%% load, a failing worker:");
    Measurements scheduler = runScheduler(s);
    Measurements baseline = runBaseline(s);
    printUrgentWaits(scheduler, baseline);
    printRow(
        "  worst team's distance from its share",
        "<= 0.05",
        scheduler.worstShareDeviation,
        baseline.worstShareDeviation);
    printRow(
        "  mean distance from the share",
        "",
        scheduler.meanShareDeviation,
        baseline.meanShareDeviation);
    printRow("  packing (dominant resource in use)", "", scheduler.packing, baseline.packing);
    printRow("  deferrable deadlines met", "", scheduler.deadlinesMet(), baseline.deadlinesMet());
    printRow(
        "  slot-seconds completed in total",
        "",
        scheduler.slotSecondsTotal,
        baseline.slotSecondsTotal);
  }

  private static void printUrgentWaits(Measurements scheduler, Measurements baseline) {
    printRow(
        "  urgent waiting time p50, ms", "", urgentWait(scheduler, 50), urgentWait(baseline, 50));
    printRow(
        "  urgent waiting time p99, ms",
        "<= 4600",
        urgentWait(scheduler, 99),
        urgentWait(baseline, 99));
    printRow(
        "  urgent work that never started",
        "",
        (double) scheduler.urgentNeverStarted / scheduler.urgentSubmitted,
        (double) baseline.urgentNeverStarted / baseline.urgentSubmitted);
  }

  private static double urgentWait(Measurements m, double percentile) {
    return m.urgentWaitMillis.getValueAtPercentile(percentile);
  }

  static Measurements runScheduler(Scenario s) {
    return new CellSimulator(s, new PartitionSchedulerAdapter(s.manifest())).run();
  }

  static Measurements runBaseline(Scenario s) {
    return new CellSimulator(s, new FirstFitScheduler(s.manifest())).run();
  }

  static void printRow(String name, String target, double scheduler, double baseline) {
    print("%-58s %14s %12.3f %12.3f", name, target, scheduler, baseline);
  }

  static void print(String format, Object... args) {
    System.out.println(String.format(Locale.ROOT, format, args));
  }
}
