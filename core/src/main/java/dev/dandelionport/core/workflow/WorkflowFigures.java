package dev.dandelionport.core.workflow;

/**
 * Figures about a cell.
 *
 * @param workflows workflows in memory
 * @param open workflows that are not over
 * @param waitingTasks tasks whose turn has come and that wait
 * @param runs runs that may be under way
 * @param runners listed runners
 * @param usableRunners runners that may get work
 */
public record WorkflowFigures(
    int workflows, int open, int waitingTasks, int runs, int runners, int usableRunners) {

  static WorkflowFigures of(Cell cell) {
    int open = 0;
    for (Workflow w : cell.workflows.values()) {
      open += w.state.isFinal() ? 0 : 1;
    }
    int waiting = 0;
    for (Step s : cell.ready) {
      waiting += (int) s.tasks.stream().filter(Task::waits).count();
    }
    int runs = 0;
    int listed = 0;
    int usable = 0;
    for (Runner r : cell.runners.values()) {
      runs += r.runs.size();
      listed += r.listed ? 1 : 0;
      boolean takes = r.listed && r.fenced && !r.silent && !r.info.draining();
      usable += takes && r.health.accepts(cell.now) ? 1 : 0;
    }
    return new WorkflowFigures(cell.workflows.size(), open, waiting, runs, listed, usable);
  }
}
