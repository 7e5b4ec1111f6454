package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.Run.Phase;
import dev.dandelionport.core.workflow.Run.Stop;
import dev.dandelionport.core.workflow.RunnerReport.End;
import dev.dandelionport.core.workflow.RunnerReport.Running;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Compares what a runner says it has with what it should have. */
final class RunnerReports {

  private final Cell cell;
  private final Runs runs;

  RunnerReports(Cell cell, Runs runs) {
    this.cell = cell;
    this.runs = runs;
  }

  /**
   * Takes over a report.
   *
   * @param sentMillis when the call was sent, on the owner's steady clock; the report shows at
   *     least what the runner had confirmed before
   */
  void report(Runner r, RunnerReport report, long sentMillis) {
    if (r.born != report.born()) {
      life(r, report, sentMillis);
    }
    r.fenced = true;
    r.silent = false;
    for (End e : report.ends()) {
      if (e.number() > r.lastEnd) {
        r.lastEnd = e.number();
        ended(r, e);
      }
    }
    Set<Run> present = new HashSet<>();
    for (Running x : report.running()) {
      Run run = r.find(x.task(), x.run());
      if (run == null) {
        // A run of a workflow that is no longer known, or one that was given up.
        cell.effect(new WorkflowEffect.Stop(x.task(), x.run(), r.id()));
      } else {
        present.add(run);
        listed(run, x);
      }
    }
    for (Run run : new ArrayList<>(r.runs)) {
      if (!present.contains(run)) {
        absent(run, sentMillis);
      }
    }
  }

  /**
   * Notes that another life of a runner speaks. What an earlier one had is gone, but a start that
   * is on its way may have reached the new one.
   */
  private void life(Runner r, RunnerReport report, long sentMillis) {
    final boolean first = r.born == 0;
    r.born = report.born();
    r.lastEnd = 0;
    r.health.reborn();
    if (!first) {
      cell.note(Topic.RUNNER_REBORN, "runner", r.id(), "born", r.born, "runs", r.runs.size());
    }
    Set<Run> kept = new HashSet<>();
    report.running().forEach(x -> kept.add(r.find(x.task(), x.run())));
    report.ends().forEach(x -> kept.add(r.find(x.task(), x.run())));
    for (Run run : new ArrayList<>(r.runs)) {
      boolean before = run.confirmedMillis > 0 && run.confirmedMillis < sentMillis;
      if (kept.contains(run) || run.phase == Phase.PRESENT && !before) {
        run.born = r.born;
      } else if (run.born != r.born && (run.inherited || before)) {
        runs.end(run, RunEnd.LOST, run.saved);
      } else if (run.born != r.born && run.stop == null) {
        runs.stop(run, Stop.UNANSWERED);
      }
    }
  }

  private void ended(Runner r, End e) {
    Run run = r.find(e.task(), e.run());
    if (run != null) {
      runs.end(run, e.how(), e.saved());
    }
  }

  private void listed(Run run, Running x) {
    confirm(run);
    if (!x.saved().equals(run.saved)) {
      run.saved = x.saved();
      run.savedMillis = cell.now;
    }
    Workflow w = run.task.step.workflow;
    if (run.stop != null) {
      runs.stopAgain(run);
    } else if (w.state.isFinal() || run.task.done) {
      runs.stop(run, Stop.COPY);
    }
  }

  /** Notes that a runner has a run. */
  void confirm(Run run) {
    if (run.phase != Phase.PRESENT) {
      run.phase = Phase.PRESENT;
      run.task.refused = 0;
      runs.began(run.task.step.workflow);
      run.confirmedMillis = cell.now;
      run.sentMillis = run.sentMillis == 0 ? cell.now : run.sentMillis;
    }
  }

  private void absent(Run run, long sentMillis) {
    if (run.inherited) {
      // Orders of former owners are refused since the runner knows the present one.
      boolean gone = run.phase == Phase.PRESENT;
      runs.end(run, gone ? RunEnd.LOST : RunEnd.NEVER_STARTED, run.saved);
    } else if (run.phase == Phase.PRESENT && run.confirmedMillis < sentMillis) {
      runs.end(run, RunEnd.LOST, run.saved);
    } else if (run.phase == Phase.UNCONFIRMED
        && run.stopAckMillis > 0
        && run.stopAckMillis < sentMillis) {
      runs.end(run, RunEnd.NEVER_STARTED, "");
    }
  }

  /** Ends all runs on a runner whose leases have certainly run out. */
  void lapsed(Runner r) {
    for (Run run : List.copyOf(r.runs)) {
      if (run.phase != Phase.INTENDED || run.inherited) {
        runs.end(run, RunEnd.LOST, run.saved);
      }
    }
  }
}
