package dev.dandelionport.core.placement;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.port.WorkerInfo;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * Selects a worker for a task. A search compares the task with O(log n) ranges of workers per
 * failure domain; {@link #comparisons} returns the number of all comparisons.
 */
public final class WorkerIndex {

  /** Which capacity of a worker a search considers. */
  public enum CapacityKind {
    /** All capacity that is not committed; for urgent work. */
    FREE,
    /** Capacity that is neither committed nor reserved for a gang; for all other work. */
    UNRESERVED,
    /** Capacity that would be free once all preemptible work has ended. */
    AFTER_PREEMPTION
  }

  private static final int[] NO_POSITIONS = {};

  private record Position(DomainIndex domain, int index) {}

  private final Map<WorkerId, Position> positions = new HashMap<>();
  private final List<DomainIndex> domains = new ArrayList<>();
  private long comparisonsBeforeRebuild;
  private long searches;

  /** Replaces the workers. No worker has capacity until its capacity is set. */
  public void rebuild(Collection<WorkerInfo> workers) {
    comparisonsBeforeRebuild = comparisons();
    positions.clear();
    domains.clear();
    Map<String, List<WorkerInfo>> byDomain = new TreeMap<>();
    for (WorkerInfo w : workers) {
      byDomain.computeIfAbsent(w.failureDomain(), k -> new ArrayList<>()).add(w);
    }
    byDomain.forEach(this::addDomain);
  }

  private void addDomain(String name, List<WorkerInfo> workers) {
    workers.sort(Comparator.comparing(WorkerInfo::rack).thenComparing(WorkerInfo::id));
    DomainIndex d = new DomainIndex(name, workers);
    domains.add(d);
    for (int i = 0; i < workers.size(); i++) {
      positions.put(workers.get(i).id(), new Position(d, i));
    }
  }

  /** Sets one kind of capacity of a worker; null if the worker must not get work. */
  public void setCapacity(WorkerId worker, CapacityKind kind, ResourceVector capacity) {
    Position p = positions.get(worker);
    if (p != null) {
      p.domain().setCapacity(p.index(), kind, capacity);
    }
  }

  /** Adds to the number of tasks on a worker. */
  public void addTasks(WorkerId worker, int n) {
    Position p = positions.get(worker);
    if (p != null) {
      p.domain().tasks += n;
    }
  }

  /**
   * Returns the worker with the most capacity for a task in the least loaded failure domain.
   * Selecting the first worker with enough capacity instead needed 42 comparisons at 1,500 workers:
   * full workers lack different resources, so the maxima over a range of them suggest capacity that
   * no worker has.
   *
   * @param avoid workers that are not selected
   */
  public Optional<WorkerId> find(
      CapacityKind kind, ResourceVector size, Collection<WorkerId> avoid) {
    return searchDomains(
        DomainIndex::tasksPerWorker, d -> d.find(kind, size, positionsIn(d, avoid)));
  }

  /**
   * Spreads the tasks of one job over failure domains and racks.
   *
   * @param tasksByDomain tasks of the job per failure domain
   * @param lastRackByDomain rack of the job's latest task in each failure domain
   */
  public Optional<WorkerId> spread(
      CapacityKind kind,
      ResourceVector size,
      Map<String, Integer> tasksByDomain,
      Map<String, String> lastRackByDomain,
      Collection<WorkerId> avoid) {
    return searchDomains(
        d -> tasksByDomain.getOrDefault(d.name, 0) + d.tasksPerWorker() / 1_000,
        d -> d.findAfterRack(kind, size, lastRackByDomain.get(d.name), positionsIn(d, avoid)));
  }

  /** Returns the number of comparisons made by all searches. */
  public long comparisons() {
    return comparisonsBeforeRebuild + domains.stream().mapToLong(DomainIndex::comparisons).sum();
  }

  /** Returns the number of searches. */
  public long searches() {
    return searches;
  }

  private int[] positionsIn(DomainIndex d, Collection<WorkerId> avoid) {
    if (avoid.isEmpty()) {
      return NO_POSITIONS;
    }
    return avoid.stream()
        .map(positions::get)
        .filter(p -> p != null && p.domain() == d)
        .mapToInt(Position::index)
        .toArray();
  }

  private Optional<WorkerId> searchDomains(
      ToDoubleFunction<DomainIndex> load, Function<DomainIndex, WorkerId> search) {
    searches++;
    List<DomainIndex> ordered = domains;
    if (domains.size() > 1) {
      ordered = new ArrayList<>(domains);
      ordered.sort(Comparator.comparingDouble(load));
    }
    for (DomainIndex d : ordered) {
      WorkerId w = search.apply(d);
      if (w != null) {
        return Optional.of(w);
      }
    }
    return Optional.empty();
  }
}
