package dev.dandelionport.bench;

import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.scheduler.JobPhase;
import dev.dandelionport.core.scheduler.JobStatus;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** Finds out why deferrable jobs of one task missed their deadlines. */
final class MissedDeadlines {

  /** Main cause of a miss; the first that applies in this order. */
  enum Cause {
    /** The task runs longer than its caller allowed. */
    IMPOSSIBLE,
    /** Its worker was lost, and it may not run again. */
    NOT_REPEATABLE_LOST,
    /** The failing worker failed it, and it may not run again. */
    NOT_REPEATABLE_FAILED,
    /** Refused or given up by the learned run times before it ran. */
    GIVEN_UP_BEFORE_START,
    /** Given up by the learned run times after a stop or a loss. */
    GIVEN_UP_AFTER_START,
    /** Lost with its worker and started again too late. */
    LOST,
    /** Failed on the failing worker and started again too late. */
    FAILED,
    /** Ended for other work and started again too late. */
    STOPPED,
    /** Never started, and never given up. */
    NEVER_STARTED,
    /** Started once, but too late. */
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
      boolean givenUp = phase == JobPhase.NOT_RUN || phase == JobPhase.FAILED && !failed;
      if (arrival.atMillis() + arrival.runMillis() > arrival.spec().deadlineMillis()) {
        return Cause.IMPOSSIBLE;
      } else if (lost && !arrival.spec().repeatable()) {
        return Cause.NOT_REPEATABLE_LOST;
      } else if (failed && !arrival.spec().repeatable()) {
        return Cause.NOT_REPEATABLE_FAILED;
      } else if (givenUp) {
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

  void track(Scenario.Arrival a) {
    jobs.put(a.spec().key(), new Job(a));
  }

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

  Map<Cause, Integer> countByCause() {
    Map<Cause, Integer> counts = new EnumMap<>(Cause.class);
    jobs.values().forEach(j -> counts.merge(j.cause(), 1, Integer::sum));
    return counts;
  }
}
