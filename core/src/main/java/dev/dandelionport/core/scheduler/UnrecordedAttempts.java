package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.journal.JournalRecord.AttemptEnded;
import dev.dandelionport.core.journal.JournalRecord.AttemptIntended;
import dev.dandelionport.core.port.SyncReply;
import dev.dandelionport.core.scheduler.TaskState.Stopping;
import dev.dandelionport.core.scheduler.WorkerState.Commitment;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Attempts that workers report and that are missing from the journal: a former owner started them
 * and crashed before it could record them. They use capacity until their job is submitted again and
 * adopts them.
 */
final class UnrecordedAttempts {

  /** How long an attempt is kept until its job is submitted again, in milliseconds. */
  static final long RETENTION_MILLIS = 60_000;

  private static final class UnrecordedAttempt {
    final AttemptId attempt;
    final WorkerState worker;
    final ResourceVector size;
    final long expiresMillis;
    boolean stopSent;
    SyncReply.Finished finished;

    UnrecordedAttempt(
        AttemptId attempt, WorkerState worker, ResourceVector size, long expiresMillis) {
      this.attempt = attempt;
      this.worker = worker;
      this.size = size;
      this.expiresMillis = expiresMillis;
    }
  }

  private final SchedulerState state;
  private final AttemptManager attempts;
  private final Map<JobKey, Map<AttemptId, UnrecordedAttempt>> byJob = new HashMap<>();

  UnrecordedAttempts(SchedulerState state, AttemptManager attempts) {
    this.state = state;
    this.attempts = attempts;
  }

  /** Handles an attempt that a worker runs and that is not the current attempt of a known task. */
  void handleRunning(WorkerState w, SyncReply.Running r) {
    AttemptId a = r.attempt();
    UnrecordedAttempt unrecorded = getOrAdd(w, a, r.size());
    if (!w.committed.containsKey(a)) {
      state.fleet.commit(w, new Commitment(a, r.size(), a.job().team(), null), state.now);
      state.teams.of(a.job().team()).running++;
      state.teams.shares.add(a.job().team(), r.size());
    }
    JobState j = state.jobs.get(a.job());
    if (j != null) {
      adopt(j);
      if (state.currentTask(a) == null) {
        stop(unrecorded);
      }
    } else if (state.now >= unrecorded.expiresMillis) {
      stop(unrecorded);
    }
  }

  private UnrecordedAttempt getOrAdd(WorkerState w, AttemptId a, ResourceVector size) {
    Map<AttemptId, UnrecordedAttempt> ofJob =
        byJob.computeIfAbsent(
            a.job(),
            k ->
                new TreeMap<>(
                    Comparator.comparingInt(AttemptId::task).thenComparingInt(AttemptId::attempt)));
    UnrecordedAttempt unrecorded = ofJob.get(a);
    if (unrecorded == null) {
      unrecorded = new UnrecordedAttempt(a, w, size, state.now + RETENTION_MILLIS);
      ofJob.put(a, unrecorded);
    }
    return unrecorded;
  }

  private void stop(UnrecordedAttempt unrecorded) {
    unrecorded.stopSent = true;
    state.addEffect(new Effect.StopTask(unrecorded.attempt, unrecorded.worker.info.id()));
  }

  /**
   * Handles the result of an attempt of an unknown job; the result is kept in case the job is
   * submitted again.
   */
  void handleResult(WorkerState w, SyncReply.Finished end) {
    AttemptId a = end.attempt();
    if (state.jobs.containsKey(a.job()) || !state.isRecentTakeover()) {
      return;
    }
    UnrecordedAttempt unrecorded = getOrAdd(w, a, ResourceVector.ZERO);
    unrecorded.finished = end;
    state.timers.at(unrecorded.expiresMillis + 1, () -> remove(unrecorded));
  }

  private void remove(UnrecordedAttempt unrecorded) {
    Map<AttemptId, UnrecordedAttempt> ofJob = byJob.get(unrecorded.attempt.job());
    if (ofJob != null) {
      ofJob.remove(unrecorded.attempt);
      if (ofJob.isEmpty()) {
        byJob.remove(unrecorded.attempt.job());
      }
    }
  }

  /** Releases the resources of an attempt that its worker no longer runs. */
  void handleAbsent(WorkerState w, Commitment c) {
    state.fleet.release(w, c.attempt(), state.now);
    state.teams.of(c.team()).running--;
    state.teams.shares.remove(c.team(), c.size());
    Map<AttemptId, UnrecordedAttempt> ofJob = byJob.get(c.attempt().job());
    UnrecordedAttempt unrecorded = ofJob == null ? null : ofJob.get(c.attempt());
    if (unrecorded != null && unrecorded.finished == null) {
      remove(unrecorded);
    }
    state.capacityFreed(w);
    JobState j = state.jobs.get(c.attempt().job());
    if (j != null) {
      j.tasks.stream()
          .filter(t -> t.isWaiting() && !t.startable)
          .forEach(this::enqueueIfNoAttemptRuns);
    }
  }

  private void enqueueIfNoAttemptRuns(TaskState t) {
    if (t.retryAtMillis == 0 && !t.job.isGang() && !hasRunningAttempt(t)) {
      attempts.lifecycle().enqueue(t);
    }
  }

  /**
   * Returns whether an unrecorded attempt of the task is still running, so that the task must not
   * start.
   */
  boolean hasRunningAttempt(TaskState t) {
    Map<AttemptId, UnrecordedAttempt> ofJob = byJob.get(t.job.spec.key());
    return ofJob != null
        && ofJob.values().stream()
            .anyMatch(
                unrecorded -> unrecorded.attempt.task() == t.index && unrecorded.finished == null);
  }

  /**
   * Adopts the attempts that a former owner started for a job, at most the latest one of each task.
   */
  void adopt(JobState j) {
    Map<AttemptId, UnrecordedAttempt> ofJob = byJob.get(j.spec.key());
    if (ofJob == null || j.phase.isFinal()) {
      return;
    }
    for (UnrecordedAttempt unrecorded : new ArrayList<>(ofJob.values())) {
      if (unrecorded.attempt.task() >= j.tasks.size()) {
        continue;
      }
      TaskState t = j.tasks.get(unrecorded.attempt.task());
      boolean latest =
          unrecorded.attempt.attempt() > t.attempts && t.isWaiting() && isLatest(ofJob, unrecorded);
      if (latest && mayAdopt(j, unrecorded)) {
        remove(unrecorded);
        adoptAttempt(t, unrecorded);
      } else if (latest) {
        // The attempt ran, so the job must no longer be reported as not run.
        t.attempts = unrecorded.attempt.attempt();
        t.started = true;
        j.attemptMayHaveRun = true;
        state.waiting.remove(t);
      }
    }
  }

  private static boolean isLatest(
      Map<AttemptId, UnrecordedAttempt> ofJob, UnrecordedAttempt unrecorded) {
    return ofJob.keySet().stream()
        .noneMatch(
            a ->
                a.task() == unrecorded.attempt.task()
                    && a.attempt() > unrecorded.attempt.attempt());
  }

  private static boolean mayAdopt(JobState j, UnrecordedAttempt unrecorded) {
    boolean urgentRepeatable = j.workloadClass() == WorkloadClass.URGENT && j.spec.repeatable();
    boolean succeeded =
        unrecorded.finished != null && unrecorded.finished.outcome() == AttemptOutcome.SUCCEEDED;
    return urgentRepeatable
        && (succeeded || unrecorded.finished == null && unrecorded.size.equals(j.spec.taskSize()));
  }

  private void adoptAttempt(TaskState t, UnrecordedAttempt unrecorded) {
    final JobState j = t.job;
    WorkerState w = unrecorded.worker;
    state.waiting.remove(t);
    attempts.clearNomination(t);
    t.openAttempt(unrecorded.attempt, w.info.id(), w.incarnation, state.epoch, state.now);
    state.addRecord(
        new AttemptIntended(unrecorded.attempt, t.worker, t.incarnation, state.epoch, state.now));
    j.startedMillis = j.startedMillis == 0 ? state.now : j.startedMillis;
    state.counters.adoptedAttempts++;
    if (unrecorded.finished != null) {
      t.endAttempt(unrecorded.finished.outcome(), unrecorded.finished.result(), state.now);
      state.addRecord(
          new AttemptEnded(
              unrecorded.attempt,
              unrecorded.finished.outcome(),
              unrecorded.finished.result(),
              state.now));
      attempts
          .lifecycle()
          .attemptEnded(
              t, unrecorded.attempt, unrecorded.finished.outcome(), unrecorded.finished.result());
      return;
    }
    Commitment c = w.committed.get(unrecorded.attempt);
    state.fleet.release(w, unrecorded.attempt, state.now);
    state.teams.of(c.team()).running--;
    state.teams.shares.remove(c.team(), c.size());
    attempts.account(t, w);
    t.reportedRunning = true;
    if (unrecorded.stopSent) {
      t.stopping = Stopping.DRAIN;
      t.nextStopMillis = state.now;
    }
    j.updatePhase();
  }

  /** Returns the number of attempts of unknown jobs. */
  int count() {
    int n = 0;
    for (Map<AttemptId, UnrecordedAttempt> m : byJob.values()) {
      n += m.size();
    }
    return n;
  }

  /** Returns the attempts of unknown jobs, for tests and explanations. */
  List<AttemptId> attempts() {
    List<AttemptId> all = new ArrayList<>();
    byJob.values().forEach(m -> all.addAll(m.keySet()));
    return all;
  }
}
