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

/** Chooses the workers whose room will be free soonest for a gang. Looks at every worker once. */
final class GangPlanner {

  /** Shortest time for which a reservation is held, in milliseconds. */
  private static final long MIN_HOLD_MILLIS = 30_000;

  private record Offer(long atMillis, WorkerId worker, int tasks) {}

  private final State state;
  private final JobEnds ends;

  GangPlanner(State state, JobEnds ends) {
    this.state = state;
    this.ends = ends;
  }

  /** Plans a gang; empty if even all deferrable and urgent work together leaves too little room. */
  Optional<GangReservation> plan(JobState j) {
    List<Offer> offers = new ArrayList<>();
    for (WorkerState w : state.fleet.all()) {
      if (w.usable && !w.health.suspect()) {
        offer(w, j, offers);
      }
    }
    offers.sort(Comparator.comparingLong(Offer::atMillis).thenComparing(Offer::worker));
    Map<WorkerId, Integer> tasks = new TreeMap<>();
    int left = j.unfinished();
    long ready = state.now;
    for (Offer o : offers) {
      if (left == 0) {
        break;
      }
      int n = Math.min(left, o.tasks());
      tasks.merge(o.worker(), n, Integer::sum);
      left -= n;
      ready = Math.max(ready, o.atMillis());
    }
    long hold = Math.max(MIN_HOLD_MILLIS, 2 * (ready - state.now));
    return left > 0
        ? Optional.empty()
        : Optional.of(new GangReservation(j, tasks, ready, state.now + hold));
  }

  private void offer(WorkerState w, JobState j, List<Offer> offers) {
    ResourceVector size = j.spec.taskSize();
    ResourceVector later = w.free();
    long at = state.now;
    for (Commitment c : w.committed.values()) {
      if (c.task() == null) {
        continue;
      }
      JobSpec spec = c.task().job.spec;
      boolean leaves =
          spec.workloadClass() == WorkloadClass.DEFERRABLE
              || spec.workloadClass() == WorkloadClass.URGENT;
      if (leaves) {
        later = later.plus(c.size());
        at = Math.max(at, ends.expectedEnd(c.task()));
      }
    }
    int nowFits = size.countFittingIn(w.free());
    int laterFits = size.countFittingIn(later);
    if (nowFits > 0) {
      offers.add(new Offer(state.now, w.info.id(), nowFits));
    }
    if (laterFits > nowFits) {
      offers.add(new Offer(at, w.info.id(), laterFits - nowFits));
    }
  }
}
