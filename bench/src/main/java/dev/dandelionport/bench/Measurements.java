package dev.dandelionport.bench;

import java.util.Map;
import org.HdrHistogram.Histogram;

/** Results of one simulated run of a scenario. */
final class Measurements {
  final Histogram urgentWaitMillis = new Histogram(3);
  long placements;
  long candidates;
  long urgentSubmitted;
  long urgentNeverStarted;
  long deferrableSubmitted;
  long deferrableInTime;

  /** Deferrable jobs that missed their deadline, by cause. */
  Map<MissedDeadlines.Cause, Integer> missedByCause = Map.of();

  double slotSecondsDuringOutage;
  double slotSecondsTotal;
  double packing;
  double worstShareDeviation;
  double meanShareDeviation;

  double candidatesPerPlacement() {
    return placements == 0 ? 0 : (double) candidates / placements;
  }

  double deadlinesMet() {
    return deferrableSubmitted == 0 ? 1 : (double) deferrableInTime / deferrableSubmitted;
  }
}
