package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.scheduler.WorkerState.Commitment;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Chooses the workers whose capacity will be free soonest for a gang. Examines every worker once.
 */
final class GangPlanner {

  /** Minimum time for which a reservation is held, in milliseconds. */
  private static final long MIN_RESERVATION_MILLIS = 30_000;

  private record CapacityOffer(long atMillis, WorkerId worker, int tasks) {}

  private final SchedulerState state;
  private final JobLifecycle lifecycle;

  GangPlanner(SchedulerState state, JobLifecycle lifecycle) {
    this.state = state;
    this.lifecycle = lifecycle;
  }

  /**
   * Plans a reservation for a gang; empty if the capacity would not suffice even without any
   * deferrable and urgent work.
   */
  Optional<GangReservation> plan(JobState j) {
    List<CapacityOffer> offers = new ArrayList<>();
    for (WorkerState w : state.fleet.all()) {
      if (w.usable && !w.health.isHeldBack()) {
        addOffers(w, j, offers);
      }
    }
    offers.sort(
        Comparator.comparingLong(CapacityOffer::atMillis).thenComparing(CapacityOffer::worker));
    Map<WorkerId, Integer> tasks = new TreeMap<>();
    int unplacedTasks = j.unfinishedTasks();
    long readyMillis = state.now;
    for (CapacityOffer o : offers) {
      if (unplacedTasks == 0) {
        break;
      }
      int n = Math.min(unplacedTasks, o.tasks());
      tasks.merge(o.worker(), n, Integer::sum);
      unplacedTasks -= n;
      readyMillis = Math.max(readyMillis, o.atMillis());
    }
    long reservationMillis = Math.max(MIN_RESERVATION_MILLIS, 2 * (readyMillis - state.now));
    return unplacedTasks > 0
        ? Optional.empty()
        : Optional.of(new GangReservation(j, tasks, readyMillis, state.now + reservationMillis));
  }

  private void addOffers(WorkerState w, JobState j, List<CapacityOffer> offers) {
    ResourceVector size = j.spec.taskSize();
    ResourceVector laterCapacity = w.free();
    long laterMillis = state.now;
    for (Commitment c : w.committed.values()) {
      if (c.task() == null) {
        continue;
      }
      JobSpec spec = c.task().job.spec;
      boolean expectedToEnd =
          spec.workloadClass() == WorkloadClass.DEFERRABLE
              || spec.workloadClass() == WorkloadClass.URGENT;
      if (expectedToEnd) {
        laterCapacity = laterCapacity.plus(c.size());
        laterMillis = Math.max(laterMillis, lifecycle.expectedEndMillis(c.task()));
      }
    }
    int tasksNow = size.countFittingIn(w.free());
    int tasksLater = size.countFittingIn(laterCapacity);
    if (tasksNow > 0) {
      offers.add(new CapacityOffer(state.now, w.info.id(), tasksNow));
    }
    if (tasksLater > tasksNow) {
      offers.add(new CapacityOffer(laterMillis, w.info.id(), tasksLater - tasksNow));
    }
  }
}
