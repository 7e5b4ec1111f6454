package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Applies the directory of runners to the cell. */
final class RunnerDirectory {

  private final CellState cell;

  RunnerDirectory(CellState cell) {
    this.cell = cell;
  }

  /**
   * Replaces the list of runners. A runner that is no longer listed is kept while runs may be
   * active on it.
   */
  void replace(List<RunnerDescription> list) {
    Set<String> ids = new HashSet<>();
    for (RunnerDescription d : list) {
      ids.add(d.id());
      Runner r = cell.runners.get(d.id());
      if (r == null) {
        r = new Runner(d);
        r.describedMillis = cell.now;
        cell.runners.put(d.id(), r);
        logListed(r, d);
      } else if (r.description.incarnation() != d.incarnation()) {
        logListed(r, d);
      }
      if (d.draining() && !r.description.draining()) {
        cell.log(Topic.RUNNER_GONE, "runner", d.id(), "why", "draining");
      }
      if (r.description.incarnation() != d.incarnation()) {
        r.describedMillis = cell.now;
      }
      r.description = d;
      r.listed = true;
    }
    for (Runner r : List.copyOf(cell.runners.values())) {
      if (!ids.contains(r.id())) {
        if (r.listed) {
          cell.log(Topic.RUNNER_GONE, "runner", r.id(), "why", "not listed");
        }
        r.listed = false;
        if (r.runs.isEmpty()) {
          cell.runners.remove(r.id());
        }
      }
    }
  }

  /** Logs that the directory lists an incarnation that it did not list before. */
  private void logListed(Runner r, RunnerDescription d) {
    boolean answered = r.incarnation == d.incarnation();
    cell.log(
        Topic.RUNNER_LISTED,
        "runner",
        d.id(),
        "domain",
        d.failureDomain(),
        "born",
        d.incarnation(),
        "answeredBorn",
        r.incarnation,
        "waitedMillis",
        answered ? cell.now - r.incarnationSeenMillis : 0);
  }
}
