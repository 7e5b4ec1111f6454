package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A job and its tasks. */
final class JobState {
  final JobSpec spec;
  final long acceptedMillis;

  /** Position in the order of acceptance. */
  final long sequence;

  final List<TaskState> tasks = new ArrayList<>();
  JobPhase phase = JobPhase.QUEUED;
  String reason = "";
  long startedMillis;
  long endedMillis;

  /**
   * Tasks with an open attempt and tasks that are done, counted so that no step scans the tasks.
   */
  int openAttempts;

  int doneTasks;

  /** Whether an attempt that may have run has ended. */
  boolean attemptMayHaveRun;

  /** Tasks that may start now. */
  final Deque<TaskState> startableTasks = new ArrayDeque<>(1);

  /** Queue that the job waits in; null if none of its tasks may start. */
  ShapeQueue queue;

  /** Order within a queue; the smallest goes first. */
  long priority;

  /** Whether a gang is in the arrival order of gangs that may start. */
  boolean inGangQueue;

  /** Whether a gang waits until all its attempts have ended, to start again as a whole. */
  boolean restarting;

  /** Tasks of a service per failure domain, and the rack of the latest one in each. */
  final Map<String, Integer> tasksByDomain = new HashMap<>(0);

  final Map<String, String> lastRackByDomain = new HashMap<>(0);

  JobState(JobSpec spec, long acceptedMillis, long sequence) {
    this.spec = spec;
    this.acceptedMillis = acceptedMillis;
    this.sequence = sequence;
    for (int i = 0; i < spec.tasks(); i++) {
      tasks.add(new TaskState(this, i));
    }
  }

  TeamId team() {
    return spec.key().team();
  }

  WorkloadClass workloadClass() {
    return spec.workloadClass();
  }

  boolean isGang() {
    return spec.workloadClass() == WorkloadClass.GANG;
  }

  /** Returns whether a task may have begun to run. */
  boolean mayHaveStarted() {
    return attemptMayHaveRun || openAttempts > 0 || doneTasks > 0;
  }

  boolean allDone() {
    return doneTasks == tasks.size();
  }

  /** Returns how many tasks are not done. */
  int unfinishedTasks() {
    return tasks.size() - doneTasks;
  }

  /** Returns the tasks that wait for an attempt. */
  List<TaskState> waitingTasks() {
    return tasks.stream().filter(TaskState::isWaiting).toList();
  }

  /** Returns whether no attempt is open. */
  boolean hasNoOpenAttempt() {
    return openAttempts == 0;
  }

  void updatePhase() {
    if (!phase.isFinal()) {
      phase = openAttempts + doneTasks < tasks.size() ? JobPhase.QUEUED : JobPhase.RUNNING;
    }
  }

  JobStatus status() {
    List<String> results = tasks.stream().map(t -> t.result).toList();
    return new JobStatus(
        spec.key(), phase, results, reason, acceptedMillis, startedMillis, endedMillis);
  }
}
