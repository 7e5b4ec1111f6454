package dev.dandelionport.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.admission.Feasibility.RunnerKind;
import dev.dandelionport.core.common.ResourceVector;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests which steps count as impossible. */
class FeasibilityTest {

  private static final ResourceVector TASK = size(8_000);
  private static final List<RunnerKind> POOL =
      List.of(
          new RunnerKind(size(16_000), List.of("gpu", "rack1")),
          new RunnerKind(size(20_000), List.of("rack2")));

  private static ResourceVector size(long milliCores) {
    return new ResourceVector(0, 0, milliCores, 0, 0);
  }

  private static Requirement step(int tasks, ResourceVector size, boolean gang, String label) {
    return new Requirement(tasks, size, size, gang, label, 0);
  }

  private static Optional<RefusalReason> check(Requirement r, ResourceVector quota) {
    return Feasibility.reasonNever(r, POOL, quota);
  }

  @Test
  void taskLargerThanEveryRunnerIsImpossible() {
    // Guards against accepting work that waits until it is of no use.
    assertThat(check(step(1, size(20_001), false, ""), ResourceVector.ZERO))
        .contains(RefusalReason.NO_SUCH_RUNNER);
    assertThat(check(step(50, size(20_000), false, ""), ResourceVector.ZERO)).isEmpty();
  }

  @Test
  void labelRestrictsTheRunners() {
    // Guards against counting runners that the step may not use.
    assertThat(check(step(1, size(20_000), false, "gpu"), ResourceVector.ZERO))
        .contains(RefusalReason.NO_SUCH_RUNNER);
    assertThat(check(step(2, TASK, true, "gpu"), ResourceVector.ZERO)).isEmpty();
    assertThat(check(step(3, TASK, true, "gpu"), ResourceVector.ZERO))
        .contains(RefusalReason.GANG_TOO_LARGE);
  }

  @Test
  void gangMustFitIntoTheWholePool() {
    // Guards against refusing a gang that fits exactly, and against accepting a larger one.
    assertThat(check(step(4, TASK, true, ""), ResourceVector.ZERO)).isEmpty();
    assertThat(check(step(5, TASK, true, ""), ResourceVector.ZERO))
        .contains(RefusalReason.GANG_TOO_LARGE);
    Requirement spread = new Requirement(3, TASK, TASK, true, "", 1);
    assertThat(check(spread, ResourceVector.ZERO)).contains(RefusalReason.GANG_TOO_LARGE);
  }

  @Test
  void quotaMustAllowOneTaskOrTheWholeGang() {
    // Guards against treating a quota of 0 as empty: it means no limit.
    assertThat(check(step(5, TASK, false, ""), new ResourceVector(0, 0, 8_000, 0, 0))).isEmpty();
    assertThat(check(step(5, TASK, false, ""), new ResourceVector(0, 0, 7_999, 0, 0)))
        .contains(RefusalReason.QUOTA_TOO_SMALL);
    assertThat(check(step(2, TASK, true, ""), new ResourceVector(0, 0, 15_999, 0, 0)))
        .contains(RefusalReason.QUOTA_TOO_SMALL);
  }

  @Test
  void unknownPoolMakesNothingImpossible() {
    // Guards against refusals before the directory has listed the runners of a pool.
    assertThat(Feasibility.reasonNever(step(1, TASK, false, ""), List.of(), ResourceVector.ZERO))
        .isEmpty();
  }

  @Test
  void withdrawnRunnerCountsForOneMinute() {
    // Guards against refusing work because entries of runners expired during a store outage.
    ListedRunners runners = new ListedRunners();
    runners.update(List.of(new ListedRunners.Listed("r1", "svc", POOL.get(0))), 1_000);
    runners.update(List.of(), 100_000);
    runners.update(List.of(), 160_000);
    assertThat(runners.of("svc")).hasSize(1);
    runners.update(List.of(), 160_001);
    assertThat(runners.of("svc")).isEmpty();
  }
}
