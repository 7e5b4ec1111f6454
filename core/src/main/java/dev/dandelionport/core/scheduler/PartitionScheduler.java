package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.journal.JournalRecord;
import dev.dandelionport.core.journal.JournalRecord.JobAccepted;
import dev.dandelionport.core.manifest.Manifest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Schedules the jobs of one partition on its workers. Deterministic: the same events at the same
 * times result in the same decisions. Not thread-safe; the caller holds the lock of the partition.
 */
public final class PartitionScheduler {

  private final PartitionId partition;
  private final SchedulerState state;
  private final AttemptManager attempts;
  private final UnrecordedAttempts unrecordedAttempts;
  private final DrainController drainController;
  private final LimitEnforcer limitEnforcer;
  private final WorkerReportHandler reportHandler;
  private final FleetUpdater fleetUpdater;
  private final JournalReplay replay;
  private final AdmissionControl admission;
  private final GangScheduler gangScheduler;
  private final Placer placer;
  private final ShareBalancer shareBalancer;
  private boolean resumed;
  private boolean permitsReceived;

  /**
   * Creates the scheduler of {@code partition} under {@code epoch} and restores its jobs from the
   * journal.
   */
  public PartitionScheduler(
      PartitionId partition, long epoch, Manifest manifest, Iterable<JournalRecord> journal) {
    this.partition = partition;
    state = new SchedulerState(epoch, manifest);
    attempts = new AttemptManager(state);
    unrecordedAttempts = new UnrecordedAttempts(state, attempts);
    drainController = new DrainController(state, attempts);
    limitEnforcer = new LimitEnforcer(state, attempts);
    reportHandler = new WorkerReportHandler(state, attempts, unrecordedAttempts, drainController);
    fleetUpdater = new FleetUpdater(state, attempts, reportHandler, drainController);
    replay = new JournalReplay(state, attempts, fleetUpdater);
    admission = new AdmissionControl(state);
    Preemptor preemptor = new Preemptor(state, attempts);
    gangScheduler = new GangScheduler(state, attempts);
    placer = new Placer(state, attempts, preemptor, gangScheduler);
    shareBalancer = new ShareBalancer(state, attempts);
    state.setManifest(manifest);
    journal.forEach(replay::apply);
  }

  /**
   * Handles one event at {@code now}, milliseconds since the epoch, and returns the resulting
   * records and effects.
   */
  public Decision handle(Event event, long now) {
    state.beginStep(now);
    if (!resumed) {
      resumed = true;
      state.openedMillis = now;
      replay.resume();
    }
    state.timers.run(now);
    apply(event);
    if (state.placementAllowed) {
      placer.place();
    }
    return state.decision();
  }

  private void apply(Event event) {
    if (event instanceof Event.Submit e) {
      submit(e.spec());
    } else if (event instanceof Event.Cancel e) {
      cancel(e.job());
    } else if (event instanceof Event.FleetChanged e) {
      fleetUpdater.update(e.workers());
    } else if (event instanceof Event.WorkerReport e) {
      reportHandler.handleReport(e.worker(), e.reply());
    } else if (event instanceof Event.WorkerLost e) {
      reportHandler.handleLost(e.worker());
    } else if (event instanceof Event.WorkerUnresponsive e) {
      reportHandler.handleUnresponsive(e.worker());
    } else if (event instanceof Event.PlacementAllowed e) {
      state.placementAllowed = e.allowed();
    } else if (event instanceof Event.StartSent e) {
      startSent(e);
    } else if (event instanceof Event.StartRefused e) {
      attempts.handleEnd(e.attempt(), AttemptOutcome.NEVER_STARTED, e.reason());
    } else if (event instanceof Event.ManifestChanged e) {
      manifestChanged(e.manifest());
    } else if (event instanceof Event.PermitsChanged e) {
      state.teams.setPermits(e.permits());
      permitsReceived = true;
      limitEnforcer.enforce();
    } else if (event instanceof Event.Tick) {
      tick();
    }
  }

  private void submit(JobSpec spec) {
    JobState known = state.jobs.get(spec.key());
    if (known != null) {
      state.addEffect(new Effect.JobChanged(known.status(), true));
      return;
    }
    JobState j = new JobState(spec, state.now, state.nextSequence());
    state.jobs.put(spec.key(), j);
    state.addRecord(new JobAccepted(spec, state.now));
    unrecordedAttempts.adopt(j);
    Optional<String> refusal =
        j.mayHaveStarted() ? Optional.empty() : admission.refusalReason(spec);
    if (refusal.isPresent()) {
      attempts.lifecycle().end(j, JobPhase.NOT_RUN, refusal.get());
      return;
    }
    if (!j.phase.isFinal()) {
      attempts.lifecycle().scheduleDeadlineCheck(j);
      j.tasks.stream()
          .filter(t -> !unrecordedAttempts.hasRunningAttempt(t))
          .forEach(attempts.lifecycle()::enqueue);
      state.addEffect(new Effect.JobChanged(j.status(), true));
    }
  }

  private void cancel(JobKey key) {
    JobState j = state.jobs.get(key);
    if (j != null && !j.phase.isFinal()) {
      attempts.lifecycle().end(j, JobPhase.CANCELLED, "cancelled by its team");
    }
  }

  private void startSent(Event.StartSent e) {
    TaskState t = state.currentTask(e.attempt());
    if (t != null) {
      t.notAfterWorkerMillis = e.notAfterWorkerMillis();
    }
  }

  private void manifestChanged(Manifest m) {
    state.setManifest(m);
    state.capacityVersion++;
    state.waiting.unblockAll();
    enforceLimits();
    drainController.updateAll();
    for (JobState j : state.waiting.gangs()) {
      admission
          .unschedulableReason(j.spec)
          .filter(reason -> !j.mayHaveStarted())
          .ifPresent(reason -> attempts.lifecycle().end(j, JobPhase.NOT_RUN, reason));
    }
  }

  /**
   * Stops work over the limits. Before the first permits arrive, no work counts as over the limit.
   */
  private void enforceLimits() {
    if (permitsReceived) {
      limitEnforcer.enforce();
    }
  }

  private void tick() {
    enforceLimits();
    limitEnforcer.requestPermits();
    drainController.drainStep();
    placer.tick();
    shareBalancer.tick();
  }

  /**
   * Returns whether a planned start should still be sent: it is the current attempt of its task, no
   * stop was requested, the job has not ended, and the worker may get work.
   */
  public boolean shouldSendStart(AttemptId attempt) {
    TaskState t = state.currentTask(attempt);
    WorkerState w = t == null ? null : state.fleet.get(t.worker);
    return w != null
        && t.stopping == null
        && !t.job.phase.isFinal()
        && w.listed
        && !w.leaving
        && state.fleet.inService(w);
  }

  /** Returns how many attempts may be running in each failure domain of the workers. */
  public Map<String, Integer> runningByDomain() {
    Map<String, Integer> n = new TreeMap<>();
    for (WorkerState w : state.fleet.all()) {
      n.merge(w.info.failureDomain(), w.committed.size(), Integer::sum);
    }
    return n;
  }

  /** Returns the status of a job, if the job is known. */
  public Optional<JobStatus> status(JobKey key) {
    return Optional.ofNullable(state.jobs.get(key)).map(JobState::status);
  }

  /** Returns the specification of a job, if the job is known. */
  public Optional<JobSpec> spec(JobKey key) {
    return Optional.ofNullable(state.jobs.get(key)).map(j -> j.spec);
  }

  /** Returns why a job runs where it does, or why it waits, if the job is known. */
  public Optional<Explanation> explain(JobKey key) {
    return Optional.ofNullable(state.jobs.get(key))
        .map(j -> new Explainer(state, gangScheduler).explain(j));
  }

  /** Returns the statistics of the partition for metrics. */
  public SchedulerStats stats() {
    return new StatsCollector(state, unrecordedAttempts).collect();
  }

  /** Returns the number of attempts of a team that may be running. */
  public int running(TeamId team) {
    return state.teams.of(team).running;
  }

  /** Returns the epoch of the owner for which this scheduler was created. */
  public long epoch() {
    return state.epoch;
  }

  /** Returns the partition whose jobs are scheduled. */
  public PartitionId partition() {
    return partition;
  }

  /** Returns the records that restore the current jobs; a snapshot contains them in this order. */
  public List<JournalRecord> snapshot() {
    return replay.snapshot();
  }
}
