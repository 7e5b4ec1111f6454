package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.journal.JournalRecord;
import dev.dandelionport.core.journal.JournalRecord.AttemptEnded;
import dev.dandelionport.core.journal.JournalRecord.AttemptIntended;
import dev.dandelionport.core.journal.JournalRecord.JobAccepted;
import dev.dandelionport.core.journal.JournalRecord.JobEnded;
import dev.dandelionport.core.journal.JournalRecord.JobForgotten;
import dev.dandelionport.core.journal.JournalRecord.TaskProgress;
import dev.dandelionport.core.scheduler.TaskState.Stopping;
import java.util.ArrayList;
import java.util.List;

/** Restores jobs from journal records, and creates the records of a snapshot. */
final class JournalReplay {
  private final SchedulerState state;
  private final AttemptManager attempts;
  private final FleetUpdater fleetUpdater;

  JournalReplay(SchedulerState state, AttemptManager attempts, FleetUpdater fleetUpdater) {
    this.state = state;
    this.attempts = attempts;
    this.fleetUpdater = fleetUpdater;
  }

  void apply(JournalRecord r) {
    if (r instanceof JobAccepted a) {
      state.jobs.put(a.job(), new JobState(a.spec(), a.atMillis(), state.nextSequence()));
      return;
    }
    JobState j = state.jobs.get(r.job());
    if (j == null) {
      return;
    }
    if (r instanceof AttemptIntended a) {
      TaskState t = j.tasks.get(a.attempt().task());
      t.openAttempt(a.attempt(), a.worker(), a.incarnation(), a.epoch(), a.atMillis());
      j.startedMillis = j.startedMillis == 0 ? a.atMillis() : j.startedMillis;
    } else if (r instanceof AttemptEnded a) {
      applyAttemptEnded(j, a);
    } else if (r instanceof TaskProgress p) {
      applyProgress(j, p);
    } else if (r instanceof JobEnded e) {
      j.phase = e.phase();
      j.reason = e.reason();
      j.endedMillis = e.atMillis();
    } else if (r instanceof JobForgotten) {
      state.jobs.remove(r.job());
    }
    j.updatePhase();
  }

  private void applyAttemptEnded(JobState j, AttemptEnded a) {
    TaskState t = j.tasks.get(a.attempt().task());
    t.attempts = Math.max(t.attempts, a.attempt().attempt());
    if (a.outcome() == AttemptOutcome.SUCCEEDED) {
      state.runTimes.addSample(j.spec, t.savedMillis + t.elapsedMillis(a.atMillis()));
    }
    t.endAttempt(a.outcome(), a.result(), a.atMillis());
  }

  private static void applyProgress(JobState j, TaskProgress p) {
    TaskState t = j.tasks.get(p.task());
    t.attempts = p.attempts();
    t.failures = p.failures();
    t.losses = p.losses();
    t.failedOn.addAll(p.failedOn());
    t.started = p.started();
    t.savedMillis = p.savedMillis();
    j.attemptMayHaveRun |= p.started();
    if (p.done()) {
      t.markDone(p.result());
    }
    j.startedMillis = p.jobStartedMillis();
  }

  /** Resumes unfinished jobs. Called with the first event, because the time is not known before. */
  void resume() {
    for (JobState j : List.copyOf(state.jobs.values())) {
      for (TaskState t : j.tasks) {
        if (t.attempt != null) {
          attempts.accountForTeam(t);
          fleetUpdater.addReplayedAttempt(t);
        }
      }
      if (j.phase.isFinal()) {
        attempts.lifecycle().scheduleRemoval(j);
      } else {
        resume(j);
      }
    }
  }

  private void resume(JobState j) {
    attempts.lifecycle().scheduleDeadlineCheck(j);
    boolean gangPartlyWaiting = j.isGang() && j.tasks.stream().anyMatch(TaskState::isWaiting);
    if (gangPartlyWaiting && j.spec.repeatable() && !j.hasNoOpenAttempt()) {
      j.restarting = true;
      j.tasks.forEach(t -> attempts.stop(t, Stopping.GANG_RESTARTS));
      return;
    }
    j.tasks.forEach(attempts.lifecycle()::enqueue);
  }

  /** Returns the records that restore the current jobs. */
  List<JournalRecord> snapshot() {
    List<JournalRecord> records = new ArrayList<>();
    for (JobState j : state.jobs.values()) {
      records.add(new JobAccepted(j.spec, j.acceptedMillis));
      for (TaskState t : j.tasks) {
        snapshot(j, t, records);
      }
      if (j.phase.isFinal()) {
        records.add(new JobEnded(j.spec.key(), j.phase, j.reason, j.endedMillis));
      }
    }
    return records;
  }

  private static void snapshot(JobState j, TaskState t, List<JournalRecord> records) {
    if (t.attempts > 0) {
      records.add(
          new TaskProgress(
              j.spec.key(),
              t.index,
              t.attempts,
              t.failures,
              t.losses,
              t.failedOn,
              t.started,
              t.done,
              t.result,
              j.startedMillis,
              t.savedMillis));
    }
    if (t.attempt != null) {
      AttemptId a = t.attempt;
      records.add(new AttemptIntended(a, t.worker, t.incarnation, t.epoch, t.intendedMillis));
    }
  }
}
