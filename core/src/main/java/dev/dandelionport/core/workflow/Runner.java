package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.health.FlapDetector;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The scheduler's view of a runner and of the runs on it. What the directory and the reports say of
 * it belongs to one of its incarnations; it gets work only while both speak of the same one.
 */
final class Runner {

  private final String id;

  /** Starts of the runner, over all incarnations. */
  private final FlapDetector starts = new FlapDetector();

  /** Incarnations that are listed, have reported last or may have runs, by their start. */
  private final Map<Long, Incarnation> incarnations = new HashMap<>();

  /** Incarnation that reported last; one without a start if none has reported. */
  private Incarnation current;

  /** Incarnation of the latest entry; one without a start if there was none. */
  private Incarnation described;

  /** Whether the directory currently lists it. */
  boolean listed;

  /**
   * Whether the current incarnation has reported to this owner. From then on, it refuses orders of
   * previous owners.
   */
  boolean ownerConfirmed;

  /** When the call for the latest report was sent, on the owner's monotonic clock. */
  private long reportSentMillis = Long.MIN_VALUE;

  /** Whether calls to it currently fail. */
  boolean unresponsive;

  /** Runs that may be active, in the order of their start. */
  final Set<Run> runs = new LinkedHashSet<>();

  ResourceVector used = ResourceVector.ZERO;

  /** Part of {@link #used} that runs of priority 0 take. */
  ResourceVector urgentUsed = ResourceVector.ZERO;

  /** Creates a runner that is not listed and has not reported. */
  Runner(String id) {
    this.id = id;
    this.current = incarnation(0);
    this.described = current;
  }

  String id() {
    return id;
  }

  /** Returns the incarnation that began at {@code startMillis} by the runner's wall clock. */
  Incarnation incarnation(long startMillis) {
    return incarnations.computeIfAbsent(
        startMillis, k -> new Incarnation(new IncarnationId(id, k), new RunnerHealth(starts)));
  }

  /** Returns the incarnation that reported last; one whose start is 0 if none has reported. */
  Incarnation current() {
    return current;
  }

  /** Returns the incarnation that the directory lists or has listed last. */
  Incarnation described() {
    return described;
  }

  /** Returns the description of the current incarnation. */
  RunnerDescription description() {
    return current.description;
  }

  /** Returns the rating of the current incarnation. */
  RunnerHealth health() {
    return current.health;
  }

  /** Records the entry of an incarnation in the directory. */
  void list(RunnerDescription d, long now) {
    listed = true;
    described = incarnation(d.incarnation());
    described.description = d;
    described.listedMillis = described.listedMillis < 0 ? now : described.listedMillis;
    removeUnusedIncarnations();
  }

  /**
   * Records that an incarnation has reported. Returns whether it is another one than before.
   *
   * @param sentMillis when the call was sent, on the owner's monotonic clock
   */
  boolean recordReport(long startMillis, long sentMillis, long now) {
    reportSentMillis = Math.max(reportSentMillis, sentMillis);
    ownerConfirmed = true;
    unresponsive = false;
    if (current.startMillis() == startMillis) {
      return false;
    }
    current = incarnation(startMillis);
    current.reportedMillis = now;
    starts.recordStart(now);
    removeUnusedIncarnations();
    return true;
  }

  private void removeUnusedIncarnations() {
    Set<Incarnation> inUse = new HashSet<>(Set.of(current));
    inUse.add(described);
    runs.forEach(x -> inUse.add(x.incarnation));
    incarnations.values().retainAll(inUse);
  }

  /**
   * Returns whether the directory lists the incarnation that reported last. Until it does, nothing
   * is known of the kind and the capacity of the one that would get the work.
   */
  boolean isDescribed() {
    return listed && described == current;
  }

  /** Returns whether it may get work, regardless of the kind of work. */
  boolean isReady() {
    return isDescribed() && ownerConfirmed && !unresponsive && !description().draining();
  }

  /**
   * Returns whether the directory lists an incarnation that may have begun after the latest report:
   * it was first listed after the call for that report was sent.
   */
  boolean mayHaveRestarted() {
    return listed && described != current && described.listedMillis >= reportSentMillis;
  }

  ResourceVector free() {
    return description().capacity().minus(used);
  }

  void add(Run r) {
    if (runs.add(r)) {
      used = used.plus(r.reserved);
      urgentUsed = r.urgent ? urgentUsed.plus(r.reserved) : urgentUsed;
    }
  }

  void remove(Run r) {
    if (runs.remove(r)) {
      used = used.minus(r.reserved);
      urgentUsed = r.urgent ? urgentUsed.minus(r.reserved) : urgentUsed;
    }
  }

  /** Returns a run on this runner, or null. */
  Run findRun(TaskKey task, int number) {
    for (Run r : runs) {
      if (r.matches(task, number)) {
        return r;
      }
    }
    return null;
  }

  /** Returns how many runs of a step are on this runner. */
  int countRuns(Step s) {
    int n = 0;
    for (Run r : runs) {
      n += r.task.step == s ? 1 : 0;
    }
    return n;
  }

  /** Returns the rack, which is the last label; empty without labels. */
  String rack() {
    List<String> labels = description().labels();
    return labels.isEmpty() ? "" : labels.get(labels.size() - 1);
  }
}
