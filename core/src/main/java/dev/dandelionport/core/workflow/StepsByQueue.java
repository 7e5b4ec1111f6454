package dev.dandelionport.core.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

/** Steps grouped by queue; those of a queue keep the order in which they were added. */
final class StepsByQueue {

  /** The steps of a queue and its priority. */
  private record Group(String queue, int priority, Set<Step> steps) {}

  private final Map<String, Group> groups = new LinkedHashMap<>();

  void add(Step s) {
    groups
        .computeIfAbsent(
            s.workflow.spec.queue(), k -> new Group(k, s.priority, new LinkedHashSet<>()))
        .steps()
        .add(s);
  }

  void clear() {
    groups.clear();
  }

  /**
   * Returns live views of the steps of each queue: those of urgent queues first, then by increasing
   * {@code load} of the queue, then by priority.
   */
  List<Set<Step>> inOrder(ToIntFunction<String> load) {
    List<Group> list = new ArrayList<>(groups.values());
    list.sort(
        Comparator.comparing((Group g) -> g.priority() > 0)
            .thenComparingInt(g -> load.applyAsInt(g.queue()))
            .thenComparingInt(Group::priority));
    return list.stream().map(Group::steps).toList();
  }
}
