package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;

/** One try to run a task on one life of a runner. It takes room until it certainly has ended. */
final class Run {

  /** How far a run has come. */
  enum Phase {
    /** Its record is being made durable; no start was sent. */
    INTENDED,
    /** A start was sent, or a former owner may have sent one; the runner has not confirmed it. */
    UNCONFIRMED,
    /** The runner has confirmed that it has the run. */
    CONFIRMED
  }

  /** Why a run was told to stop. */
  enum Stop {
    CANCELLED,
    PREEMPTED,
    /** Its gang cannot become whole. */
    GANG,
    /** It makes no progress. */
    STUCK,
    /** Its start was not answered; the stop keeps a late start from being carried out. */
    UNANSWERED,
    /** Another copy of the task is done. */
    COPY
  }

  final Task task;
  final int number;
  final Runner runner;

  /** Life of the runner that it was meant for or was seen on. */
  long incarnation;

  /** Room that it takes of its runner. */
  final ResourceVector reserved;

  /** Whether it is of the first priority. */
  boolean urgent;

  /** Whether it shows if a runner that was held back works again. */
  boolean probe;

  /** How often earlier runs of its task, or of its gang, were stopped as stuck. */
  final int previousStuckCount;

  Phase phase = Phase.INTENDED;

  /** When the start was sent, on the owner's steady clock; 0 if it was not. */
  long startSentMillis;

  /** When the runner first confirmed the run, on the owner's steady clock; 0 if it has not. */
  long confirmedMillis;

  /** Whether a former owner may have sent the start. */
  boolean inherited;

  /** Why it was told to stop; null if it was not. */
  Stop stopReason;

  /** When the latest stop was sent. */
  long stopSentMillis;

  /** When the runner acknowledged a stop; a start that comes later is refused. 0 if it has not. */
  long stopAckMillis;

  /** Newest checkpoint that the runner reported. */
  String checkpoint = "";

  long checkpointMillis;

  Run(Task task, int number, Runner runner, long born) {
    this.task = task;
    this.number = number;
    this.runner = runner;
    this.incarnation = born;
    this.reserved = task.step.spec.reserved();
    this.previousStuckCount = task.stuckCount;
  }

  boolean matches(TaskKey key, int run) {
    return number == run && task.key.equals(key);
  }
}
