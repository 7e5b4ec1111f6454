package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.Run.Phase;
import dev.dandelionport.core.workflow.Run.Stop;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.Optional;

/**
 * Creates the start orders of intended runs whose records are durable, and handles their results.
 */
final class StartHandler {

  /**
   * Delay after the second consecutive refusal of a task's start, in milliseconds; doubled after
   * each further one.
   */
  private static final long RETRY_MILLIS = 20;

  private static final int MAX_DOUBLINGS = 6;

  private final CellState cell;
  private final RunLifecycle runs;
  private final RunnerReportHandler reports;
  private final AdviceTracker advice;

  StartHandler(
      CellState cell, RunLifecycle runs, RunnerReportHandler reports, AdviceTracker advice) {
    this.cell = cell;
    this.runs = runs;
    this.reports = reports;
    this.advice = advice;
  }

  /**
   * Returns the start order for a run if it may still be sent. Otherwise, the run ends as never
   * started.
   */
  Optional<StartOrder> prepare(TaskKey task, int run, String runner) {
    Run r = cell.run(task, run, runner);
    if (r == null || r.phase != Phase.INTENDED) {
      return Optional.empty();
    }
    Step s = r.task.step;
    Queue q = cell.queueOf(s);
    Step.Ticket ticket = s.tickets.get(r.incarnation.id);
    boolean maySend =
        q != null
            && !s.workflow.state.isFinal()
            && r.incarnation == r.runner.current()
            && cell.mayRun(r.runner, s, q)
            && (q.advice().isEmpty() || ticket != null && cell.now < ticket.validUntilMillis());
    if (!maySend) {
      runs.end(r, RunEnd.NEVER_STARTED, "");
      return Optional.empty();
    }
    r.phase = Phase.UNCONFIRMED;
    r.startSentMillis = cell.now;
    String ticketValue = ticket == null ? "" : ticket.value();
    return Optional.of(
        new StartOrder(task, run, s.workflow.spec.payload(), r.task.checkpoint, ticketValue));
  }

  /** Handles the result of a start order. */
  void handleResult(TaskKey task, int run, String runner, StartResult result) {
    Run r = cell.run(task, run, runner);
    if (r == null) {
      return;
    }
    if (result == StartResult.PRESENT) {
      reports.confirm(r);
      runs.resendStop(r);
      return;
    }
    if (r.phase == Phase.CONFIRMED) {
      return;
    }
    r.task.failedOn = runner;
    if (result == StartResult.UNKNOWN) {
      runs.stop(r, Stop.UNANSWERED);
      return;
    }
    cell.log(
        Topic.ENDED, "task", task.toString(), "run", run, "runner", runner, "how", result.name());
    if (result == StartResult.NO_TICKET) {
      r.task.step.tickets.remove(r.incarnation.id);
    } else if (result == StartResult.UNHEALTHY) {
      r.incarnation.health.recordFailure(cell.now, r.probe);
    }
    runs.end(r, RunEnd.NEVER_STARTED, "");
    delayRetry(r.task);
  }

  /**
   * Delays the next start of a task with several consecutive refusals. After the first refusal, the
   * task is retried at once, preferably on another runner.
   */
  private void delayRetry(Task t) {
    if (t.refusedStarts > 0) {
      t.retryAtMillis = cell.now + (RETRY_MILLIS << Math.min(MAX_DOUBLINGS, t.refusedStarts - 1));
    }
    t.refusedStarts++;
  }
}
