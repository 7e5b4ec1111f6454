package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** Collects the values of {@link SchedulerStats}. */
final class StatsCollector {
  private final SchedulerState state;
  private final UnrecordedAttempts unrecordedAttempts;

  StatsCollector(SchedulerState state, UnrecordedAttempts unrecorded) {
    this.state = state;
    this.unrecordedAttempts = unrecorded;
  }

  SchedulerStats collect() {
    Map<WorkloadClass, Integer> waiting = new EnumMap<>(WorkloadClass.class);
    Map<WorkloadClass, Integer> running = new EnumMap<>(WorkloadClass.class);
    for (WorkloadClass c : WorkloadClass.values()) {
      waiting.put(c, state.waiting.waitingTasks(c));
      running.put(c, 0);
    }
    Map<TeamId, Double> deviations = state.teams.shares.deviations(state.waiting.waitingSizes());
    Map<TeamId, SchedulerStats.TeamStats> teams = new HashMap<>();
    state
        .teams
        .all()
        .forEach(
            (id, u) -> {
              u.openTasks.forEach(t -> running.merge(t.job.workloadClass(), 1, Integer::sum));
              teams.put(
                  id,
                  new SchedulerStats.TeamStats(
                      u.running,
                      u.maxRunning(),
                      state.teams.shares.used(id),
                      state.teams.shares.dominantShare(id),
                      deviations.getOrDefault(id, 0.0)));
            });
    int usable = 0;
    int heldBack = 0;
    for (WorkerState w : state.fleet.all()) {
      usable += w.usable ? 1 : 0;
      heldBack += w.health.isHeldBack() ? 1 : 0;
    }
    Counters c = state.counters;
    return new SchedulerStats(
        waiting,
        running,
        state.fleet.capacity(),
        state.fleet.used(),
        state.fleet.used().dominantShareOf(state.fleet.capacity()),
        teams,
        usable,
        heldBack,
        unrecordedAttempts.count(),
        state.jobs.size(),
        c.starts,
        c.preemptions,
        c.retries,
        c.refusedJobs,
        c.adoptedAttempts,
        c.gangRestarts,
        state.fleet.index.searches(),
        c.failedSearches,
        state.fleet.index.comparisons());
  }
}
