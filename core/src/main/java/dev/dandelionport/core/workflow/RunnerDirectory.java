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
      list(cell.runners.computeIfAbsent(d.id(), Runner::new), d);
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

  private void list(Runner r, RunnerDescription d) {
    Incarnation before = r.described();
    boolean wasListed = r.listed;
    boolean wasDraining = before.description.draining();
    r.list(d, cell.now);
    boolean sameIncarnation = wasListed && r.described() == before;
    if (!sameIncarnation) {
      logListed(r);
    }
    if (d.draining() && !(sameIncarnation && wasDraining)) {
      cell.log(Topic.RUNNER_GONE, "runner", d.id(), "why", "draining");
    }
  }

  /** Logs that the directory lists an incarnation that it did not list before. */
  private void logListed(Runner r) {
    Incarnation x = r.described();
    cell.log(
        Topic.RUNNER_LISTED,
        "runner",
        r.id(),
        "domain",
        x.description.failureDomain(),
        "born",
        x.startMillis(),
        "answeredBorn",
        r.current().startMillis(),
        "waitedMillis",
        r.isDescribed() ? cell.now - x.reportedMillis : 0);
  }
}
