package dev.dandelionport.core.scheduler;

import java.util.LinkedHashSet;
import java.util.Set;

/** What one team runs in the partition and how much it may run. */
final class TeamUsage {

  /** Limit of the manifest. */
  int limit;

  /** Permits that this partition holds. */
  int permits;

  /** Attempts that may be running, also those of unknown jobs. */
  int running;

  /** Attempts among them that have been told to end because the team is over its limit. */
  int stoppingOverLimit;

  /** Starts that are set aside for the gang that holds the reservation. */
  int reserved;

  /** When permits were last asked for, milliseconds since the epoch. */
  long requestedMillis;

  /** Tasks with an open attempt, in the order in which they started. */
  final Set<TaskState> openTasks = new LinkedHashSet<>();

  /** Returns the most attempts that may run here. */
  int maxRunning() {
    return Math.min(limit, permits);
  }
}
