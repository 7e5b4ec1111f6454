package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.placement.WorkerIndex;
import dev.dandelionport.core.placement.WorkerIndex.CapacityKind;
import dev.dandelionport.core.port.WorkerInfo;
import dev.dandelionport.core.scheduler.WorkerState.Commitment;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The workers of a partition, the resources committed on them, and the index that is searched for
 * capacity.
 */
final class Fleet {

  /** The capacity of every resource divided by this is kept free of work that is not urgent. */
  private static final int HEADROOM_DIVISOR = 20;

  final WorkerIndex index = new WorkerIndex();
  private final Map<WorkerId, WorkerState> workers = new TreeMap<>();
  private final Map<ResourceVector, Integer> workersByCapacity = new TreeMap<>(Fleet::compare);
  private Set<String> inService = Set.of();
  private ResourceVector capacity = ResourceVector.ZERO;
  private ResourceVector used = ResourceVector.ZERO;
  private ResourceVector usedByNonUrgent = ResourceVector.ZERO;

  WorkerState get(WorkerId id) {
    return id == null ? null : workers.get(id);
  }

  Collection<WorkerState> all() {
    return workers.values();
  }

  ResourceVector capacity() {
    return capacity;
  }

  ResourceVector used() {
    return used;
  }

  /** Returns the number of listed workers by their capacity. */
  Map<ResourceVector, Integer> workersByCapacity() {
    return workersByCapacity;
  }

  boolean inService(WorkerState w) {
    return inService.contains(w.info.failureDomain());
  }

  /** Sets the failure domains that are in service. */
  void setInService(Set<String> domains, long now) {
    inService = Set.copyOf(domains);
    workers.values().forEach(w -> reindex(w, now));
  }

  void add(WorkerState w) {
    workers.put(w.info.id(), w);
  }

  /** Removes workers, and rebuilds the index after workers were added, changed or removed. */
  void removeAndReindex(Collection<WorkerId> removed, long now) {
    for (WorkerId id : removed) {
      WorkerState w = workers.remove(id);
      setUsable(w, false);
    }
    List<WorkerInfo> infos = new ArrayList<>();
    workersByCapacity.clear();
    for (WorkerState w : workers.values()) {
      infos.add(w.info);
      if (w.listed) {
        workersByCapacity.merge(w.info.capacity(), 1, Integer::sum);
      }
    }
    index.rebuild(infos);
    for (WorkerState w : workers.values()) {
      index.addTasks(w.info.id(), w.committed.size());
      reindex(w, now);
    }
  }

  void commit(WorkerState w, Commitment c, long now) {
    if (w.committed.put(c.attempt(), c) != null) {
      return;
    }
    account(w, c, true);
    reindex(w, now);
  }

  /** Releases the resources of an attempt; returns the commitment, or null if there was none. */
  Commitment release(WorkerState w, AttemptId a, long now) {
    Commitment c = w.committed.remove(a);
    if (c != null) {
      account(w, c, false);
      reindex(w, now);
    }
    return c;
  }

  private void account(WorkerState w, Commitment c, boolean add) {
    final boolean wasUsable = w.usable;
    setUsable(w, false);
    w.used = add ? w.used.plus(c.size()) : w.used.minus(c.size());
    if (!c.countsAsUrgent()) {
      w.usedByNonUrgent =
          add ? w.usedByNonUrgent.plus(c.size()) : w.usedByNonUrgent.minus(c.size());
    }
    setUsable(w, wasUsable);
    index.addTasks(w.info.id(), add ? 1 : -1);
  }

  private void setUsable(WorkerState w, boolean usable) {
    if (w.usable == usable) {
      return;
    }
    w.usable = usable;
    if (usable) {
      capacity = capacity.plus(w.info.capacity());
      used = used.plus(w.used);
      usedByNonUrgent = usedByNonUrgent.plus(w.usedByNonUrgent);
    } else {
      capacity = capacity.minus(w.info.capacity());
      used = used.minus(w.used);
      usedByNonUrgent = usedByNonUrgent.minus(w.usedByNonUrgent);
    }
  }

  /** Replaces the description of a worker; the caller must rebuild the index afterwards. */
  void setInfo(WorkerState w, WorkerInfo info) {
    setUsable(w, false);
    w.info = info;
  }

  /** Updates the index and the totals after a change to a worker. */
  void reindex(WorkerState w, long now) {
    boolean usable = w.listed && w.hasReported && !w.unresponsive && !w.leaving && inService(w);
    setUsable(w, usable);
    boolean acceptsWork = usable && w.health.acceptsWork(w.committed.size(), now);
    WorkerId id = w.info.id();
    ResourceVector free = acceptsWork ? w.free() : null;
    index.setCapacity(id, CapacityKind.FREE, free);
    index.setCapacity(id, CapacityKind.UNRESERVED, acceptsWork ? free.minus(w.reserved) : null);
    index.setCapacity(
        id, CapacityKind.AFTER_PREEMPTION, acceptsWork ? w.capacityAfterPreemption() : null);
  }

  /**
   * Returns whether work that is not urgent may use {@code size} more and leave the headroom free.
   */
  boolean headroomAllows(ResourceVector size) {
    if (usedByNonUrgent.equals(ResourceVector.ZERO)) {
      return true;
    }
    ResourceVector c = capacity;
    ResourceVector limit =
        new ResourceVector(
            c.slots() - c.slots() / HEADROOM_DIVISOR,
            c.connections() - c.connections() / HEADROOM_DIVISOR,
            c.milliCores() - c.milliCores() / HEADROOM_DIVISOR,
            c.memoryMb() - c.memoryMb() / HEADROOM_DIVISOR,
            c.accelerators() - c.accelerators() / HEADROOM_DIVISOR);
    return usedByNonUrgent.plus(size).fitsIn(limit);
  }

  private static int compare(ResourceVector a, ResourceVector b) {
    return Comparator.comparingInt(ResourceVector::slots)
        .thenComparingInt(ResourceVector::connections)
        .thenComparingLong(ResourceVector::milliCores)
        .thenComparingLong(ResourceVector::memoryMb)
        .thenComparingInt(ResourceVector::accelerators)
        .compare(a, b);
  }
}
