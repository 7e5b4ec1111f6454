package dev.dandelionport.core.scheduler;

/** Totals since the scheduler was created. */
final class Counters {
  long starts;
  long preemptions;
  long retries;
  long refusedJobs;
  long adoptedAttempts;
  long gangRestarts;
  long failedSearches;
}
