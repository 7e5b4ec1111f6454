package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.workflow.WorkflowEffect.Start;
import java.util.List;
import org.junit.jupiter.api.Test;

class WatchdogTest {

  private static final long TICK_MILLIS = 100;

  private final WorkflowFixture cell = new WorkflowFixture();

  private void finishShortTasks(int count) {
    for (int i = 0; i < count; i++) {
      cell.submit("short" + i, "batch", WorkflowFixture.step(1, 100));
      Start s = cell.started(StartResult.PRESENT).get(0);
      cell.now += 400;
      cell.end(s, RunEnd.DONE, "");
    }
  }

  /** Lets the task that was just started run; returns for how long it may. */
  private long runUntilStopped(Start s, long mostMillis) {
    cell.effects.clear();
    long begun = cell.now;
    while (cell.stops().isEmpty() && cell.now - begun < mostMillis) {
      cell.now += TICK_MILLIS;
      cell.report(s.runner(), 1, List.of(WorkflowFixture.running(s, "")), List.of());
      cell.scheduler.tick();
      cell.take();
    }
    return cell.now - begun;
  }

  /** Starts the only task that waits until it may run long enough; returns how often it starts. */
  private int triesUntilItMayRun(long millis) {
    for (int tries = 1; tries <= 20; tries++) {
      cell.now += 10_000;
      cell.place();
      List<Start> starts = cell.started(StartResult.PRESENT);
      assertThat(starts).hasSize(1);
      if (runUntilStopped(starts.get(0), millis) >= millis) {
        return tries;
      }
      cell.end(starts.get(0), RunEnd.STOPPED, "");
    }
    return Integer.MAX_VALUE;
  }

  // A task that takes longer than nearly all of its queue was stopped as stuck on each runner, and
  // its workflow never ended.
  @Test
  void taskThatIsLongerThanOthersOfItsQueueIsLeftToRunInTheEnd() {
    finishShortTasks(40);
    cell.submit("long", "batch", WorkflowFixture.step(1, 100));
    assertThat(triesUntilItMayRun(10_000)).isBetween(3, 5);
  }

  // A long task held back each runner that it was tried on, and nothing else ran there.
  @Test
  void longTaskHoldsBackTheFirstRunnerOnly() {
    finishShortTasks(40);
    cell.submit("long", "batch", WorkflowFixture.step(1, 100));
    for (int i = 0; i < 2; i++) {
      Start s = cell.started(StartResult.PRESENT).get(0);
      runUntilStopped(s, 10_000);
      cell.end(s, RunEnd.STOPPED, "");
      cell.place();
    }
    cell.started(StartResult.PRESENT);
    for (int i = 0; i < 20; i++) {
      cell.submit("more" + i, "batch", WorkflowFixture.step(1, 1_000));
    }
    assertThat(cell.starts()).hasSizeGreaterThan(10);
  }

  // While too few runs of a queue were done to tell what is usual, a run that hung was never
  // stopped.
  @Test
  void runThatHangsIsStoppedAlsoWhenNothingIsKnownOfItsQueue() {
    cell.submit("hangs", "batch", WorkflowFixture.step(1, 100));
    Start s = cell.started(StartResult.PRESENT).get(0);
    assertThat(runUntilStopped(s, 60_000)).isBetween(5_000L, 20_000L);
  }

  // A runner that is held back takes one run as a probe. When only a gang waited that needed more
  // of it, it was never probed, and the gang never started.
  @Test
  void heldRunnerThatNothingProbesGetsWorkAgain() {
    cell.holdOnlyRunner();
    cell.submit("gang", "batch", WorkflowFixture.gang(3, 100));
    assertThat(cell.starts()).isEmpty();
    cell.now += 15_000;
    cell.tell();
    cell.scheduler.tick();
    cell.place();
    assertThat(cell.starts()).hasSize(3);
  }
}
