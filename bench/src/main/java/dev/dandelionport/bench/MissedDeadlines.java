package dev.dandelionport.bench;

import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.scheduler.JobPhase;
import dev.dandelionport.core.scheduler.JobStatus;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** Classifies why deferrable jobs with one task missed their deadlines. */
final class MissedDeadlines {

  /** Cause of a missed deadline. If several apply, the first in this order counts. */
  enum Cause {
    /** The run time of the task exceeds the time from arrival to deadline. */
    IMPOSSIBLE,
    /** The worker was lost and the task is not repeatable. */
    NOT_REPEATABLE_LOST,
    /** The task failed on the failing worker and is not repeatable. */
    NOT_REPEATABLE_FAILED,
    /** The scheduler refused or ended the job before it ran, because of learned run times. */
    GIVEN_UP_BEFORE_START,
    /** The scheduler ended the job after a stop or a loss, because of learned run times. */
    GIVEN_UP_AFTER_START,
    /** The worker was lost and the task was restarted too late. */
    LOST,
    /** The task failed on the failing worker and was restarted too late. */
    FAILED,
    /** The task was stopped in favour of other work and was restarted too late. */
    STOPPED,
    /** The task never started, and the scheduler did not end the job. */
    NEVER_STARTED,
    /** The task started once, but too late. */
    STARTED_LATE
  }

  private static final class Job {
    final Scenario.Arrival arrival;
    JobPhase phase;
    long firstStart;
    boolean lost;
    boolean failed;
    boolean stopped;

    Job(Scenario.Arrival arrival) {
      this.arrival = arrival;
    }

    Cause cause() {
      boolean endedByScheduler = phase == JobPhase.NOT_RUN || phase == JobPhase.FAILED && !failed;
      if (arrival.atMillis() + arrival.runMillis() > arrival.spec().deadlineMillis()) {
        return Cause.IMPOSSIBLE;
      } else if (lost && !arrival.spec().repeatable()) {
        return Cause.NOT_REPEATABLE_LOST;
      } else if (failed && !arrival.spec().repeatable()) {
        return Cause.NOT_REPEATABLE_FAILED;
      } else if (endedByScheduler) {
        return firstStart == 0 ? Cause.GIVEN_UP_BEFORE_START : Cause.GIVEN_UP_AFTER_START;
      } else if (lost) {
        return Cause.LOST;
      } else if (failed) {
        return Cause.FAILED;
      } else if (stopped) {
        return Cause.STOPPED;
      }
      return firstStart == 0 ? Cause.NEVER_STARTED : Cause.STARTED_LATE;
    }
  }

  private final Map<JobKey, Job> jobs = new HashMap<>();

  /** Adds a submitted job; it counts as missed until {@link #met} is called for it. */
  void track(Scenario.Arrival a) {
    jobs.put(a.spec().key(), new Job(a));
  }

  /** Removes a job that met its deadline. */
  void met(JobKey key) {
    jobs.remove(key);
  }

  void started(JobKey key, long now) {
    Job j = jobs.get(key);
    if (j != null && j.firstStart == 0) {
      j.firstStart = now;
    }
  }

  void lost(JobKey key) {
    Job j = jobs.get(key);
    if (j != null) {
      j.lost = true;
    }
  }

  void failed(JobKey key) {
    Job j = jobs.get(key);
    if (j != null) {
      j.failed = true;
    }
  }

  void stopped(JobKey key) {
    Job j = jobs.get(key);
    if (j != null) {
      j.stopped = true;
    }
  }

  void ended(JobStatus status) {
    Job j = jobs.get(status.key());
    if (j != null) {
      j.phase = status.phase();
    }
  }

  /** Returns the number of missed deadlines for each cause. */
  Map<Cause, Integer> countByCause() {
    Map<Cause, Integer> counts = new EnumMap<>(Cause.class);
    jobs.values().forEach(j -> counts.merge(j.cause(), 1, Integer::sum));
    return counts;
  }
}
