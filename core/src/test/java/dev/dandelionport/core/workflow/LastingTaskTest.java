package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class LastingTaskTest {

  private static final int RUNNERS = 6;
  private static final int ROUNDS = 120;
  private static final long ROUND_MILLIS = 250;

  /** Time for which a task that lasts may wait while there is room for two of it. */
  private static final long MAX_WAIT_MILLIS = 3_000;

  private final AdviceSimulation cell =
      new AdviceSimulation(RUNNERS, 1, new Advice(1, 1, 2_500), (step, runner) -> true);
  private final Map<String, StepSpec> steps = new TreeMap<>();

  /** Since when there has been room for two more tasks of a step of which one waits. */
  private final Map<String, Long> roomSince = new HashMap<>();

  private Random random;
  private int submitted;

  static LongStream seeds() {
    return LongStream.range(1, 1 + Long.getLong("dispatch.seeds", 40));
  }

  // Guards against any reason for which a task that lasts waits although there is room for it twice
  // over: headroom, other runs of its step, its age, or the way in which its size is counted.
  @ParameterizedTest
  @MethodSource("seeds")
  void waitingTaskThatLastsStartsWhereThereIsRoomForTwoOfIt(long seed) {
    random = new Random(seed);
    for (int i = 0; i < ROUNDS; i++) {
      change();
      for (long t = 0; t < ROUND_MILLIS; t += 50) {
        cell.run(50);
        checkWaits();
      }
    }
  }

  private void change() {
    int kind = random.nextInt(10);
    if (kind < 6) {
      submit(kind);
    } else if (kind < 9) {
      endOne();
    } else {
      cell.loseRuns(cell.runners.get(random.nextInt(RUNNERS)));
    }
  }

  private void submit(int kind) {
    int tasks = 1 + random.nextInt(3);
    long cores = List.of(2_000, 8_000, 20_000, 30_000, 59_000, 64_000).get(random.nextInt(6));
    ResourceVector size = new ResourceVector(0, 0, cores, 500 + random.nextInt(30_000), 0);
    StepSpec step =
        switch (kind) {
          case 0 -> StepSpecs.gang(tasks, size, 2_000);
          case 1, 2 -> StepSpecs.longRunning(tasks, size);
          default -> StepSpecs.of(tasks, size, 2_000);
        };
    step = random.nextInt(4) == 0 ? StepSpecs.bestEffort(step) : step;
    step = random.nextInt(4) == 0 ? StepSpecs.limitedPerRunner(step, 1) : step;
    String id = "w" + submitted++;
    steps.put(id, step);
    boolean urgent = kind == 3 || kind == 4;
    cell.submit(id, urgent ? AdviceSimulation.URGENT : AdviceSimulation.PLAIN, step);
  }

  private void endOne() {
    List<String> ending = new ArrayList<>(steps.keySet());
    ending.removeIf(id -> cell.running(id).size() < steps.get(id).tasks());
    if (ending.isEmpty()) {
      return;
    }
    String id = ending.get(random.nextInt(ending.size()));
    if (steps.get(id).longRunning()) {
      cell.scheduler.cancel(id);
    }
    cell.end(id);
    steps.remove(id);
    roomSince.remove(id);
  }

  private void checkWaits() {
    for (Map.Entry<String, StepSpec> e : steps.entrySet()) {
      String id = e.getKey();
      StepSpec step = e.getValue();
      boolean waits = cell.running(id).size() < step.tasks();
      if (!step.longRunning() || !waits || countRoom(id, step) < 2) {
        roomSince.remove(id);
        continue;
      }
      long since = roomSince.computeIfAbsent(id, k -> cell.now);
      assertThat(cell.now - since)
          .as(
              "%s waits with room for %d: %s %s",
              id,
              countRoom(id, step),
              step.summary(),
              cell.lastWaits.get(new StepKey(id, 0, 0).toString()))
          .isLessThanOrEqualTo(MAX_WAIT_MILLIS);
    }
  }

  /** Returns how many more tasks of a step fit, by what runs. */
  private int countRoom(String id, StepSpec step) {
    int room = 0;
    for (String runner : cell.runners) {
      if (cell.heldRunners.contains(runner)) {
        continue;
      }
      long cores = AdviceSimulation.CAPACITY.milliCores();
      long memory = AdviceSimulation.CAPACITY.memoryMb();
      int ofStep = 0;
      for (Map.Entry<String, StepSpec> other : steps.entrySet()) {
        for (WorkflowEffect.Start s : cell.running(other.getKey())) {
          if (s.runner().equals(runner)) {
            cores -= other.getValue().bestEffort() ? 0 : other.getValue().size().milliCores();
            memory -= other.getValue().size().memoryMb();
            ofStep += other.getKey().equals(id) ? 1 : 0;
          }
        }
      }
      long fits = memory / step.size().memoryMb();
      fits = step.bestEffort() ? fits : Math.min(fits, cores / step.size().milliCores());
      fits = step.maxPerRunner() > 0 ? Math.min(fits, step.maxPerRunner() - ofStep) : fits;
      room += (int) Math.max(0, fits);
    }
    return room;
  }
}
