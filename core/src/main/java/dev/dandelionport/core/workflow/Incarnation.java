package dev.dandelionport.core.workflow;

/**
 * What is known of one incarnation of a runner. All of it ends with the incarnation: nothing here
 * is ever copied to the next one, whatever the order in which the entry and the reports of that
 * arrive.
 */
final class Incarnation {

  final IncarnationId id;

  /** Description in its entry; without service, capacity and labels until the entry was read. */
  RunnerDescription description;

  /** Rating by the runs that it was given. */
  final RunnerHealth health;

  /** When the directory first listed it, on the owner's monotonic clock; -1 if it has not. */
  long listedMillis = -1;

  /** When it first reported, on the owner's monotonic clock; -1 if it has not. */
  long reportedMillis = -1;

  /** Highest number of an end that was handled. */
  long lastEndNumber;

  /** Whether its latest report may have left out ends. */
  boolean endsLeftOut;

  Incarnation(IncarnationId id, RunnerHealth health) {
    this.id = id;
    this.health = health;
    this.description = RunnerDescription.unknown(id.runner(), id.startMillis());
  }

  long startMillis() {
    return id.startMillis();
  }
}
