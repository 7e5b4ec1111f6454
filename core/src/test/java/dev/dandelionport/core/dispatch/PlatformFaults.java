package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.Recurrence;
import dev.dandelionport.core.workflow.StepKey;
import dev.dandelionport.core.workflow.StepSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/** Generates random work and random faults for a {@link PlatformCluster}. */
final class PlatformFaults {

  /** Id of the workflow whose tasks run until the end of the test. */
  static final String LONG_RUNNING = "lasting";

  /** Number of kinds to draw from; most of them inject nothing. */
  private static final int FAULT_KINDS = 70;

  /** Kinds that are planned changes, or affect only runners, queues and clients. */
  private static final Set<Integer> PLANNED_KINDS =
      Set.of(8, 9, 10, 11, 12, 13, 14, 15, 22, 23, 24, 25, 29, 30, 31, 32, 33);

  /** Longest duration of a fault, in milliseconds. */
  private static final int MAX_FAULT_MILLIS = 9_000;

  private final PlatformCluster cell;
  private final Random random;

  /**
   * Second random source for features added later, so that existing seeds still produce the same
   * faults.
   */
  private final Random extraRandom;

  private final boolean plannedOnly;
  private int submitted;

  /**
   * Creates a generator of work and faults.
   *
   * @param plannedOnly whether instances, store and connections stay free of faults, so that
   *     invariants with a time bound hold
   */
  PlatformFaults(PlatformCluster cell, long seed, boolean plannedOnly) {
    this.cell = cell;
    this.random = new Random(seed);
    this.extraRandom = new Random(~seed);
    this.plannedOnly = plannedOnly;
  }

  private void recordFault(String description, long durationMillis) {
    cell.trace.add(cell.time.nowMillis() + " FAULT " + description + " " + durationMillis);
    if (!plannedOnly) {
      cell.invariants.lastFaultEndMillis =
          Math.max(cell.invariants.lastFaultEndMillis, cell.time.nowMillis() + durationMillis);
    }
  }

  private void schedule(long millis, Runnable action) {
    cell.time.afterMillis(millis, action);
  }

  /** Submits a random workflow through a random instance. */
  void submit() {
    if (cell.cluster.nodes.isEmpty()) {
      return;
    }
    String id = "w" + submitted++;
    String account = random.nextInt(3) == 0 ? "b" : "a";
    String queue =
        List.of(PlatformCluster.URGENT, PlatformCluster.WITH_ADVICE, PlatformCluster.BATCH)
            .get(random.nextInt(3));
    List<StepSpec> steps = new ArrayList<>();
    steps.add(randomStep(id, queue, account, 0));
    if (random.nextInt(3) == 0) {
      steps.add(
          StepSpecs.of(1 + random.nextInt(3), new ResourceVector(0, 0, 1_000, 100, 0), 400, 0));
    }
    boolean moveToBatch = !queue.equals(PlatformCluster.WITH_ADVICE);
    for (int i = 0; i < steps.size(); i++) {
      moveToBatch |= cell.allowedRunners(new StepKey(id, 0, i)) == 0;
    }
    if (moveToBatch && queue.equals(PlatformCluster.WITH_ADVICE)) {
      queue = PlatformCluster.BATCH;
    }
    steps.set(0, withPlacementConstraint(steps.get(0)));
    Recurrence recurrence = Recurrence.ONCE;
    if (extraRandom.nextInt(8) == 0) {
      recurrence = new Recurrence(cell.time.nowMillis() + extraRandom.nextInt(4_000), 1_500, 3);
    }
    cell.submit(
        cell.cluster.anyNode(),
        id,
        new PlatformInvariants.Submitted(queue, account, steps, recurrence));
  }

  /** Submits tasks that run until the end of the test. */
  void submitLongRunning() {
    StepSpec step = StepSpecs.longRunning(3, new ResourceVector(0, 0, 100, 100, 0));
    cell.submit(cell.cluster.anyNode(), LONG_RUNNING, PlatformCluster.URGENT, "a", List.of(step));
  }

  /**
   * Restricts some gangs to one rack, and limits some other steps to a number of tasks per runner.
   */
  private StepSpec withPlacementConstraint(StepSpec s) {
    if (extraRandom.nextInt(4) > 0) {
      return s;
    }
    return s.gang()
        ? StepSpecs.onOneRack(s)
        : StepSpecs.limitedPerRunner(s, 1 + extraRandom.nextInt(2));
  }

  private StepSpec randomStep(String id, String queue, String account, int number) {
    int[] sizes = {500, 1_000, 1_000, 1_000, 2_000, 3_000, 4_000, 5_000, 7_000, 8_000};
    int milliCores = sizes[random.nextInt(sizes.length)];
    ResourceVector size = new ResourceVector(0, 0, milliCores, 100, 0);
    int tasksPerRunner = (int) PlatformRunners.CAPACITY.milliCores() / milliCores;
    int usableRunners =
        queue.equals(PlatformCluster.WITH_ADVICE)
            ? cell.allowedRunners(new StepKey(id, 0, number))
            : PlatformCluster.RUNNERS;
    int maxTasks = Math.max(1, usableRunners * tasksPerRunner / 2);
    if (account.equals("b")) {
      maxTasks = Math.min(maxTasks, (int) PlatformCluster.CEILING.milliCores() / milliCores);
    }
    if (maxTasks > 1 && random.nextInt(3) == 0) {
      int tasks = random.nextInt(4) == 0 ? maxTasks : 2 + random.nextInt(Math.min(3, maxTasks - 1));
      return StepSpecs.gang(Math.min(tasks, maxTasks), size, 400);
    }
    int tasks = 1 + random.nextInt(Math.min(4, maxTasks));
    return random.nextInt(3) == 0
        ? StepSpecs.checkpointing(tasks, size, 1_500)
        : StepSpecs.of(tasks, size, 400);
  }

  private String randomRunner() {
    return "r" + random.nextInt(PlatformCluster.RUNNERS);
  }

  /** Injects one fault or none. */
  void injectNext() {
    List<String> names = new ArrayList<>(new TreeSet<>(cell.cluster.nodes.keySet()));
    int kind = random.nextInt(FAULT_KINDS);
    if (plannedOnly && !PLANNED_KINDS.contains(kind)) {
      return;
    }
    if (names.size() > 1 && kind < 4) {
      instanceFault(kind, names.get(random.nextInt(names.size())));
    } else if (kind < 20) {
      runnerFault(kind, randomRunner());
    } else {
      cellFault(kind);
    }
  }

  private void instanceFault(int kind, String name) {
    switch (kind) {
      case 0 -> kill(name, 1_000);
      case 1 -> {
        long millis = 500 + random.nextInt(3_000);
        recordFault("pause " + name, millis);
        WorkflowCluster.Node n = cell.cluster.nodes.get(name);
        n.process.pause();
        schedule(millis, n.process::resume);
      }
      case 2 -> {
        recordFault("store refuses " + name, 3_000);
        cell.store.refusedCallers.add(name);
        schedule(3_000, () -> cell.store.refusedCallers.remove(name));
      }
      default -> {
        recordFault("disconnect from peers " + name, 2_000);
        cell.cluster.cutInstances.add(name);
        schedule(2_000, () -> cell.cluster.cutInstances.remove(name));
      }
    }
  }

  private void kill(String name, long millis) {
    recordFault("kill " + name, millis);
    cell.cluster.kill(name);
    schedule(millis, () -> cell.cluster.start(name));
  }

  private void runnerFault(int kind, String runner) {
    switch (kind) {
      case 4, 5 -> {
        String link = kind == 4 ? runner : "n" + random.nextInt(4) + ">" + runner;
        recordFault("cut link " + link, 4_000);
        cell.runners.cutLinks.add(link);
        schedule(4_000, () -> cell.runners.cutLinks.remove(link));
      }
      case 6 -> {
        recordFault("restart " + runner, 0);
        cell.runners.restart(runner, extraRandom.nextBoolean() ? 60_000 : 0);
      }
      case 7 -> {
        recordFault("crash " + runner, MAX_FAULT_MILLIS);
        cell.runners.crash(runner);
        schedule(1_500, () -> cell.removeRunner(runner));
        restartLater(runner, 2_000 + random.nextInt(7_000));
      }
      case 8, 9 -> {
        recordFault("entry expires " + runner, 6_000);
        cell.removeRunner(runner);
        schedule(500 + random.nextInt(5_000), () -> cell.putRunner(runner, "ready"));
      }
      case 10 -> {
        recordFault("entry unreadable " + runner, 4_000);
        cell.putRunner(runner, "?");
        schedule(500 + random.nextInt(3_000), () -> cell.putRunner(runner, "ready"));
      }
      case 11, 12 -> {
        recordFault("drain " + runner, MAX_FAULT_MILLIS);
        cell.putRunner(runner, "draining");
        schedule(
            3_000,
            () -> {
              cell.runners.crash(runner);
              cell.removeRunner(runner);
            });
        restartLater(runner, 4_000 + random.nextInt(5_000));
      }
      case 13 -> setMode(runner, PlatformRunners.Mode.FAILS);
      case 14 -> setMode(runner, PlatformRunners.Mode.HANGS);
      case 15 -> setMode(runner, PlatformRunners.Mode.REFUSES);
      case 16 -> {
        recordFault("delayed orders", 0);
        cell.runners.lateFraction = random.nextDouble() * 0.3;
      }
      case 17 -> cell.runners.lateFraction = 0;
      default -> {
        // Most draws inject no fault.
      }
    }
  }

  private void setMode(String runner, PlatformRunners.Mode mode) {
    recordFault(mode + " " + runner, 5_000);
    cell.runners.modes.put(runner, mode);
    schedule(1_000 + random.nextInt(4_000), () -> cell.runners.modes.remove(runner));
  }

  private void restartLater(String runner, long millis) {
    schedule(
        millis,
        () -> {
          cell.runners.restart(runner);
          cell.putRunner(runner, "ready");
        });
  }

  private void cellFault(int kind) {
    switch (kind) {
      case 20 -> cell.store.lostAnswerFraction = random.nextDouble() * 0.4;
      case 21 -> cell.store.lostAnswerFraction = 0;
      case 22 -> cell.store.compact();
      case 23 -> {
        String key = "op/closed/fd" + random.nextInt(PlatformCluster.DOMAINS);
        recordFault(key, 3_000);
        cell.closeDomain(key);
        schedule(3_000, () -> cell.openDomain(key));
      }
      case 24 -> {
        recordFault("batch queue removed", 2_000);
        cell.configure(false, PlatformCluster.CEILING);
        schedule(2_000, () -> cell.configure(true, PlatformCluster.CEILING));
      }
      case 25 -> {
        recordFault("ceiling lowered", 2_000);
        cell.configure(true, new ResourceVector(0, 0, 2_000, 0, 0));
        schedule(2_000, () -> cell.configure(true, PlatformCluster.CEILING));
      }
      case 26 -> outage(1_000 + random.nextInt(4_000));
      case 27 -> {
        recordFault("all instances killed", 1_000);
        for (String name : List.copyOf(cell.cluster.nodes.keySet())) {
          kill(name, 1_000);
        }
      }
      case 28 -> killAfterAcceptance();
      case 29 -> {
        cell.adviceFailureFraction = 0.7;
        schedule(2_000, () -> cell.adviceFailureFraction = 0);
      }
      case 30 -> {
        cell.adviceSlow = true;
        schedule(2_000, () -> cell.adviceSlow = false);
      }
      case 31, 32 -> cancel(1);
      case 33 -> cancel(10);
      default -> {
        // Most draws inject no fault.
      }
    }
  }

  /**
   * Makes the store unavailable to all instances; some runner entries expire during the outage and
   * return within two seconds after it.
   */
  private void outage(long millis) {
    recordFault("store outage", millis + 2_000);
    for (int i = 0; i < PlatformCluster.INSTANCES; i++) {
      String name = "n" + i;
      cell.store.refusedCallers.add(name);
      schedule(millis, () -> cell.store.refusedCallers.remove(name));
    }
    for (int i = 0; i < PlatformCluster.RUNNERS; i++) {
      String runner = "r" + i;
      if (random.nextBoolean()) {
        schedule(millis / 2, () -> cell.removeRunner(runner));
        schedule(millis + random.nextInt(2_000), () -> cell.putRunner(runner, "ready"));
      }
    }
  }

  private void killAfterAcceptance() {
    if (cell.cluster.nodes.isEmpty()) {
      return;
    }
    String id = "w" + submitted++;
    StepSpec step = StepSpecs.of(2, new ResourceVector(0, 0, 1_000, 100, 0), 400);
    cell.submit(cell.cluster.anyNode(), id, PlatformCluster.URGENT, "a", List.of(step))
        .thenAccept(a -> cell.cluster.owner().ifPresent(o -> kill(o.name, 1_000)));
  }

  private void cancel(int count) {
    for (int i = 0; i < count && submitted > 0 && !cell.cluster.nodes.isEmpty(); i++) {
      String id = "w" + Math.max(0, submitted - 1 - random.nextInt(20));
      if (cell.invariants.workflows.containsKey(id)) {
        cell.cancel(cell.cluster.anyNode(), id);
      }
    }
  }

  /** Ends the permanent faults and waits until all temporary ones have ended. */
  void endFaults() {
    cell.runners.lateFraction = 0;
    cell.store.lostAnswerFraction = 0;
    cell.time.runFor(MAX_FAULT_MILLIS + 1_000);
    cell.trace.add(cell.time.nowMillis() + " FAULTS ENDED");
  }
}
