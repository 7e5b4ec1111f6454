package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * What arrives at a queue of a simulated cell. Sizes are means of log-normal distributions.
 *
 * @param perSecond workflows a second
 * @param steps steps of a workflow, one after the other
 * @param width tasks of a step
 * @param widthSpread standard deviation of the logarithm of the width
 * @param milliCores size of a task
 * @param memoryMb size of a task
 * @param workMillis time that a task takes
 * @param estimateSpread standard deviation of the logarithm of the stated estimate
 * @param saves part of the steps whose tasks save their progress
 * @param slack how many times its chain of work a workflow may take
 * @param goalMillis time that a workflow may take beyond that
 * @param worth worth of a workflow of mean size
 * @param advice what a call for advice costs
 * @param allowed part of the runners that may run a step
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
    double saves,
    double slack,
    long goalMillis,
    double worth,
    Advice advice,
    double allowed) {

  private static final double SIZE_SPREAD = 0.45;
  private static final double WORK_SPREAD = 0.5;

  /** Largest value drawn, in multiples of the mean; of the width, of its mean. */
  private static final double MOST = 2.5;

  private static final double MOST_WIDTH = 5;

  /** Runners in the call for advice that the allowed time of each step counts. */
  private static final int ADVISED_RUNNERS = 30;

  /** Part of the worth that does not depend on the work, and the largest worth. */
  private static final double FIXED_WORTH = 0.3;

  private static final double MOST_WORTH = 4;

  /** The steps of a workflow and the time that each of their tasks really takes. */
  record Drawn(List<StepSpec> steps, List<Double> workMillis) {}

  Queue queue() {
    return new Queue(
        name,
        "host",
        "/" + name + "/",
        3_000,
        goalMillis,
        priority,
        "svc",
        5,
        slack,
        Optional.of(advice),
        false);
  }

  Drawn draw(Random r) {
    int n = (int) steps + (r.nextDouble() < steps - (int) steps ? 1 : 0);
    List<StepSpec> specs = new ArrayList<>();
    List<Double> work = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      int tasks = (int) Math.max(1, Math.round(around(r, width, widthSpread, MOST_WIDTH)));
      long cores = (long) around(r, milliCores, SIZE_SPREAD, MOST);
      long memory = (long) around(r, memoryMb, SIZE_SPREAD, MOST);
      double millis = around(r, workMillis, WORK_SPREAD, MOST);
      long estimate = (long) Math.max(1, millis * Math.exp(estimateSpread * r.nextGaussian()));
      work.add(millis);
      specs.add(
          new StepSpec(
              tasks,
              new ResourceVector(0, 0, cores, memory, 0),
              estimate,
              i == 0 ? List.of() : List.of(i - 1),
              r.nextDouble() < saves,
              gang,
              false,
              "",
              "",
              0,
              false,
              false,
              false,
              "",
              0,
              0));
    }
    return new Drawn(specs, work);
  }

  private static double around(Random r, double mean, double spread, double most) {
    double x = Math.exp(spread * r.nextGaussian() - spread * spread / 2);
    return mean * Math.min(most, x);
  }

  /** Returns the time within which a workflow earns its whole worth. */
  double allowedMillis(Drawn d) {
    double chain = 0;
    for (double millis : d.workMillis()) {
      chain += millis + advice.decideMillis() + ADVISED_RUNNERS * advice.perRunnerMillis();
    }
    return goalMillis + slack * chain;
  }

  double worth(Drawn d) {
    double size = 0;
    for (int i = 0; i < d.steps().size(); i++) {
      StepSpec s = d.steps().get(i);
      size += s.tasks() * s.size().milliCores() * d.workMillis().get(i);
    }
    double usual = steps * width * milliCores * workMillis;
    return worth * Math.min(MOST_WORTH, FIXED_WORTH + (1 - FIXED_WORTH) * size / usual);
  }
}
