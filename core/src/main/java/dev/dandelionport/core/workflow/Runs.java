package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.Run.Phase;
import dev.dandelionport.core.workflow.Run.Stop;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import dev.dandelionport.core.workflow.WorkflowRecord.Closed;
import dev.dandelionport.core.workflow.WorkflowRecord.Ended;
import dev.dandelionport.core.workflow.WorkflowRecord.Intended;
import java.util.List;

/** Begins, stops and ends runs and workflows, and keeps all totals in step with them. */
final class Runs {

  /** Interval at which a stop is sent again while the run is still there, in milliseconds. */
  private static final long STOP_AGAIN_MILLIS = 400;

  /** First wait before a task that failed is tried again, in milliseconds. */
  private static final long RETRY_MILLIS = 20;

  private static final long MAX_RETRY_MILLIS = 2_000;

  private final Cell cell;

  Runs(Cell cell) {
    this.cell = cell;
  }

  /** Intends a run of a task. */
  Run begin(Task t, Runner runner, int number) {
    Run r = new Run(t, number, runner, runner.born);
    t.lastRun = Math.max(t.lastRun, number);
    t.run = r;
    cell.occupy(r);
    r.probe = runner.health.started();
    cell.record(new Intended(t.key, number, runner.id(), runner.born));
    cell.effect(new WorkflowEffect.Start(t.key, number, runner.id()));
    return r;
  }

  /** Tells a run to stop; it keeps its room until it certainly has ended. */
  void stop(Run r, Stop why) {
    if (r.phase == Phase.INTENDED && !r.inherited) {
      // No start was sent, and none will be.
      end(r, RunEnd.NEVER_STARTED, "");
      return;
    }
    if (r.stop == null || why == Stop.CANCELLED) {
      r.stop = why;
    }
    sendStop(r);
  }

  /** Tells a run to stop and notes why in words. */
  void stop(Run r, Stop why, String reason) {
    cell.note(
        Topic.STOPPED,
        "task",
        r.task.key.toString(),
        "run",
        r.number,
        "runner",
        r.runner.id(),
        "why",
        reason,
        "ranMillis",
        cell.now - r.sentMillis);
    stop(r, why);
  }

  private void sendStop(Run r) {
    r.stopSentMillis = cell.now;
    cell.effect(new WorkflowEffect.Stop(r.task.key, r.number, r.runner.id()));
  }

  /** Sends a stop again that may have been lost. */
  void stopAgain(Run r) {
    if (r.stop != null && cell.now - r.stopSentMillis >= STOP_AGAIN_MILLIS) {
      sendStop(r);
    }
  }

  /** Takes over the end of a run and makes its task startable again unless it is done. */
  void end(Run r, RunEnd how, String saved) {
    Task t = r.task;
    cell.release(r);
    t.run = null;
    cell.record(new Ended(t.key, r.number, how, saved));
    rate(r, how);
    if (how != RunEnd.DONE && how != RunEnd.NEVER_STARTED || r.stop == Stop.UNANSWERED) {
      cell.note(
          Topic.ENDED,
          "task",
          t.key.toString(),
          "run",
          r.number,
          "runner",
          r.runner.id(),
          "how",
          how.name(),
          "stop",
          r.stop == null ? "" : r.stop.name(),
          "ranMillis",
          r.sentMillis == 0 ? 0 : cell.now - r.sentMillis);
    }
    apply(t, r.number, how, saved);
    if (how == RunEnd.FAILED) {
      t.failedOn = r.runner.id();
      int tries = t.step.spec.gang() ? t.step.gangFailures : t.failures;
      t.retryMillis =
          cell.now + Math.min(MAX_RETRY_MILLIS, RETRY_MILLIS << Math.min(10, 2 * tries));
    }
    afterEnd(t);
  }

  private void rate(Run r, RunEnd how) {
    RunnerHealth h = r.runner.health;
    Task t = r.task;
    boolean wasHeld = h.isHeld();
    if (how == RunEnd.DONE && r.sentMillis > 0) {
      boolean whole = t.saved.isEmpty() && !r.inherited && !t.step.spec.gang();
      long ran = cell.now - r.sentMillis;
      t.step.longestMillis = whole ? Math.max(t.step.longestMillis, ran) : t.step.longestMillis;
      h.done(whole ? cell.times.ran(t.step, ran) : 1);
    } else if (how == RunEnd.FAILED && t.failures == 0 && r.born == r.runner.born) {
      h.failed(cell.now, r.probe);
    } else if (r.probe) {
      h.probeEnded();
    }
    if (h.isHeld() != wasHeld) {
      cell.note(
          Topic.RUNNER_HELD, "runner", r.runner.id(), "held", h.isHeld(), "cause", how.name());
    }
  }

  /** Changes what the journal rebuilds; the same when it happens and when it is replayed. */
  void apply(Task t, int number, RunEnd how, String saved) {
    Step s = t.step;
    t.lastRun = Math.max(t.lastRun, number);
    if (how != RunEnd.NEVER_STARTED) {
      began(s.workflow);
    }
    if (!saved.isEmpty()) {
      // Any member's checkpoint stands for the whole gang, and all must continue from the same one.
      List<Task> of = s.spec.gang() ? s.tasks : List.of(t);
      of.forEach(x -> x.saved = saved);
    }
    if (how == RunEnd.DONE) {
      if (s.spec.lasting()) {
        return;
      }
      if (s.spec.gang()) {
        s.tasks.forEach(s::finish);
      } else {
        s.finish(t);
      }
    } else if (how == RunEnd.FAILED) {
      t.failures++;
      if (s.spec.gang() && number != s.gangFailedRun) {
        // The ends of its members come in any order; one run of the gang fails once.
        s.gangFailedRun = number;
        s.gangFailures++;
      }
    }
    if (s.spec.gang() && number == s.gangRun && how != RunEnd.NEVER_STARTED) {
      s.gangBroken = true;
    }
  }

  /** Notes that a runner has had a task of a workflow. */
  void began(Workflow w) {
    w.begun = true;
    w.state = w.state == WorkflowState.QUEUED ? WorkflowState.RUNNING : w.state;
  }

  private void afterEnd(Task t) {
    Step s = t.step;
    Workflow w = s.workflow;
    if (s.spec.gang()) {
      gangChanged(s);
    }
    if (w.state.isFinal()) {
      return;
    }
    if (hasFailed(t)) {
      close(w, WorkflowState.FAILED);
    } else if (s.isDone()) {
      cell.ready.remove(s);
      stepDone(w);
    }
  }

  /** Returns whether a task may not be tried again; false while its queue is not configured. */
  private boolean hasFailed(Task t) {
    Step s = t.step;
    int failures = s.spec.gang() ? s.gangFailures : t.failures;
    Queue q = cell.queueOf(s);
    return !s.spec.lasting() && q != null && failures >= q.maxFailures();
  }

  /** Closes the workflow of a step that failed too often while its queue was not configured. */
  void closeIfFailed(Step s) {
    boolean failed = s.tasks.stream().anyMatch(t -> !t.done && hasFailed(t));
    if (failed && !s.workflow.state.isFinal()) {
      close(s.workflow, WorkflowState.FAILED);
    }
  }

  /** Lets a gang start anew once no member of its last run is left. */
  void gangChanged(Step s) {
    if (s.hasRuns()) {
      return;
    }
    s.gangRun = 0;
    s.gangBroken = false;
  }

  private void stepDone(Workflow w) {
    if (w.allDone()) {
      close(w, WorkflowState.COMPLETED);
      return;
    }
    openSteps(w);
  }

  /** Queues the steps of a workflow whose turn has come. */
  void openSteps(Workflow w) {
    for (Step s : w.steps) {
      if (s.readyMillis < 0 && !s.isDone() && w.mayRun(s)) {
        s.readyMillis = cell.now;
        cell.enqueue(s);
      }
    }
  }

  /** Opens the occurrences that have come due. */
  void openDue(Workflow w) {
    while (!w.state.isFinal()
        && w.opened < w.spec.recurrence().occurrences()
        && w.spec.recurrence().dueMillis(w.opened) <= cell.wallMillis) {
      w.open();
      openSteps(w);
    }
  }

  /** Ends a workflow and stops what it still runs. */
  void close(Workflow w, WorkflowState state) {
    w.state = state;
    w.closedWallMillis = cell.wallMillis;
    cell.record(new Closed(w.spec.id(), state, cell.wallMillis));
    cell.effect(new WorkflowEffect.Show(w.spec.id(), state));
    cell.note(
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

  /** Stops all members of a gang whose run cannot become whole. */
  void giveUpGang(Step s) {
    s.gangBroken = true;
    for (Task t : List.copyOf(s.tasks)) {
      if (t.run != null && t.run.stop == null) {
        stop(t.run, Stop.GANG);
      }
    }
  }
}
