package dev.dandelionport.core.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.journal.JournalRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Runs random events; {@link TestCell} checks the invariants at every start. */
class SchedulerPropertyTest {

  private static final List<String> TEAMS = List.of("a", "b", "c");

  /**
   * Guards against these faults under any order of events: more committed than a worker has, a task
   * in two places, a limit exceeded, a non-repeatable task that runs twice, a job reported as not
   * run that ran, a start in a drained failure domain.
   */
  @Property(tries = 60, seed = "7")
  void invariantsHoldOverRandomEvents(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    runRandomEvents(new TestCell(9, 4, 12), new Random(seed), 250);
  }

  /**
   * Guards against a new owner that continues from a state different from that of the former owner,
   * because a record or the snapshot lacks a part of the state.
   */
  @Property(tries = 40, seed = "11")
  void journalAndSnapshotRestoreTheSameJobs(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    TestCell cell = new TestCell(9, 4, 12);
    runRandomEvents(cell, new Random(seed), 200);
    List<JournalRecord> live = cell.scheduler.snapshot();
    assertThat(restored(cell, cell.journal)).isEqualTo(live);
    assertThat(restored(cell, live)).isEqualTo(live);
  }

  private static List<JournalRecord> restored(TestCell cell, List<JournalRecord> records) {
    return new PartitionScheduler(TestCell.PARTITION, 2, cell.manifest, records).snapshot();
  }

  private static void runRandomEvents(TestCell cell, Random random, int steps) {
    long epoch = 1;
    for (int i = 0; i < steps; i++) {
      int kind = random.nextInt(100);
      if (kind < 45) {
        cell.submit(randomJob(random, i, cell.now));
      } else if (kind < 65) {
        endRandomAttempts(cell, random);
      } else if (kind < 70 && !cell.specs.isEmpty()) {
        List<JobSpec> all = new ArrayList<>(cell.specs.values());
        all.sort((x, y) -> x.fingerprint().compareTo(y.fingerprint()));
        cell.handle(new Event.Cancel(all.get(random.nextInt(all.size())).key()));
      } else if (kind < 73) {
        Set<String> drained = random.nextBoolean() ? Set.of() : Set.of("d" + random.nextInt(3));
        cell.setManifest(TestSpecs.manifest(12, drained));
      } else if (kind < 76) {
        // A lowered limit affects running work only later, so the limit is no longer checked at
        // starts.
        cell.checkTeamLimit = false;
        cell.setPermits(4 + random.nextInt(9));
        cell.advance(3_000);
      } else if (kind < 80) {
        restartWorker(cell, cell.worker(random.nextInt(9)), random);
      } else if (kind < 82) {
        cell.replaceOwner(++epoch, List.copyOf(cell.journal));
        cell.advance(1_600);
      } else if (kind < 84) {
        cell.dropStops = !cell.dropStops;
      } else {
        cell.advance(100 * (1 + random.nextInt(20)));
      }
    }
  }

  private static JobSpec randomJob(Random random, int i, long now) {
    WorkloadClass c = WorkloadClass.values()[random.nextInt(4)];
    int tasks = c == WorkloadClass.URGENT ? 1 : 1 + random.nextInt(4);
    String team = TEAMS.get(random.nextInt(3));
    JobSpec s = TestSpecs.job(team, "j" + i, c, tasks, random.nextInt(4) != 0);
    s = TestSpecs.withSize(s, TestSpecs.slots(1 + random.nextInt(3)));
    return TestSpecs.withDeadline(s, now + 500 + random.nextInt(60_000));
  }

  private static void endRandomAttempts(TestCell cell, Random random) {
    for (TestCell.FakeWorker w : cell.workers.values()) {
      for (AttemptId a : List.copyOf(w.running.keySet())) {
        int roll = random.nextInt(8);
        if (roll < 3) {
          w.end(a, roll == 0 ? AttemptOutcome.FAILED : AttemptOutcome.SUCCEEDED, "r");
        }
      }
    }
    cell.reportAll();
  }

  private static void restartWorker(TestCell cell, TestCell.FakeWorker w, Random random) {
    w.running.clear();
    w.finished.clear();
    w.incarnation = "i" + random.nextInt(1_000_000);
    if (random.nextBoolean()) {
      w.reachable = false;
      cell.handle(new Event.WorkerUnresponsive(w.info.id()));
      cell.advance(2_000);
      cell.handle(new Event.WorkerLost(w.info.id()));
      w.reachable = true;
    }
    cell.advance(200);
  }
}
