package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.journal.JournalRecord.JobEnded;
import dev.dandelionport.core.journal.JournalRecord.JobForgotten;
import dev.dandelionport.core.scheduler.TaskState.Stopping;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/** Decides what follows the end of an attempt, schedules retries, and ends jobs. */
final class JobLifecycle {

  /**
   * How long a job is kept after its end so that a retried request finds its result, in
   * milliseconds.
   */
  static final long FINAL_JOB_RETENTION_MILLIS = 600_000;

  /** Base of the exponential backoff after repeated refusals of a start, in milliseconds. */
  private static final long REFUSAL_BACKOFF_MILLIS = 50;

  private final SchedulerState state;
  private final AttemptManager attempts;

  JobLifecycle(SchedulerState state, AttemptManager attempts) {
    this.state = state;
    this.attempts = attempts;
  }

  void attemptEnded(TaskState t, AttemptId a, AttemptOutcome outcome, String result) {
    JobState j = t.job;
    if (j.phase.isFinal()) {
      return;
    }
    boolean neutralOutcome =
        outcome == AttemptOutcome.NEVER_STARTED
            || outcome == AttemptOutcome.STOPPED
            || outcome == AttemptOutcome.CHECKPOINTED;
    if (outcome == AttemptOutcome.SUCCEEDED) {
      if (j.allDone()) {
        end(j, JobPhase.SUCCEEDED, "");
        return;
      }
    } else if (!neutralOutcome && !j.spec.repeatable()) {
      boolean lost = outcome == AttemptOutcome.LOST;
      end(j, lost ? JobPhase.UNKNOWN : JobPhase.FAILED, result);
      return;
    } else if (RetryPolicy.isExhausted(t)) {
      int n = t.failures + t.losses;
      end(j, JobPhase.FAILED, "gave up after " + n + " failed attempts: " + result);
      return;
    }
    j.updatePhase();
    if (j.isGang()) {
      gangAttemptEnded(t, a, outcome);
    } else if (!t.done) {
      scheduleRetry(t, a, outcome);
    }
    endIfTooLate(j);
  }

  /** Makes a task startable, either now or after a backoff. */
  private void scheduleRetry(TaskState t, AttemptId a, AttemptOutcome outcome) {
    long at = retryAtMillis(t, a, outcome);
    if (at <= state.now) {
      enqueue(t);
    } else {
      t.retryAtMillis = at;
      state.timers.at(at, () -> enqueueAfterBackoff(t, at));
    }
  }

  private long retryAtMillis(TaskState t, AttemptId a, AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.FAILED || outcome == AttemptOutcome.LOST) {
      state.counters.retries++;
      return state.retries.retryAtMillis(a, t.failures, state.now);
    }
    if (outcome == AttemptOutcome.NEVER_STARTED && t.refusals > 1) {
      return state.now
          + RetryPolicy.jittered(a.toString(), REFUSAL_BACKOFF_MILLIS << Math.min(7, t.refusals));
    }
    return state.now;
  }

  private void enqueueAfterBackoff(TaskState t, long at) {
    if (t.retryAtMillis == at && t.isWaiting() && !t.job.phase.isFinal()) {
      enqueue(t);
    }
  }

  private void gangAttemptEnded(TaskState t, AttemptId a, AttemptOutcome outcome) {
    JobState j = t.job;
    if (outcome == AttemptOutcome.SUCCEEDED && !j.restarting) {
      return;
    }
    boolean mayRestart = j.spec.repeatable() || !j.mayHaveStarted();
    if (!mayRestart) {
      // The other tasks must not run twice, so only the task that never ran starts again.
      scheduleRetry(t, a, outcome);
      return;
    }
    if (!j.restarting && !t.done) {
      j.restarting = true;
      state.counters.gangRestarts++;
      j.tasks.forEach(x -> attempts.stop(x, Stopping.GANG_RESTARTS));
    }
    if (j.restarting && j.hasNoOpenAttempt()) {
      // Finished tasks keep their results, so that they do not run again.
      j.restarting = false;
      j.updatePhase();
      long at = retryAtMillis(t, a, outcome);
      state.timers.at(at, () -> j.waitingTasks().stream().findFirst().ifPresent(this::enqueue));
    }
  }

  /** Adds a task, or the gang to which it belongs, to the waiting jobs. */
  void enqueue(TaskState t) {
    JobState j = t.job;
    if (j.phase.isFinal() || !t.isWaiting()) {
      return;
    }
    if (j.isGang() && j.hasNoOpenAttempt() && (j.doneTasks == 0 || j.spec.repeatable())) {
      state.waiting.addGang(j, state.nextSequence());
    } else {
      if (j.queue == null) {
        j.priority = priority(j);
      }
      state.waiting.add(t);
    }
  }

  private long priority(JobState j) {
    return switch (j.workloadClass()) {
      case URGENT -> j.spec.deadlineMillis();
      case DEFERRABLE ->
          j.spec.deadlineMillis()
              - remainingMillis(state.runTimes.p90Millis(j.spec), minSavedMillis(j));
      case SERVICE, GANG -> j.sequence;
    };
  }

  /** Schedules a check for the time after which a start would be too late. */
  void scheduleDeadlineCheck(JobState j) {
    state.timers.at(Math.max(state.now + 1, latestStartMillis(j)), () -> checkDeadline(j));
  }

  private void checkDeadline(JobState j) {
    if (j.phase.isFinal()) {
      return;
    }
    if (state.now < latestStartMillis(j)) {
      scheduleDeadlineCheck(j);
    } else {
      endIfTooLate(j);
    }
  }

  /**
   * Returns whether a task that started now would miss the deadline of its job, even with the 10th
   * percentile of measured run times.
   */
  boolean isTooLate(JobState j) {
    return state.now >= latestStartMillis(j)
        && !(j.workloadClass() == WorkloadClass.SERVICE && j.mayHaveStarted());
  }

  private long latestStartMillis(JobState j) {
    long runMillis =
        j.workloadClass() == WorkloadClass.SERVICE ? 0 : state.runTimes.p10Millis(j.spec);
    return j.spec.deadlineMillis() - remainingMillis(runMillis, minSavedMillis(j));
  }

  /** Returns the run time that remains after the time saved by checkpoints, in milliseconds. */
  private static long remainingMillis(long runMillis, long savedMillis) {
    return Math.max(0, runMillis - savedMillis);
  }

  /** Returns the lowest run time saved by checkpoints among the tasks that may start. */
  private static long minSavedMillis(JobState j) {
    long min = Long.MAX_VALUE;
    for (TaskState t : j.startableTasks) {
      min = Math.min(min, t.savedMillis);
      if (min == 0) {
        return 0;
      }
    }
    return min == Long.MAX_VALUE ? 0 : min;
  }

  /** Returns when a task with an open attempt is expected to end. */
  long expectedEndMillis(TaskState t) {
    return t.intendedMillis + remainingMillis(state.runTimes.p90Millis(t.job.spec), t.savedMillis);
  }

  /** Returns when a waiting task is expected to end if it starts now. */
  long expectedEndMillisIfStartedNow(TaskState t) {
    return state.now + remainingMillis(state.runTimes.p90Millis(t.job.spec), t.savedMillis);
  }

  /**
   * Returns the preemptible tasks, the one with the most slack before its deadline first.
   * Preempting the newest task first would preempt the tasks with the least slack, because tasks
   * start in the order of least slack.
   */
  List<TaskState> preemptionOrder(Collection<TaskState> openTasks) {
    List<TaskState> candidates = new ArrayList<>();
    for (TaskState t : openTasks) {
      if (t.isPreemptible()) {
        candidates.add(t);
      }
    }
    Collections.reverse(candidates);
    candidates.sort(Comparator.comparingLong(this::slackMillis).reversed());
    return candidates;
  }

  private long slackMillis(TaskState t) {
    return t.job.spec.deadlineMillis() - Math.max(state.now, expectedEndMillis(t));
  }

  /** Ends a waiting job that can no longer finish before its deadline; returns whether it did. */
  boolean endIfTooLate(JobState j) {
    if (j.phase.isFinal() || !isTooLate(j) || !j.hasNoOpenAttempt() || j.allDone()) {
      return false;
    }
    boolean started = j.mayHaveStarted();
    String reason =
        state.now >= j.spec.deadlineMillis()
            ? "deadline passed before a task could start"
            : "too late to finish: tasks of this kind run at least "
                + state.runTimes.p10Millis(j.spec)
                + " ms";
    end(j, started ? JobPhase.FAILED : JobPhase.NOT_RUN, reason);
    return true;
  }

  /** Ends a job and stops those of its attempts that may be stopped. */
  void end(JobState j, JobPhase phase, String reason) {
    for (TaskState t : j.tasks) {
      state.waiting.remove(t);
      attempts.clearNomination(t);
      if (phase == JobPhase.CANCELLED || j.spec.repeatable()) {
        attempts.stop(t, Stopping.JOB_ENDED);
      }
    }
    state.waiting.removeGang(j);
    j.restarting = false;
    j.phase = phase;
    j.reason = reason;
    j.endedMillis = state.now;
    if (phase == JobPhase.NOT_RUN) {
      state.counters.refusedJobs++;
    }
    state.addRecord(new JobEnded(j.spec.key(), phase, reason, state.now));
    // The worker keeps the result until the record of the end is durable, so an urgent repeatable
    // job need not wait for the commit: a new owner receives the result from the worker.
    boolean beforeCommit = phase == JobPhase.SUCCEEDED && j.spec.skipsCommitWait();
    state.addEffect(new Effect.JobChanged(j.status(), !beforeCommit));
    scheduleRemoval(j);
  }

  void scheduleRemoval(JobState j) {
    state.timers.at(
        Math.max(state.now + 1, j.endedMillis + FINAL_JOB_RETENTION_MILLIS), () -> remove(j));
  }

  private void remove(JobState j) {
    if (j.hasNoOpenAttempt()) {
      state.jobs.remove(j.spec.key());
      state.addRecord(new JobForgotten(j.spec.key()));
    } else {
      state.timers.at(state.now + FINAL_JOB_RETENTION_MILLIS / 10, () -> remove(j));
    }
  }
}
