package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Random workload of a queue in a simulated cell. Sizes are means of log-normal distributions.
 *
 * @param perSecond workflows per second
 * @param steps mean number of steps of a workflow, each depending on the previous one
 * @param width mean number of tasks of a step
 * @param widthSpread standard deviation of the logarithm of the width
 * @param milliCores mean size of a task
 * @param memoryMb mean size of a task
 * @param workMillis mean run time of a task
 * @param estimateSpread standard deviation of the logarithm of the stated estimate
 * @param checkpointFraction fraction of the steps whose tasks save checkpoints
 * @param slackFactor multiple of its critical path that a workflow may take
 * @param allowanceMillis time that a workflow may take in addition
 * @param value value earned by a workflow of mean size that is in time
 * @param advice cost of advice calls
 * @param allowedFraction fraction of the runners that may run a step
 */
record QueueLoad(
    String name,
    int priority,
    double perSecond,
    double steps,
    double width,
    double widthSpread,
    double milliCores,
    double memoryMb,
    double workMillis,
    double estimateSpread,
    boolean gang,
    double checkpointFraction,
    double slackFactor,
    long allowanceMillis,
    double value,
    Advice advice,
    double allowedFraction) {

  private static final double SIZE_SPREAD = 0.45;
  private static final double WORK_SPREAD = 0.5;

  /** Maximum of a sampled value, as a multiple of its mean; the width has its own maximum. */
  private static final double MAX_FACTOR = 2.5;

  private static final double MAX_WIDTH_FACTOR = 5;

  /** Number of runners in the advice call that the allowed time includes for each step. */
  private static final int RUNNERS_PER_CALL = 30;

  /**
   * Fraction of the value that does not depend on the work, and the maximum value as a multiple of
   * the mean.
   */
  private static final double FIXED_VALUE_FRACTION = 0.3;

  private static final double MAX_VALUE_FACTOR = 4;

  /** The steps of a workflow and the actual run time of the tasks of each step. */
  record Sample(List<StepSpec> steps, List<Double> workMillis) {}

  /** Returns the queue, whose steps may use all runners if it needs no advice. */
  Queue queue(boolean needsAdvice) {
    return new Queue(
        name,
        "host",
        "/" + name + "/",
        3_000,
        allowanceMillis,
        priority,
        "svc",
        5,
        slackFactor,
        needsAdvice ? Optional.of(advice) : Optional.empty(),
        false);
  }

  Sample sample(Random r) {
    int n = (int) steps + (r.nextDouble() < steps - (int) steps ? 1 : 0);
    List<StepSpec> specs = new ArrayList<>();
    List<Double> work = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      int tasks = (int) Math.max(1, Math.round(logNormal(r, width, widthSpread, MAX_WIDTH_FACTOR)));
      long cores = (long) logNormal(r, milliCores, SIZE_SPREAD, MAX_FACTOR);
      long memory = (long) logNormal(r, memoryMb, SIZE_SPREAD, MAX_FACTOR);
      double millis = logNormal(r, workMillis, WORK_SPREAD, MAX_FACTOR);
      long estimate = (long) Math.max(1, millis * Math.exp(estimateSpread * r.nextGaussian()));
      work.add(millis);
      specs.add(
          StepSpecs.step(
              tasks,
              new ResourceVector(0, 0, cores, memory, 0),
              estimate,
              i == 0 ? List.of() : List.of(i - 1),
              r.nextDouble() < checkpointFraction,
              gang));
    }
    return new Sample(specs, work);
  }

  private static double logNormal(Random r, double mean, double spread, double maxFactor) {
    double x = Math.exp(spread * r.nextGaussian() - spread * spread / 2);
    return mean * Math.min(maxFactor, x);
  }

  /** Returns the time within which a workflow earns its full value. */
  double allowedMillis(Sample d) {
    double criticalPathMillis = 0;
    for (double millis : d.workMillis()) {
      criticalPathMillis +=
          millis + advice.decideMillis() + RUNNERS_PER_CALL * advice.perRunnerMillis();
    }
    return allowanceMillis + slackFactor * criticalPathMillis;
  }

  /** Returns the value of a workflow in time, which grows with its work. */
  double valueOf(Sample d) {
    double size = 0;
    for (int i = 0; i < d.steps().size(); i++) {
      StepSpec s = d.steps().get(i);
      size += s.tasks() * s.size().milliCores() * d.workMillis().get(i);
    }
    double meanSize = steps * width * milliCores * workMillis;
    return value
        * Math.min(
            MAX_VALUE_FACTOR, FIXED_VALUE_FRACTION + (1 - FIXED_VALUE_FRACTION) * size / meanSize);
  }
}
