package dev.dandelionport.core.workflow;

/**
 * When the steps of a workflow run.
 *
 * @param firstMillis wall-clock time of the first occurrence, milliseconds since 1970
 * @param intervalMillis time between two occurrences
 * @param count number of occurrences; 0 for a workflow that runs once, immediately
 */
public record Recurrence(long firstMillis, long intervalMillis, int count) {

  /** Runs once, immediately. */
  public static final Recurrence ONCE = new Recurrence(0, 0, 0);

  /** Returns the number of times that the steps run. */
  public int occurrences() {
    return Math.max(1, count);
  }

  /** Returns when an occurrence is due, milliseconds since 1970; 0 for immediately. */
  public long dueMillis(int occurrence) {
    return count == 0 ? 0 : firstMillis + occurrence * intervalMillis;
  }
}
