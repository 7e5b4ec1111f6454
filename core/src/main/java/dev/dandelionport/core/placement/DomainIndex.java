package dev.dandelionport.core.placement;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.port.WorkerInfo;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The workers of one failure domain, sorted by rack and name. */
final class DomainIndex {
  final String name;
  private final List<WorkerInfo> workers;
  private final Map<String, int[]> rackRanges = new HashMap<>();
  private final Map<WorkerIndex.CapacityKind, CapacityTree> trees =
      new EnumMap<>(WorkerIndex.CapacityKind.class);

  /** Number of tasks in the domain; used to select the least loaded domain. */
  int tasks;

  DomainIndex(String name, List<WorkerInfo> sorted) {
    this.name = name;
    this.workers = new ArrayList<>(sorted);
    for (WorkerIndex.CapacityKind kind : WorkerIndex.CapacityKind.values()) {
      trees.put(kind, new CapacityTree(workers.size()));
    }
    for (int i = 0; i < workers.size(); i++) {
      int[] range = rackRanges.computeIfAbsent(workers.get(i).rack(), k -> new int[2]);
      range[0] = range[1] == 0 ? i : range[0];
      range[1] = i + 1;
    }
  }

  double tasksPerWorker() {
    return (double) tasks / workers.size();
  }

  void setCapacity(int position, WorkerIndex.CapacityKind kind, ResourceVector capacity) {
    trees.get(kind).set(position, capacity);
  }

  WorkerId find(WorkerIndex.CapacityKind kind, ResourceVector size, int[] avoid) {
    return workerAt(trees.get(kind).find(size, 0, workers.size(), avoid));
  }

  /**
   * Searches the racks after {@code rack} first, so that consecutive tasks are spread over racks.
   */
  WorkerId findAfterRack(
      WorkerIndex.CapacityKind kind, ResourceVector size, String rack, int[] avoid) {
    int[] range = rackRanges.get(rack);
    int from = range == null ? 0 : range[1];
    CapacityTree tree = trees.get(kind);
    int found = tree.find(size, from, workers.size(), avoid);
    if (found == CapacityTree.NOT_FOUND && from > 0) {
      found = tree.find(size, 0, from, avoid);
    }
    return workerAt(found);
  }

  long comparisons() {
    return trees.values().stream().mapToLong(CapacityTree::comparisons).sum();
  }

  private WorkerId workerAt(int position) {
    return position == CapacityTree.NOT_FOUND ? null : workers.get(position).id();
  }
}
