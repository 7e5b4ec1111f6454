package dev.dandelionport.core.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A step of one occurrence of a workflow. */
final class Step {

  /** Permission of the advice service to run the step on one incarnation of a runner. */
  record Ticket(String value, long validUntilMillis) {}

  final Workflow workflow;
  final StepKey key;
  final StepSpec spec;
  final List<Task> tasks = new ArrayList<>();

  /** Number of tasks that are not done. */
  int unfinishedTasks;

  /** Number of the latest placement pass that reached the step; 0 for none. */
  long lastReachedPass;

  /** When a pass last examined runners for it, on the owner's monotonic clock; -1 for never. */
  long lastExaminedMillis = -1;

  /**
   * Since when some of its tasks have waited, on the owner's monotonic clock; -1 if none was
   * waiting at the last scan.
   */
  long waitingSinceMillis = -1;

  /** When the next log entry on its waiting is due, on the owner's monotonic clock. */
  long nextWaitLogMillis;

  /** When its dependencies were done, on the owner's monotonic clock; -1 if they are not. */
  long readyMillis = -1;

  /** Tickets by incarnation of a runner, in the order of the runners' ids. */
  final Map<IncarnationId, Ticket> tickets = new TreeMap<>();

  /** Incarnations of runners that may run the step; the decision never changes. */
  final Set<IncarnationId> allowed = new HashSet<>();

  /** Incarnations of runners that may not run the step. */
  final Set<IncarnationId> denied = new HashSet<>();

  /** Number of pending advice calls. */
  int pendingAdviceCalls;

  /** Incarnations of the runners named in pending advice calls, by runner id. */
  final Map<String, IncarnationId> pendingAdviceRunners = new HashMap<>();

  /** When the next advice call may be made, on the owner's monotonic clock. */
  long nextAdviceMillis;

  /** Longest complete run among the tasks that are done, in milliseconds; 0 if there is none. */
  long longestRunMillis;

  /** Priority of the queue; 0 is the highest. */
  int priority;

  /** When the workflow should be done, on the owner's monotonic clock. */
  long dueMillis;

  /** Number of failed runs of the gang. */
  int gangFailures;

  /** Run number of the gang's latest failed run. */
  int gangFailedRun;

  /** Run number of the gang's active run; 0 if there is none. */
  int gangRun;

  /** Whether the gang's active run can no longer become complete. */
  boolean gangBroken;

  /** When the gang's active run was placed, on the owner's monotonic clock. */
  long gangStartedMillis;

  /**
   * When its only wait for a local placement began, on the owner's monotonic clock; -1 if none has.
   */
  long localityWaitSinceMillis = -1;

  /** When that wait ends, on the owner's monotonic clock; fixed when it begins. */
  long localityWaitUntilMillis;

  /** Number of tasks that take part in that wait and are not placed yet. */
  int localityWaitTasks;

  Step(Workflow workflow, int occurrence, int number) {
    this.workflow = workflow;
    this.key = new StepKey(workflow.spec.id(), occurrence, number);
    this.spec = workflow.spec.steps().get(number);
    for (int i = 0; i < spec.tasks(); i++) {
      tasks.add(new Task(this, i));
    }
    unfinishedTasks = spec.tasks();
  }

  boolean isDone() {
    return unfinishedTasks == 0;
  }

  boolean isReady() {
    return readyMillis >= 0 && unfinishedTasks > 0;
  }

  void markDone(Task t) {
    if (!t.done) {
      t.done = true;
      unfinishedTasks--;
    }
  }

  /** Returns the waiting tasks that may be started now. */
  List<Task> startable(long now) {
    List<Task> list = new ArrayList<>();
    for (Task t : tasks) {
      if (t.isStartable(now)) {
        list.add(t);
      }
    }
    return list;
  }

  /** Returns whether any waiting task may be started now. */
  boolean hasStartable(long now) {
    for (Task t : tasks) {
      if (t.isStartable(now)) {
        return true;
      }
    }
    return false;
  }

  /** Returns how many tasks wait, including those with a retry delay. */
  int countWaiting() {
    int n = 0;
    for (Task t : tasks) {
      n += t.isWaiting() ? 1 : 0;
    }
    return n;
  }

  /** Returns whether any task waits, including one with a retry delay. */
  boolean hasWaiting() {
    for (Task t : tasks) {
      if (t.isWaiting()) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a run was ever intended for one of its tasks. */
  boolean wasPlaced() {
    for (Task t : tasks) {
      if (t.lastRun > 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns the ticket for the current incarnation of a runner, or null. */
  Ticket ticketFor(Runner r) {
    return tickets.get(r.current().id);
  }

  /** Returns whether advice has allowed the current incarnation of a runner. */
  boolean isAllowed(Runner r) {
    return allowed.contains(r.current().id);
  }

  /** Returns whether advice has denied the current incarnation of a runner. */
  boolean isDenied(Runner r) {
    return denied.contains(r.current().id);
  }

  boolean hasRuns() {
    for (Task t : tasks) {
      if (t.run != null) {
        return true;
      }
    }
    return false;
  }
}
