package dev.dandelionport.core.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests services, and work in failure domains or on workers that are taken out of service. */
class DrainAndServiceTest {

  private static final JobSpec SERVICE = TestSpecs.job("a", "s", WorkloadClass.SERVICE, 6, true);

  private static Map<String, Integer> runningByDomain(TestCell cell, JobSpec s) {
    Map<String, Integer> m = new HashMap<>();
    for (TestCell.FakeWorker w : cell.workers.values()) {
      for (AttemptId a : w.running.keySet()) {
        if (a.job().equals(s.key())) {
          m.merge(w.info.failureDomain(), 1, Integer::sum);
        }
      }
    }
    return m;
  }

  /**
   * Guards against the outage of a whole service when one failure domain or rack fails, because all
   * its tasks run there.
   */
  @Test
  void serviceIsSpreadOverFailureDomainsAndRacks() {
    TestCell cell = new TestCell(12, 8, 100);
    cell.submit(SERVICE);
    assertThat(runningByDomain(cell, SERVICE)).isEqualTo(Map.of("d0", 2, "d1", 2, "d2", 2));
    assertThat(
            cell.workers.values().stream()
                .filter(w -> !w.running.isEmpty())
                .map(w -> w.info.rack())
                .distinct())
        .hasSize(6);
  }

  /** Guards against a service that keeps running with too few tasks after a worker was lost. */
  @Test
  void lostServiceTaskIsReplaced() {
    TestCell cell = new TestCell(6, 8, 100);
    cell.submit(SERVICE);
    TestCell.FakeWorker w = cell.worker(0);
    w.reachable = false;
    w.running.clear();
    cell.handle(new Event.WorkerLost(w.info.id()));
    cell.advance(1_000);
    assertThat(cell.running(SERVICE)).hasSize(6);
  }

  /** Guards against ending a running service at its deadline, which only limits its start. */
  @Test
  void runningServiceHasNoDeadline() {
    TestCell cell = new TestCell(6, 8, 100);
    JobSpec s = TestSpecs.withDeadline(SERVICE, cell.now + 1_000);
    cell.submit(s);
    cell.advance(5_000);
    cell.finish(s, AttemptOutcome.FAILED);
    cell.advance(2_000);
    assertThat(cell.running(s)).hasSize(6);
  }

  /**
   * Guards against an interruption of a service during a drain because all its tasks move at once,
   * and against a drain that never moves them.
   */
  @Test
  void serviceLeavesDrainedFailureDomainInSteps() {
    TestCell cell = new TestCell(6, 8, 100);
    cell.submit(SERVICE);
    cell.setManifest(TestSpecs.manifest(100, Set.of("d0")));
    for (int i = 0; i < 20; i++) {
      cell.now += 100;
      cell.handle(new Event.Tick());
      assertThat(cell.running(SERVICE).size()).isGreaterThanOrEqualTo(5);
      cell.reportAll();
    }
    assertThat(runningByDomain(cell, SERVICE)).isEqualTo(Map.of("d1", 3, "d2", 3));
  }

  /**
   * Guards against a drain that waits for long deferrable tasks, and against one that stops short
   * tasks and so wastes their progress.
   */
  @Test
  void drainCheckpointsLongDeferrableTasksAndLetsShortOnesFinish() {
    TestCell cell = new TestCell(3, 2, 100);
    JobSpec longRun = TestSpecs.deferrable("long");
    longRun =
        new JobSpec(
            longRun.key(),
            "slow",
            WorkloadClass.DEFERRABLE,
            longRun.deadlineMillis(),
            TestSpecs.ONE_SLOT,
            3,
            3_600_000,
            true,
            "",
            "long");
    JobSpec shortRun = TestSpecs.job("a", "short", WorkloadClass.DEFERRABLE, 3, true);
    cell.submit(longRun);
    cell.submit(shortRun);
    cell.setManifest(TestSpecs.manifest(100, Set.of("d0")));
    cell.advance(500);
    assertThat(cell.worker(0).running.keySet()).allMatch(a -> a.job().requestKey().equals("short"));
    assertThat(cell.running(shortRun)).isNotEmpty();
    assertThat(cell.worker(0).running).isNotEmpty();
  }

  /** Guards against starting tasks on workers that do not answer. */
  @Test
  void unresponsiveWorkerGetsNoNewWork() {
    TestCell cell = new TestCell(3, 2, 100);
    cell.handle(new Event.WorkerUnresponsive(cell.worker(0).info.id()));
    cell.handle(new Event.WorkerUnresponsive(cell.worker(1).info.id()));
    for (int i = 0; i < 4; i++) {
      cell.submit(TestSpecs.urgent("u" + i));
    }
    assertThat(cell.worker(2).running).hasSize(2);
    assertThat(cell.worker(0).running).isEmpty();
    assertThat(cell.worker(1).running).isEmpty();
  }

  /**
   * Guards against sending a start that was decided before a drain to a worker in the drained
   * failure domain.
   */
  @Test
  void startIsNotSentAfterItsFailureDomainWasDrained() {
    TestCell cell = new TestCell(1, 2, 100);
    cell.submit(TestSpecs.deferrable("d"));
    AttemptId a = cell.running(TestSpecs.deferrable("d")).get(0);
    assertThat(cell.scheduler.shouldSendStart(a)).isTrue();
    cell.setManifest(TestSpecs.manifest(100, Set.of("d0")));
    assertThat(cell.scheduler.shouldSendStart(a)).isFalse();
  }
}
