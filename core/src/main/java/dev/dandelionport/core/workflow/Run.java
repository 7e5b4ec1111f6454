package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;

/**
 * One attempt to run a task on one incarnation of a runner. It occupies its capacity until it has
 * certainly ended.
 */
final class Run {

  /** Progress of a run. */
  enum Phase {
    /** Its record is being written; no start was sent. */
    INTENDED,
    /** A start was sent, or a previous owner may have sent one; the runner has not confirmed it. */
    UNCONFIRMED,
    /** The runner has confirmed that it has the run. */
    CONFIRMED
  }

  /** Why a run is being stopped. */
  enum Stop {
    CANCELLED,
    PREEMPTED,
    /** Its gang cannot become complete. */
    GANG,
    /** It makes no progress. */
    STUCK,
    /** Its start was not answered; the stop prevents a delayed start from being carried out. */
    UNANSWERED,
    /** It is no longer needed: its task is done or its workflow has ended. */
    COPY
  }

  final Task task;
  final int number;
  final Runner runner;

  /** Incarnation of the runner for which it was intended or that reported it. */
  Incarnation incarnation;

  /** Resources that it occupies on its runner. */
  final ResourceVector reserved;

  /** Whether it has priority 0. */
  boolean urgent;

  /** Whether it is a probe that shows if a quarantined runner works again. */
  boolean probe;

  /** How often previous runs of its task, or of its gang, were stopped as stuck. */
  final int previousStuckCount;

  Phase phase = Phase.INTENDED;

  /** When the start was sent, on the owner's monotonic clock; 0 if it was not. */
  long startSentMillis;

  /** When the runner first confirmed the run, on the owner's monotonic clock; 0 if it has not. */
  long confirmedMillis;

  /** Whether a previous owner may have sent the start. */
  boolean inherited;

  /** Why it is being stopped; null if it is not. */
  Stop stopReason;

  /** When the latest stop was sent. */
  long stopSentMillis;

  /**
   * When the runner acknowledged a stop; it refuses the start if that arrives later. 0 if it has
   * not.
   */
  long stopAckMillis;

  /** Latest checkpoint that the runner reported. */
  String checkpoint = "";

  long checkpointMillis;

  Run(Task task, int number, Runner runner, Incarnation incarnation) {
    this.task = task;
    this.number = number;
    this.runner = runner;
    this.incarnation = incarnation;
    this.reserved = task.step.spec.reserved();
    this.previousStuckCount = task.stuckCount;
  }

  boolean matches(TaskKey key, int run) {
    return number == run && task.key.equals(key);
  }
}
