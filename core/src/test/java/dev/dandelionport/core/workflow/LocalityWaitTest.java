package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LocalityWaitTest {

  private static final ResourceVector RUNNER = new ResourceVector(0, 0, 16_000, 32_000, 0);
  private static final ResourceVector TASK = new ResourceVector(0, 0, 10_000, 100, 0);

  /** A cell with one runner in each of two racks, in which a remote run takes 3 s instead of 1. */
  private static final class Cell {
    final WorkflowScheduler scheduler;
    final Set<String> draining = new HashSet<>();
    final List<WorkflowEffect> effects = new ArrayList<>();
    long now = 10_000;

    Cell(boolean delayScheduling) {
      scheduler =
          new WorkflowScheduler(
              new WorkflowLimits(3_000, 200, 3, 2_000, 120_000, true, delayScheduling, true));
      scheduler.setTime(now, now);
      Queue batch =
          new Queue("batch", "host", "/", 3_000, 9_000, 2, "svc", 3, 4, Optional.empty(), false);
      scheduler.setPolicy(new ClusterPolicy(1, Map.of("batch", batch), Map.of(), Map.of()));
      listRunners();
      for (String r : List.of("r1", "r2")) {
        scheduler.report(r, new RunnerReport(1, now, List.of(), List.of(), true), now);
      }
    }

    void listRunners() {
      List<RunnerDescription> list = new ArrayList<>();
      for (String r : List.of("r1", "r2")) {
        String rack = "rack-" + r;
        boolean isDraining = draining.contains(r);
        list.add(new RunnerDescription(r, 1, "svc", r, r, RUNNER, List.of(rack), isDraining));
      }
      scheduler.setRunners(list);
    }

    /** Submits a step, runs a pass and returns the runners on which tasks start. */
    List<String> submit(String id, StepSpec step) {
      scheduler.submit(
          new WorkflowSpec(id, "batch", "", "", List.of(step), Recurrence.ONCE, false));
      return pass(10);
    }

    /** Runs a pass after a time and returns the runners on which tasks start. */
    List<String> pass(long millis) {
      now += millis;
      scheduler.setTime(now, now);
      scheduler.place();
      List<String> started = new ArrayList<>();
      for (WorkflowEffect e : scheduler.takeDecision().effects()) {
        effects.add(e);
        if (e instanceof WorkflowEffect.Start s) {
          started.add(s.runner());
          scheduler.prepareStart(s.task(), s.run(), s.runner());
          scheduler.handleStartResult(s.task(), s.run(), s.runner(), StartResult.PRESENT);
        }
      }
      return started;
    }

    /** Ends the run of a single-task workflow. */
    void end(String id, String runner) {
      RunnerReport.End end =
          new RunnerReport.End(now, new TaskKey(id, 0, 0, 0), 1, RunEnd.DONE, "");
      scheduler.report(
          runner, new RunnerReport(1, now, List.of(), List.of(end), true), now - 9_000);
    }
  }

  private static StepSpec onRack(String rack, long millis) {
    return StepSpecs.withDataRack(StepSpecs.of(1, TASK, millis), rack);
  }

  /** Returns a cell in which r1 is taken for about 300 ms. */
  private static Cell cellWithFullRack(boolean delayScheduling) {
    Cell c = new Cell(delayScheduling);
    assertThat(c.submit("first", onRack("rack-r1", 300))).containsExactly("r1");
    return c;
  }

  // Guards against a remote placement shortly before a local place becomes free.
  @Test
  void taskWaitsForPlaceThatIsExpectedSoon() {
    Cell c = cellWithFullRack(true);
    assertThat(c.submit("second", onRack("rack-r1", 1_000))).isEmpty();
    c.now += 300;
    c.end("first", "r1");
    assertThat(c.pass(10)).containsExactly("r1");
    LocalityCounts counts = c.scheduler.load().locality();
    assertThat(counts).isEqualTo(new LocalityCounts(2, 0, 1, 310));
  }

  // Guards against a wait whose deadline moves with each pass.
  @Test
  void waitEndsAtTheDeadlineFixedWhenItBegan() {
    Cell c = cellWithFullRack(true);
    assertThat(c.submit("second", onRack("rack-r1", 1_000))).isEmpty();
    assertThat(c.pass(1_000)).isEmpty();
    assertThat(c.pass(990)).isEmpty();
    assertThat(c.pass(10)).containsExactly("r2");
  }

  // Guards against a wait for a rack of which no runner is left.
  @Test
  void waitEndsEarlyWhenTheRackDrains() {
    Cell c = cellWithFullRack(true);
    assertThat(c.submit("second", onRack("rack-r1", 1_000))).isEmpty();
    c.draining.add("r1");
    c.listRunners();
    assertThat(c.pass(10)).containsExactly("r2");
  }

  // Guards against a wait for a rack in a closed failure domain.
  @Test
  void waitEndsEarlyWhenTheFailureDomainCloses() {
    Cell c = cellWithFullRack(true);
    assertThat(c.submit("second", onRack("rack-r1", 1_000))).isEmpty();
    c.scheduler.setClosedDomains(Set.of("r1"));
    assertThat(c.pass(10)).containsExactly("r2");
  }

  // Guards against a wait that holds up steps that prefer no rack, or begins without a gain.
  @Test
  void othersArePlacedWhileStepWaits() {
    Cell c = cellWithFullRack(true);
    assertThat(c.submit("second", onRack("rack-r1", 1_000))).isEmpty();
    assertThat(c.submit("third", StepSpecs.of(1, TASK, 1_000))).containsExactly("r2");
  }

  // Guards against a competing task that is promised the same local place.
  @Test
  void secondInLineDoesNotWaitForThePlaceOfTheFirst() {
    Cell c = cellWithFullRack(true);
    assertThat(c.submit("second", onRack("rack-r1", 1_000))).isEmpty();
    assertThat(c.submit("third", onRack("rack-r1", 1_000))).containsExactly("r2");
  }

  // Guards against a change for cells that switch the decision off.
  @Test
  void tasksNeverWaitAndGangsWaitFixedTimeIfSwitchedOff() {
    Cell c = cellWithFullRack(false);
    assertThat(c.submit("second", onRack("rack-r1", 1_000))).containsExactly("r2");
    Cell d = new Cell(false);
    StepSpec gang = StepSpecs.onOneRack(StepSpecs.gang(2, TASK, 1_000));
    assertThat(d.submit("gang", gang)).isEmpty();
    assertThat(d.pass(1_480)).isEmpty();
    assertThat(d.pass(20)).hasSize(2);
  }

  // Guards against a gang that waits for a single rack although none can ever hold it.
  @Test
  void gangDoesNotWaitIfNoRackCanHoldIt() {
    StepSpec gang = StepSpecs.onOneRack(StepSpecs.gang(2, TASK, 1_000));
    assertThat(new Cell(true).submit("gang", gang)).containsExactlyInAnyOrder("r1", "r2");
  }

  // Guards against a gang spread over racks shortly before it fits in one.
  @Test
  void gangWaitsForRackThatIsFreeSoon() {
    Cell c = new Cell(true);
    ResourceVector half = new ResourceVector(0, 0, 8_000, 100, 0);
    assertThat(c.submit("first", StepSpecs.of(1, half, 300))).containsExactly("r1");
    assertThat(c.submit("other", StepSpecs.of(1, TASK, 9_000))).containsExactly("r2");
    ResourceVector small = new ResourceVector(0, 0, 5_000, 100, 0);
    assertThat(c.submit("gang", StepSpecs.onOneRack(StepSpecs.gang(2, small, 1_000)))).isEmpty();
    c.now += 300;
    c.end("first", "r1");
    assertThat(c.pass(10)).containsExactly("r1", "r1");
  }
}
