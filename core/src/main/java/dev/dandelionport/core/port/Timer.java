package dev.dandelionport.core.port;

/** Schedules delayed actions; tests substitute virtual time. */
public interface Timer {
  /** Runs {@code action} once, {@code delayMillis} milliseconds from now. */
  void schedule(long delayMillis, Runnable action);
}
