package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.Run.Phase;
import dev.dandelionport.core.workflow.Run.Stop;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import dev.dandelionport.core.workflow.WorkflowRecord.Closed;
import dev.dandelionport.core.workflow.WorkflowRecord.Ended;
import dev.dandelionport.core.workflow.WorkflowRecord.Intended;
import java.util.ArrayList;
import java.util.List;

/** Starts, stops and ends runs and workflows, and updates all state that depends on them. */
final class RunLifecycle {

  /** Interval at which a stop is sent again until the run has ended, in milliseconds. */
  private static final long STOP_RESEND_MILLIS = 400;

  /**
   * Base of the delay before a failed task is retried, in milliseconds; grows fourfold with each
   * failure.
   */
  private static final long RETRY_MILLIS = 20;

  private static final long MAX_RETRY_MILLIS = 2_000;

  private final CellState cell;
  private final HealthRecorder health;

  RunLifecycle(CellState cell, HealthRecorder health) {
    this.cell = cell;
    this.health = health;
  }

  /** Reserves the runner for a new run of a task, records the intent and emits the start. */
  Run intendStart(Task t, Runner runner, int number) {
    Run r = new Run(t, number, runner, runner.current());
    t.lastRun = Math.max(t.lastRun, number);
    t.run = r;
    cell.startsIntended++;
    cell.occupy(r);
    r.probe = r.incarnation.health.recordStart();
    cell.addRecord(new Intended(t.key, number, runner.id(), r.incarnation.startMillis()));
    cell.addEffect(new WorkflowEffect.Start(t.key, number, runner.id()));
    return r;
  }

  /** Stops a run. It occupies its capacity until it has certainly ended. */
  void stop(Run r, Stop stopReason) {
    if (r.phase == Phase.INTENDED && !r.inherited) {
      // No start was sent yet, and none will be once the run has ended.
      end(r, RunEnd.NEVER_STARTED, "");
      return;
    }
    if (r.stopReason == null || stopReason == Stop.CANCELLED) {
      r.stopReason = stopReason;
    }
    sendStop(r);
  }

  /** Stops a run and logs the reason, with more fields that alternate between name and value. */
  void stop(Run r, Stop stopReason, String reason, Object... more) {
    List<Object> fields = new ArrayList<>();
    fields.addAll(List.of("task", r.task.key.toString(), "run", r.number));
    fields.addAll(List.of("runner", r.runner.id(), "why", reason));
    fields.addAll(List.of("ranMillis", cell.now - r.startSentMillis));
    fields.addAll(List.of(more));
    cell.log(Topic.STOPPED, fields.toArray());
    stop(r, stopReason);
  }

  private void sendStop(Run r) {
    r.stopSentMillis = cell.now;
    cell.addEffect(new WorkflowEffect.Stop(r.task.key, r.number, r.runner.id()));
  }

  /** Sends a stop again after an interval, because it may have been lost. */
  void resendStop(Run r) {
    if (r.stopReason != null && cell.now - r.stopSentMillis >= STOP_RESEND_MILLIS) {
      sendStop(r);
    }
  }

  /** Ends a run and makes its task startable again unless it is done. */
  void end(Run r, RunEnd outcome, String checkpoint) {
    Task t = r.task;
    cell.release(r);
    t.run = null;
    cell.addRecord(new Ended(t.key, r.number, outcome, checkpoint));
    health.recordEnd(r, outcome);
    if (outcome != RunEnd.DONE && outcome != RunEnd.NEVER_STARTED
        || r.stopReason == Stop.UNANSWERED) {
      cell.log(
          Topic.ENDED,
          "task",
          t.key.toString(),
          "run",
          r.number,
          "runner",
          r.runner.id(),
          "how",
          outcome.name(),
          "stop",
          r.stopReason == null ? "" : r.stopReason.name(),
          "ranMillis",
          r.startSentMillis == 0 ? 0 : cell.now - r.startSentMillis);
    }
    applyEnd(t, r.number, outcome, checkpoint);
    if (outcome == RunEnd.FAILED) {
      t.failedOn = r.runner.id();
      int failures = t.step.spec.gang() ? t.step.gangFailures : t.failures;
      t.retryAtMillis =
          cell.now + Math.min(MAX_RETRY_MILLIS, RETRY_MILLIS << Math.min(10, 2 * failures));
    }
    advanceWorkflow(t);
  }

  /**
   * Marks a task as done that a run has completed although the run was ended as lost. A later run
   * of the task is stopped, because its work would be done twice.
   */
  void completeAfterLoss(TaskKey key, int number, String checkpoint) {
    Task t = cell.task(key);
    if (t == null || t.done || t.step.spec.longRunning() || number > t.lastRun) {
      return;
    }
    cell.log(Topic.ENDED, "task", key.toString(), "run", number, "how", "DONE_AFTER_LOSS");
    cell.addRecord(new Ended(key, number, RunEnd.DONE, checkpoint));
    applyEnd(t, number, RunEnd.DONE, checkpoint);
    for (Task x : t.step.spec.gang() ? t.step.tasks : List.of(t)) {
      if (x.run != null) {
        stop(x.run, Stop.COPY);
      }
    }
    advanceWorkflow(t);
  }

  /**
   * Applies the end of a run to the state that the journal rebuilds; used for live events and in
   * replay.
   */
  void applyEnd(Task t, int number, RunEnd outcome, String checkpoint) {
    Step s = t.step;
    t.lastRun = Math.max(t.lastRun, number);
    if (outcome != RunEnd.NEVER_STARTED) {
      markStarted(s.workflow);
    }
    if (!checkpoint.isEmpty()) {
      // The checkpoint of any member covers the whole gang, and all members must continue from the
      // same one.
      List<Task> tasks = s.spec.gang() ? s.tasks : List.of(t);
      tasks.forEach(x -> x.checkpoint = checkpoint);
    }
    if (outcome == RunEnd.DONE) {
      if (s.spec.longRunning()) {
        return;
      }
      if (s.spec.gang()) {
        s.tasks.forEach(s::markDone);
      } else {
        s.markDone(t);
      }
    } else if (outcome == RunEnd.FAILED) {
      t.failures++;
      if (s.spec.gang() && number != s.gangFailedRun) {
        // The ends of the members arrive in any order; one run of the gang counts as one failure.
        s.gangFailedRun = number;
        s.gangFailures++;
      }
    }
    if (s.spec.gang() && number == s.gangRun && outcome != RunEnd.NEVER_STARTED) {
      s.gangBroken = true;
    }
  }

  /** Records that a task of a workflow has started. */
  void markStarted(Workflow w) {
    w.started = true;
    w.state = w.state == WorkflowState.QUEUED ? WorkflowState.RUNNING : w.state;
  }

  private void advanceWorkflow(Task t) {
    Step s = t.step;
    Workflow w = s.workflow;
    if (s.spec.gang()) {
      resetGangIfEnded(s);
    }
    if (w.state.isFinal()) {
      return;
    }
    if (hasFailed(t)) {
      close(w, WorkflowState.FAILED);
    } else if (s.isDone()) {
      cell.ready.remove(s);
      handleStepDone(w);
    }
  }

  /**
   * Returns whether a task has used up its allowed failures; false while its queue is not
   * configured.
   */
  private boolean hasFailed(Task t) {
    Step s = t.step;
    int failures = s.spec.gang() ? s.gangFailures : t.failures;
    Queue q = cell.queueOf(s);
    return !s.spec.longRunning() && q != null && failures >= q.maxFailures();
  }

  /**
   * Fails the workflow of a step of which a task failed too often while its queue was not
   * configured.
   */
  void closeIfFailed(Step s) {
    boolean failed = s.tasks.stream().anyMatch(t -> !t.done && hasFailed(t));
    if (failed && !s.workflow.state.isFinal()) {
      close(s.workflow, WorkflowState.FAILED);
    }
  }

  /** Makes a gang startable again once all members of its last run have ended. */
  void resetGangIfEnded(Step s) {
    if (s.hasRuns()) {
      return;
    }
    s.gangRun = 0;
    s.gangBroken = false;
  }

  private void handleStepDone(Workflow w) {
    if (w.allDone()) {
      close(w, WorkflowState.COMPLETED);
      return;
    }
    enqueueReadySteps(w);
  }

  /** Enqueues the steps of a workflow whose dependencies are done. */
  void enqueueReadySteps(Workflow w) {
    for (Step s : w.steps) {
      if (s.readyMillis < 0 && !s.isDone() && w.areDependenciesDone(s)) {
        s.readyMillis = cell.now;
        cell.enqueue(s);
      }
    }
  }

  /** Creates and enqueues the occurrences that have become due. */
  void openDueOccurrences(Workflow w) {
    while (!w.state.isFinal()
        && w.openedOccurrences < w.spec.recurrence().occurrences()
        && w.spec.recurrence().dueMillis(w.openedOccurrences) <= cell.wallMillis) {
      w.openNextOccurrence();
      enqueueReadySteps(w);
    }
  }

  /** Moves a workflow to a final state and stops its remaining runs. */
  void close(Workflow w, WorkflowState state) {
    w.state = state;
    w.closedWallMillis = cell.wallMillis;
    cell.addRecord(new Closed(w.spec.id(), state, cell.wallMillis));
    cell.addEffect(new WorkflowEffect.PublishState(w.spec.id(), state));
    cell.log(
        Topic.CLOSED,
        "workflow",
        w.spec.id(),
        "queue",
        w.spec.queue(),
        "state",
        state.name(),
        "millis",
        cell.now - w.acceptedMillis);
    for (Step s : w.steps) {
      cell.ready.remove(s);
      for (Task t : s.tasks) {
        if (t.run != null) {
          stop(t.run, state == WorkflowState.CANCELLED ? Stop.CANCELLED : Stop.COPY);
        }
      }
    }
  }

  /** Stops all members of a gang whose run cannot become complete. */
  void abandonGang(Step s) {
    s.gangBroken = true;
    for (Task t : List.copyOf(s.tasks)) {
      if (t.run != null && t.run.stopReason == null) {
        stop(t.run, Stop.GANG);
      }
    }
  }
}
