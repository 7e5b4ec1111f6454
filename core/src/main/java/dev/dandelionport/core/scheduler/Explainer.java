package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.scheduler.Explanation.Rejected;
import dev.dandelionport.core.scheduler.Explanation.Running;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Explains why a job runs where it does, or why it waits. */
final class Explainer {

  /** Maximum number of tasks and of workers in an explanation; bounds its size. */
  private static final int MAX_LISTED = 8;

  private final SchedulerState state;
  private final GangScheduler gangScheduler;

  Explainer(SchedulerState state, GangScheduler gangScheduler) {
    this.state = state;
    this.gangScheduler = gangScheduler;
  }

  Explanation explain(JobState j) {
    List<Running> running = new ArrayList<>();
    for (TaskState t : j.tasks) {
      if (t.attempt != null && running.size() < MAX_LISTED) {
        running.add(new Running(t.index, t.attempt.attempt(), t.worker, placementReason(t)));
      }
    }
    boolean waits = j.phase == JobPhase.QUEUED;
    return new Explanation(
        j.spec.key(),
        j.phase,
        waits ? waitReason(j) : startedOrEndedReason(j),
        running,
        waits ? rejected(j) : List.of());
  }

  private String placementReason(TaskState t) {
    if (t.stopping != null) {
      return "was told to end: " + t.stopping.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
    if (t.throttled) {
      return "runs over the team's limit because it may not be stopped; it is throttled";
    }
    if (t.backfill) {
      return "uses room reserved for a gang until the gang is ready";
    }
    return switch (t.job.workloadClass()) {
      case URGENT -> "worker with the most room in the least loaded failure domain";
      case SERVICE -> "failure domain and rack with the fewest tasks of the service";
      case GANG -> "part of the room found for all tasks of the gang";
      case DEFERRABLE -> "worker with the most room in the least loaded failure domain";
    };
  }

  private static String startedOrEndedReason(JobState j) {
    return j.reason.isEmpty() ? "all its tasks were started" : j.reason;
  }

  private String waitReason(JobState j) {
    final TeamUsage u = state.teams.of(j.team());
    final int tasksToStart = j.isGang() ? j.unfinishedTasks() : 1;
    if (!state.placementAllowed) {
      return "the owner may not start tasks: it waits for its workers' reports, its authority or"
          + " the confirmation of its manifest";
    }
    if (j.restarting) {
      return "the gang waits until all its attempts have ended, to start again as a whole";
    }
    for (TaskState t : j.tasks) {
      if (t.retryAtMillis > state.now) {
        return "task " + t.index + " is tried again in " + (t.retryAtMillis - state.now) + " ms";
      }
    }
    if (u.running + tasksToStart > u.maxRunning()) {
      return "the team runs " + u.running + " tasks, this partition may run " + u.maxRunning();
    }
    if (u.running + u.reserved + tasksToStart > u.maxRunning()) {
      return "starts are set aside for a gang of the team that holds the reservation";
    }
    if (j.isGang()) {
      boolean holdsReservation =
          gangScheduler.reservation() != null && gangScheduler.reservation().job() == j;
      return holdsReservation
          ? "holds the reservation; room is expected in "
              + Math.max(0, gangScheduler.reservation().readyMillis() - state.now)
              + " ms"
          : "waits for room behind " + gangScheduler.gangsAhead(j) + " gangs";
    }
    if (j.queue == null) {
      return "waits for an earlier attempt to end";
    }
    return switch (j.queue.block) {
      case HEADROOM -> "the rest of the cell is kept free for urgent work";
      case CAPACITY -> "no worker has room for the next task of its queue";
      case NONE -> "other work of the team, or of a team with less of its share, goes first";
    };
  }

  private List<Rejected> rejected(JobState j) {
    List<Rejected> list = new ArrayList<>();
    for (WorkerState w : state.fleet.all()) {
      String reason = rejectionReason(w, j);
      if (!reason.isEmpty()) {
        list.add(new Rejected(w.info.id(), reason));
      }
      if (list.size() == MAX_LISTED) {
        break;
      }
    }
    return list;
  }

  private String rejectionReason(WorkerState w, JobState j) {
    if (!w.listed || w.leaving) {
      return "leaves";
    }
    if (!state.fleet.inService(w)) {
      return "failure domain " + w.info.failureDomain() + " is out of service";
    }
    if (!w.hasReported || w.unresponsive) {
      return "does not answer";
    }
    if (!w.health.acceptsWork(w.committed.size(), state.now)) {
      return "is held back because it fails what it starts";
    }
    ResourceVector size = j.spec.taskSize();
    if (!size.fitsIn(w.info.capacity())) {
      return "is too small";
    }
    if (!size.fitsIn(w.free())) {
      return "has too little room";
    }
    boolean urgent = j.workloadClass() == WorkloadClass.URGENT;
    return !urgent && !size.fitsIn(w.free().minus(w.reserved)) ? "is reserved for a gang" : "";
  }
}
