package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.Run.Phase;
import dev.dandelionport.core.workflow.WorkflowRecord.Accepted;
import dev.dandelionport.core.workflow.WorkflowRecord.Closed;
import dev.dandelionport.core.workflow.WorkflowRecord.Ended;
import dev.dandelionport.core.workflow.WorkflowRecord.Intended;
import dev.dandelionport.core.workflow.WorkflowRecord.PolicyApplied;
import dev.dandelionport.core.workflow.WorkflowRecord.Removed;
import dev.dandelionport.core.workflow.WorkflowRecord.TaskProgress;
import java.util.ArrayList;
import java.util.List;

/**
 * Rebuilds workflows from journal records, and produces snapshots: the records that rebuild the
 * current state.
 */
final class WorkflowReplay {

  private final CellState cell;
  private final RunLifecycle runs;

  WorkflowReplay(CellState cell, RunLifecycle runs) {
    this.cell = cell;
    this.runs = runs;
  }

  void apply(WorkflowRecord r) {
    if (r instanceof Accepted a) {
      long ageMillis = Math.max(0, cell.wallMillis - a.atMillis());
      cell.workflows.putIfAbsent(
          a.spec().id(), new Workflow(a.spec(), a.atMillis(), cell.now - ageMillis));
    } else if (r instanceof Intended i) {
      applyIntended(i);
    } else if (r instanceof Ended e) {
      applyEnded(e);
    } else if (r instanceof Closed c) {
      Workflow w = cell.workflows.get(c.workflow());
      if (w != null) {
        w.state = c.state();
        w.durableState = c.state();
        w.closedWallMillis = c.atMillis();
      }
    } else if (r instanceof Removed removed) {
      removed.workflows().forEach(cell.workflows::remove);
    } else if (r instanceof PolicyApplied p) {
      cell.appliedPolicyVersion = Math.max(cell.appliedPolicyVersion, p.version());
    } else if (r instanceof TaskProgress p) {
      applyProgress(p);
    }
  }

  private Task taskOf(TaskKey k) {
    Workflow w = cell.workflows.get(k.workflow());
    while (w != null
        && w.openedOccurrences <= k.occurrence()
        && w.openedOccurrences < w.spec.recurrence().occurrences()) {
      w.openNextOccurrence();
    }
    return cell.task(k);
  }

  private void applyIntended(Intended i) {
    Task t = taskOf(i.task());
    if (t == null) {
      return;
    }
    Runner runner = cell.runners.computeIfAbsent(i.runner(), Runner::new);
    Run r = new Run(t, i.run(), runner, runner.incarnation(i.incarnation()));
    r.phase = Phase.UNCONFIRMED;
    r.inherited = true;
    t.run = r;
    t.lastRun = Math.max(t.lastRun, i.run());
    if (t.step.spec.gang()) {
      t.step.gangRun = i.run();
      t.step.gangStartedMillis = cell.now;
    }
    cell.occupy(r);
  }

  private void applyEnded(Ended e) {
    Task t = taskOf(e.task());
    if (t == null) {
      return;
    }
    if (t.run != null && t.run.number == e.run()) {
      cell.release(t.run);
      t.run = null;
    }
    runs.applyEnd(t, e.run(), e.outcome(), e.checkpoint());
    if (t.step.spec.gang()) {
      runs.resetGangIfEnded(t.step);
    }
  }

  private void applyProgress(TaskProgress p) {
    Task t = taskOf(p.task());
    if (t == null) {
      return;
    }
    t.lastRun = p.lastRun();
    t.failures = p.failures();
    t.checkpoint = p.checkpoint();
    if (t.step.spec.gang()) {
      t.step.gangFailures = Math.max(t.step.gangFailures, p.failures());
      t.step.gangFailedRun = Math.max(t.step.gangFailedRun, p.gangFailedRun());
    }
    if (p.done()) {
      t.step.markDone(t);
    }
    if (p.workflowStarted()) {
      runs.markStarted(t.step.workflow);
    }
  }

  /** Enqueues the unfinished steps after the last record was replayed. */
  void finish() {
    for (Workflow w : cell.workflows.values()) {
      if (w.state.isFinal()) {
        continue;
      }
      w.durableState = w.state;
      runs.openDueOccurrences(w);
      runs.enqueueReadySteps(w);
      if (w.allDone()) {
        // The previous owner stopped after recording the end of the last run but before recording
        // the end of the workflow.
        runs.close(w, WorkflowState.COMPLETED);
      }
    }
  }

  /** Returns the records that rebuild the current state. */
  List<WorkflowRecord> snapshot() {
    List<WorkflowRecord> all = new ArrayList<>();
    all.add(new PolicyApplied(cell.appliedPolicyVersion));
    for (Workflow w : cell.workflows.values()) {
      boolean closed = w.state.isFinal() && !w.hasRuns();
      all.add(new Accepted(closed ? withoutSteps(w.spec) : w.spec, w.acceptedWallMillis));
      for (Step s : closed ? List.<Step>of() : w.steps) {
        for (Task t : s.tasks) {
          addTask(t, all);
        }
      }
      if (w.state.isFinal()) {
        all.add(new Closed(w.spec.id(), w.state, w.closedWallMillis));
      }
    }
    return all;
  }

  /** Returns the parts of a spec that are needed to answer queries about an ended workflow. */
  private static WorkflowSpec withoutSteps(WorkflowSpec s) {
    return new WorkflowSpec(
        s.id(), s.queue(), s.account(), "", List.of(), Recurrence.ONCE, s.excess());
  }

  private static void addTask(Task t, List<WorkflowRecord> all) {
    int failures = t.step.spec.gang() ? t.step.gangFailures : t.failures;
    if (t.lastRun > 0 || t.done) {
      all.add(
          new TaskProgress(
              t.key,
              t.lastRun,
              failures,
              t.step.gangFailedRun,
              t.done,
              t.step.workflow.started,
              t.checkpoint));
    }
    if (t.run != null) {
      all.add(
          new WorkflowRecord.Intended(
              t.key, t.run.number, t.run.runner.id(), t.run.incarnation.startMillis()));
    }
  }
}
