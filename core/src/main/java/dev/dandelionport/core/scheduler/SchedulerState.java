package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.journal.JournalRecord;
import dev.dandelionport.core.manifest.FailureDomain;
import dev.dandelionport.core.manifest.Manifest;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** State shared by the components of {@link PartitionScheduler}. */
final class SchedulerState {
  final long epoch;
  final Map<JobKey, JobState> jobs = new LinkedHashMap<>();
  final Fleet fleet = new Fleet();
  final Teams teams = new Teams();
  final WaitingJobs waiting = new WaitingJobs();
  final Timers timers = new Timers();
  final RunTimeEstimator runTimes = new RunTimeEstimator();
  final RetryPolicy retries = new RetryPolicy();
  final Counters counters = new Counters();
  Manifest manifest;
  long now;

  /** Time of the first event. */
  long openedMillis;

  /**
   * Incremented whenever capacity becomes free; gangs are tried again only after it has changed.
   */
  long capacityVersion;

  /** Workers on which capacity became free since waiting work was last placed. */
  final Set<WorkerState> workersWithFreedCapacity = new LinkedHashSet<>();

  /** Whether tasks may be started; see {@link Event.PlacementAllowed}. */
  boolean placementAllowed = true;

  private long nextSequence;
  private List<JournalRecord> records = new ArrayList<>();
  private List<Effect> effects = new ArrayList<>();

  SchedulerState(long epoch, Manifest manifest) {
    this.epoch = epoch;
    this.manifest = manifest;
  }

  /** Returns whether attempts that a former owner did not record may still be reported. */
  boolean isRecentTakeover() {
    return now - openedMillis < UnrecordedAttempts.RETENTION_MILLIS;
  }

  long nextSequence() {
    return nextSequence++;
  }

  void beginStep(long atMillis) {
    now = atMillis;
    records = new ArrayList<>();
    effects = new ArrayList<>();
  }

  Decision decision() {
    return new Decision(records, effects);
  }

  void addRecord(JournalRecord r) {
    records.add(r);
  }

  void addEffect(Effect e) {
    effects.add(e);
  }

  void setManifest(Manifest m) {
    manifest = m;
    teams.setManifest(m);
    fleet.setInService(
        m.failureDomains().stream()
            .filter(FailureDomain::inService)
            .map(FailureDomain::id)
            .collect(Collectors.toSet()),
        now);
    teams.shares.setCapacity(fleet.capacity());
  }

  /** Returns the task whose current attempt is {@code a}, or null. */
  TaskState currentTask(AttemptId a) {
    TaskState t = task(a);
    return t != null && a.equals(t.attempt) ? t : null;
  }

  /** Returns the task to which the current or former attempt {@code a} belongs, or null. */
  TaskState task(AttemptId a) {
    JobState j = jobs.get(a.job());
    return j == null || a.task() < 0 || a.task() >= j.tasks.size() ? null : j.tasks.get(a.task());
  }

  /**
   * Updates the index and the totals after a change to a worker, and lets blocked work be tried
   * there.
   */
  void workerChanged(WorkerState w) {
    fleet.reindex(w, now);
    teams.shares.setCapacity(fleet.capacity());
    capacityFreed(w);
  }

  /** Records that capacity became free on a worker. */
  void capacityFreed(WorkerState w) {
    if (w.usable) {
      capacityVersion++;
      if (waiting.hasBlocked()) {
        workersWithFreedCapacity.add(w);
      }
    }
  }
}
