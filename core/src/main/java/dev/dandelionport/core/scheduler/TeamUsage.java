package dev.dandelionport.core.scheduler;

import java.util.LinkedHashSet;
import java.util.Set;

/** What one team runs in the partition and how much it may run. */
final class TeamUsage {

  /** Limit according to the manifest. */
  int limit;

  /** Permits that this partition holds. */
  int permits;

  /** Attempts that may be running, including those of unknown jobs. */
  int running;

  /** Attempts among them that are being stopped because the team is over its limit. */
  int stoppingOverLimit;

  /** Starts reserved for the gang that holds the reservation. */
  int reserved;

  /** When permits were last requested, milliseconds since the epoch. */
  long lastRequestMillis;

  /** Tasks with an open attempt, in the order in which they started. */
  final Set<TaskState> openTasks = new LinkedHashSet<>();

  /** Returns the maximum number of attempts that may run in this partition. */
  int maxRunning() {
    return Math.min(limit, permits);
  }
}
