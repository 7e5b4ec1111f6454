package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.WorkflowEffect.Start;
import java.util.List;
import org.junit.jupiter.api.Test;

class WatchdogTest {

  private static final long TICK_MILLIS = 100;

  private static final ResourceVector ONE_CORE = new ResourceVector(0, 0, 1_000, 100, 0);

  private final WorkflowFixture fixture = new WorkflowFixture();

  private void finishShortTasks(int count) {
    for (int i = 0; i < count; i++) {
      fixture.submit("short" + i, "batch", WorkflowFixture.step(1, 100));
      Start s = fixture.answerStarts(StartResult.PRESENT).get(0);
      fixture.now += 400;
      fixture.end(s, RunEnd.DONE, "");
    }
  }

  /**
   * Reports a run as active until it is stopped or {@code maxMillis} have passed; returns for how
   * long it ran.
   */
  private long runUntilStopped(Start s, long maxMillis) {
    fixture.effects.clear();
    long startMillis = fixture.now;
    while (fixture.stops().isEmpty() && fixture.now - startMillis < maxMillis) {
      fixture.now += TICK_MILLIS;
      fixture.report(s.runner(), 1, List.of(WorkflowFixture.running(s, "")), List.of());
      fixture.scheduler.tick();
      fixture.collectDecision();
    }
    return fixture.now - startMillis;
  }

  /**
   * Starts the only waiting task again after each stop until it runs for {@code millis}; returns
   * the number of starts.
   */
  private int startsUntilAllowedToRun(long millis) {
    for (int attempts = 1; attempts <= 20; attempts++) {
      fixture.now += 10_000;
      fixture.place();
      List<Start> starts = fixture.answerStarts(StartResult.PRESENT);
      assertThat(starts).hasSize(1);
      if (runUntilStopped(starts.get(0), millis) >= millis) {
        return attempts;
      }
      fixture.end(starts.get(0), RunEnd.STOPPED, "");
    }
    return Integer.MAX_VALUE;
  }

  // Guards against a workflow that never ends: a task that takes longer than nearly all others of
  // its queue was stopped as stuck on every runner.
  @Test
  void longTaskIsEventuallyAllowedToFinish() {
    finishShortTasks(40);
    fixture.submit("long", "batch", WorkflowFixture.step(1, 100));
    assertThat(startsUntilAllowedToRun(10_000)).isBetween(3, 5);
  }

  // Guards against a single long task that quarantines every runner it is tried on, so that nothing
  // else runs there.
  @Test
  void longTaskQuarantinesOnlyItsFirstRunner() {
    finishShortTasks(40);
    fixture.submit("long", "batch", WorkflowFixture.step(1, 100));
    for (int i = 0; i < 2; i++) {
      Start s = fixture.answerStarts(StartResult.PRESENT).get(0);
      runUntilStopped(s, 10_000);
      fixture.end(s, RunEnd.STOPPED, "");
      fixture.place();
    }
    fixture.answerStarts(StartResult.PRESENT);
    for (int i = 0; i < 20; i++) {
      fixture.submit("more" + i, "batch", WorkflowFixture.step(1, 1_000));
    }
    assertThat(fixture.starts()).hasSizeGreaterThan(10);
  }

  // Guards against a hung run that is never stopped because too few runs of its queue were done to
  // compute the usual run time.
  @Test
  void hungRunIsStoppedWithoutRunTimesOfItsQueue() {
    fixture.submit("hangs", "batch", WorkflowFixture.step(1, 100));
    Start s = fixture.answerStarts(StartResult.PRESENT).get(0);
    assertThat(runUntilStopped(s, 60_000)).isBetween(5_000L, 20_000L);
  }

  // A quarantined runner accepts one run as a probe. Guards against a gang that needs several tasks
  // on it and never starts, because without other work the runner is never probed.
  @Test
  void quarantineEndsWhenNoProbeIsPossible() {
    fixture.quarantineOnlyRunner();
    fixture.submit("gang", "batch", WorkflowFixture.gang(3, 100));
    assertThat(fixture.starts()).isEmpty();
    fixture.now += 15_000;
    fixture.updateTime();
    fixture.scheduler.tick();
    fixture.place();
    assertThat(fixture.starts()).hasSize(3);
  }

  // Guards against a healthy runner that gets no more work: the task that probed it lasts, so the
  // probe never ended.
  @Test
  void runnerWhoseProbeLastsGetsWorkAgain() {
    fixture.quarantineOnlyRunner();
    fixture.now += 8_000;
    fixture.submit("service", "batch", StepSpecs.longRunning(1, ONE_CORE));
    List<Start> probe = fixture.answerStarts(StartResult.PRESENT);
    assertThat(probe).hasSize(1);
    fixture.submit("w", "batch", WorkflowFixture.step(1, 100));
    assertThat(fixture.starts()).as("a second probe").isEmpty();
    runUntilStopped(probe.get(0), 5_000);
    fixture.place();
    assertThat(fixture.starts()).hasSize(1);
  }
}
