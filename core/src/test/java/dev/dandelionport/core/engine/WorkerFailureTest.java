package dev.dandelionport.core.engine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.manifest.FailureDomain;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.scheduler.JobPhase;
import dev.dandelionport.core.scheduler.JobSpec;
import dev.dandelionport.core.testing.Cell;
import dev.dandelionport.core.testing.Cell.Instance;
import dev.dandelionport.core.testing.Cell.Request;
import java.util.List;
import org.junit.jupiter.api.Test;

class WorkerFailureTest {

  /** Guards against a second attempt that starts before the lease of the first one has expired. */
  @Test
  void taskOfUnresponsiveWorkerIsRestartedOnlyAfterItsLeaseExpires() {
    for (int seed = 1; seed <= 10; seed++) {
      Cell cell = new Cell(seed, 3, 1, 3).start();
      Instance entry = cell.instances.get("tallinn-1");
      final Request again = cell.submitUrgent(entry, "again", "run=15000");
      final Request once = cell.submitNotRepeatable(entry, "once", "run=15000");
      cell.time.runFor(cell.time.random().nextInt(6_000) + 500);
      for (String key : List.of("again", "once")) {
        cell.workers.setUnresponsive(cell.workers.runsOf(key).get(0).worker, true);
      }
      cell.awaitAnswers(90_000);
      assertThat(cell.violations()).as("seed %d", seed).isEmpty();
      assertThat(again.phase()).isEqualTo(JobPhase.SUCCEEDED);
      assertThat(once.phase()).isEqualTo(JobPhase.UNKNOWN);
      assertThat(cell.workers.runsOf("once")).hasSize(1);
    }
  }

  /** Guards against a restarted worker that executes starts sent to its previous incarnation. */
  @Test
  void restartedWorkerRunsNoStartsSentToItsPredecessor() {
    Cell cell = new Cell(3, 3, 1, 1).start();
    Instance entry = cell.instances.get("tallinn-1");
    cell.time.runFor(500);
    cell.workers.delayStarts(c -> true, 800);
    cell.submitNotRepeatable(entry, "c", "run=50");
    cell.time.runFor(400);
    cell.workers.restart(new WorkerId("tallinn-w0"));
    cell.workers.delayStarts(c -> false, 0);
    cell.awaitAnswers(30_000);
    assertThat(cell.violations()).isEmpty();
  }

  /**
   * Guards against a gang that is split, or started in the drained domain, because a drain begins
   * during its placement.
   */
  @Test
  void gangIsNotSplitWhenDomainIsDrainedDuringPlacement() {
    for (int seed = 1; seed <= 5; seed++) {
      Cell cell = new Cell(seed, 3, 1, 4).start();
      Instance entry = cell.instances.get("tallinn-1");
      cell.time.runFor(500);
      JobSpec one = cell.spec("gang", WorkloadClass.GANG, true, "run=500");
      JobSpec gang =
          new JobSpec(
              one.key(),
              "",
              WorkloadClass.GANG,
              one.deadlineMillis(),
              new ResourceVector(1, 1, 4_000, 1_000, 0),
              8,
              500,
              true,
              "run=500",
              "gang");
      cell.submit(entry, gang);
      cell.time.runFor(cell.time.random().nextInt(12));
      Manifest m = cell.manifest();
      List<FailureDomain> domains =
          m.failureDomains().stream()
              .map(d -> new FailureDomain(d.id(), d.region(), !d.id().endsWith("-a")))
              .toList();
      cell.commit(new Manifest(2, "cell", m.regions(), domains, m.teams(), List.of()));
      cell.awaitAnswers(60_000);
      assertThat(cell.violations()).as("seed %d", seed).isEmpty();
      assertThat(cell.requests.get("gang").phase()).isEqualTo(JobPhase.SUCCEEDED);
    }
  }
}
