package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.Run.Phase;
import dev.dandelionport.core.workflow.Run.Stop;
import dev.dandelionport.core.workflow.RunnerReport.End;
import dev.dandelionport.core.workflow.RunnerReport.Running;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reconciles the runs that a runner reports with the runs that are expected on it. */
final class RunnerReportHandler {

  private final CellState cell;
  private final RunLifecycle runs;

  RunnerReportHandler(CellState cell, RunLifecycle runs) {
    this.cell = cell;
    this.runs = runs;
  }

  /**
   * Handles a report.
   *
   * @param sentMillis when the call was sent, on the owner's monotonic clock; the report reflects
   *     at least everything that the runner confirmed before that time
   */
  void handle(Runner r, RunnerReport report, long sentMillis) {
    Incarnation before = r.current();
    if (r.recordReport(report.incarnation(), sentMillis, cell.now) && before.startMillis() != 0) {
      logReborn(r);
    }
    Incarnation current = r.current();
    for (End e : report.ends()) {
      if (e.number() > current.lastEndNumber) {
        current.lastEndNumber = e.number();
        handleEnd(r, e);
      }
    }
    Set<Run> present = new HashSet<>();
    for (Running x : report.running()) {
      Run run = r.findRun(x.task(), x.run());
      if (run == null) {
        // The workflow was removed, or the run was ended as never started.
        cell.addEffect(new WorkflowEffect.Stop(x.task(), x.run(), r.id()));
      } else {
        present.add(run);
        handleRunning(run, x);
      }
    }
    List<Run> unlisted = r.runs.stream().filter(x -> !present.contains(x)).toList();
    unlisted.forEach(x -> handleUnlisted(x, report.endsComplete(), sentMillis));
    logEndsLeftOut(r, report, unlisted.size());
  }

  /** Logs the first of several reports in a row that may have left out ends. */
  private void logEndsLeftOut(Runner r, RunnerReport report, int undecided) {
    if (!report.endsComplete() && !r.current().endsLeftOut) {
      cell.log(
          Topic.ENDS_LEFT_OUT,
          "runner",
          r.id(),
          "listed",
          report.ends().size(),
          "undecided",
          undecided);
    }
    r.current().endsLeftOut = !report.endsComplete();
  }

  private void logReborn(Runner r) {
    Incarnation listed = r.described();
    cell.log(
        Topic.RUNNER_REBORN,
        "runner",
        r.id(),
        "born",
        r.current().startMillis(),
        "runs",
        r.runs.size(),
        "listedBorn",
        listed.startMillis(),
        "listedMillis",
        listed.listedMillis < 0 ? -1 : cell.now - listed.listedMillis);
  }

  private void handleEnd(Runner r, End e) {
    Run run = r.findRun(e.task(), e.run());
    if (run != null) {
      setIncarnation(run);
      runs.end(run, e.outcome(), e.checkpoint());
    } else if (e.outcome() == RunEnd.DONE) {
      // The run was given up while the runner was silent, but had completed before its lease ended.
      runs.completeAfterLoss(e.task(), e.run(), e.checkpoint());
    }
  }

  private void handleRunning(Run run, Running x) {
    confirm(run);
    setIncarnation(run);
    if (!x.checkpoint().equals(run.checkpoint)) {
      run.checkpoint = x.checkpoint();
      run.checkpointMillis = cell.now;
    }
    Workflow w = run.task.step.workflow;
    if (run.stopReason != null) {
      runs.resendStop(run);
    } else if (w.state.isFinal() || run.task.done) {
      runs.stop(run, Stop.COPY);
    }
  }

  /**
   * Assigns a reported run to the incarnation that reported it. A start in transit while its runner
   * restarts may be carried out by an incarnation that it was not meant for.
   */
  private void setIncarnation(Run run) {
    Incarnation reporting = run.runner.current();
    if (run.incarnation != reporting) {
      cell.log(
          Topic.RUN_IN_OTHER_INCARNATION,
          "task",
          run.task.key.toString(),
          "run",
          run.number,
          "runner",
          run.runner.id(),
          "intendedBorn",
          run.incarnation.startMillis(),
          "born",
          reporting.startMillis());
      run.incarnation = reporting;
    }
  }

  /** Records that a runner has confirmed a run. */
  void confirm(Run run) {
    if (run.phase != Phase.CONFIRMED) {
      run.phase = Phase.CONFIRMED;
      run.task.refusedStarts = 0;
      runs.markStarted(run.task.step.workflow);
      run.confirmedMillis = cell.now;
      run.startSentMillis = run.startSentMillis == 0 ? cell.now : run.startSentMillis;
    }
  }

  /**
   * Handles a run that a report names neither as running nor as ended. Without the complete ends,
   * this does not show whether the run has ended as done.
   */
  private void handleUnlisted(Run run, boolean endsComplete, long sentMillis) {
    boolean ofThisIncarnation = run.incarnation == run.runner.current();
    if (!ofThisIncarnation
        && !run.inherited
        && run.phase != Phase.CONFIRMED
        && run.stopReason == null) {
      // A start in transit may reach the new incarnation.
      runs.stop(run, Stop.UNANSWERED);
    }
    if (endsComplete) {
      handleAbsent(run, ofThisIncarnation, sentMillis);
    }
  }

  /** Handles a run that its runner neither runs nor lists among all of its ends. */
  private void handleAbsent(Run run, boolean ofThisIncarnation, long sentMillis) {
    boolean confirmed = run.phase == Phase.CONFIRMED;
    if (run.inherited) {
      // Since its first report to this owner, the runner refuses orders of previous owners.
      boolean mayHaveStarted = confirmed || !ofThisIncarnation;
      runs.end(run, mayHaveStarted ? RunEnd.LOST : RunEnd.NEVER_STARTED, run.checkpoint);
    } else if (confirmed && run.confirmedMillis < sentMillis) {
      runs.end(run, RunEnd.LOST, run.checkpoint);
    } else if (run.phase == Phase.UNCONFIRMED
        && run.stopAckMillis > 0
        && run.stopAckMillis < sentMillis) {
      runs.end(run, RunEnd.NEVER_STARTED, "");
    }
  }

  /** Ends the runs on a runner whose leases have certainly expired. */
  void expireLeases(Runner r, boolean unconfirmedToo) {
    for (Run run : List.copyOf(r.runs)) {
      boolean unconfirmed = run.phase == Phase.UNCONFIRMED && unconfirmedToo;
      if (run.phase == Phase.CONFIRMED || run.inherited || unconfirmed) {
        runs.end(run, RunEnd.LOST, run.checkpoint);
      }
    }
  }
}
