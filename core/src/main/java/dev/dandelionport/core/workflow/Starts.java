package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.Run.Phase;
import dev.dandelionport.core.workflow.Run.Stop;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.Optional;

/** Makes the orders of intended runs whose records are durable, and takes over the answers. */
final class Starts {

  /** Wait after the second refusal in a row of a task's start, in milliseconds; then doubled. */
  private static final long RETRY_MILLIS = 20;

  private static final int MAX_DOUBLINGS = 6;

  private final Cell cell;
  private final Runs runs;
  private final RunnerReports reports;
  private final AdviceBook advice;

  Starts(Cell cell, Runs runs, RunnerReports reports, AdviceBook advice) {
    this.cell = cell;
    this.runs = runs;
    this.reports = reports;
    this.advice = advice;
  }

  /** Returns the order for a run if it may still be sent; the run is given up otherwise. */
  Optional<StartOrder> order(TaskKey task, int run, String runner) {
    Run r = cell.run(task, run, runner);
    if (r == null || r.phase != Phase.INTENDED) {
      return Optional.empty();
    }
    Step s = r.task.step;
    Queue q = cell.queueOf(s);
    Step.Ticket ticket = s.tickets.get(r.runner.id());
    boolean may =
        q != null
            && !s.workflow.state.isFinal()
            && r.born == r.runner.born
            && cell.takesWork(r.runner, q)
            && (q.advice().isEmpty()
                || ticket != null && ticket.born() == r.born && cell.now < ticket.untilMillis());
    if (!may) {
      runs.end(r, RunEnd.NEVER_STARTED, "");
      return Optional.empty();
    }
    r.phase = Phase.UNCONFIRMED;
    r.sentMillis = cell.now;
    String value = ticket == null ? "" : ticket.value();
    return Optional.of(new StartOrder(task, run, s.workflow.spec.payload(), r.task.saved, value));
  }

  /** Takes over the answer to a start. */
  void answered(TaskKey task, int run, String runner, StartResult result) {
    Run r = cell.run(task, run, runner);
    if (r == null) {
      return;
    }
    if (result == StartResult.PRESENT) {
      reports.confirm(r);
      runs.stopAgain(r);
      return;
    }
    if (r.phase == Phase.PRESENT) {
      return;
    }
    r.task.failedOn = runner;
    if (result == StartResult.UNKNOWN) {
      runs.stop(r, Stop.UNANSWERED);
      return;
    }
    cell.note(
        Topic.ENDED, "task", task.toString(), "run", run, "runner", runner, "how", result.name());
    if (result == StartResult.NO_TICKET) {
      advice.refused(r.task.step, r.runner);
    } else if (result == StartResult.UNHEALTHY) {
      r.runner.health.failed(cell.now, r.probe);
    }
    runs.end(r, RunEnd.NEVER_STARTED, "");
    backOff(r.task);
  }

  /** Lets a task wait whose starts are refused in a row; after the first it tries elsewhere. */
  private void backOff(Task t) {
    if (t.refused > 0) {
      t.retryMillis = cell.now + (RETRY_MILLIS << Math.min(MAX_DOUBLINGS, t.refused - 1));
    }
    t.refused++;
  }
}
