package dev.dandelionport.core.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** One step of one occurrence of a workflow. */
final class Step {

  /** The right to run the step on one life of a runner. */
  record Ticket(String value, long incarnation, long validUntilMillis) {}

  final Workflow workflow;
  final StepKey key;
  final StepSpec spec;
  final List<Task> tasks = new ArrayList<>();

  /** Tasks that are not done. */
  int unfinishedTasks;

  /** Number of the latest pass of the placement that came as far as the step; 0 for none. */
  long lastReachedPass;

  /** When a pass last looked at runners for it, on the owner's steady clock; -1 for never. */
  long lastExaminedMillis = -1;

  /** Since when tasks of it wait, on the owner's steady clock; -1 while none was seen to. */
  long waitingSinceMillis = -1;

  /** When a line that says why it waits is due, on the owner's steady clock. */
  long nextWaitLogMillis;

  /** When the step's turn came, on the owner's steady clock; -1 if it has not. */
  long readyMillis = -1;

  /** Tickets by runner, in the order of the runners' names. */
  final Map<String, Ticket> tickets = new TreeMap<>();

  /** Runners that may run the step; the answer never changes. */
  final Set<String> allowed = new HashSet<>();

  /** Runners that may not run the step. */
  final Set<String> denied = new HashSet<>();

  /** Calls for advice that are under way. */
  int pendingAdviceCalls;

  /** Lives of the runners about which calls are under way, by the runners' names. */
  final Map<String, Long> pendingAdviceRunners = new HashMap<>();

  /** When advice may be asked for again, on the owner's steady clock. */
  long nextAdviceMillis;

  /** Longest run from its start to its end among the tasks that are done; 0 if none is. */
  long longestRunMillis;

  /** Priority of the queue; 0 goes first. */
  int priority;

  /** When the workflow should be done, on the owner's steady clock. */
  long dueMillis;

  /** Failed runs of the gang. */
  int gangFailures;

  /** Number of the latest run of the gang that failed. */
  int gangFailedRun;

  /** Number of the gang's run that is under way; 0 if none is. */
  int gangRun;

  /** Whether the gang's run can no longer become whole. */
  boolean gangBroken;

  /** When the first member of the gang's run was started. */
  long gangStartedMillis;

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

  /** Returns the tasks that wait and may be tried now. */
  List<Task> startable(long now) {
    List<Task> list = new ArrayList<>();
    for (Task t : tasks) {
      if (t.isStartable(now)) {
        list.add(t);
      }
    }
    return list;
  }

  /** Returns whether a task waits and may be tried now. */
  boolean hasStartable(long now) {
    for (Task t : tasks) {
      if (t.isStartable(now)) {
        return true;
      }
    }
    return false;
  }

  /** Returns how many tasks wait, also those that are tried again later. */
  int countWaiting() {
    int n = 0;
    for (Task t : tasks) {
      n += t.isWaiting() ? 1 : 0;
    }
    return n;
  }

  /** Returns whether a runner was chosen for one of its tasks at any time. */
  boolean wasPlaced() {
    for (Task t : tasks) {
      if (t.lastRun > 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether advice has allowed the present life of a runner. */
  boolean isAllowed(Runner r) {
    return allowed.contains(r.incarnationKey());
  }

  /** Returns whether advice has denied the present life of a runner. */
  boolean isDenied(Runner r) {
    return denied.contains(r.incarnationKey());
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
