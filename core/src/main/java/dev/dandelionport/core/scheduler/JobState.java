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
   * Number of tasks with an open attempt and of finished tasks; counted so that no step has to scan
   * the tasks.
   */
  int openAttempts;

  int doneTasks;

  /** Whether an attempt that may have run has ended. */
  boolean attemptMayHaveRun;

  /** Tasks that may start now. */
  final Deque<TaskState> startableTasks = new ArrayDeque<>(1);

  /** Queue in which the job waits; null if none of its tasks may start. */
  ShapeQueue queue;

  /** Order within the queue; the smallest value goes first. */
  long priority;

  /** Whether the job is a gang in the arrival-ordered queue of gangs that may start. */
  boolean inGangQueue;

  /** Whether the job is a gang that waits until all its attempts have ended and then restarts. */
  boolean restarting;

  /** Number of tasks of a service per failure domain, and the rack of the latest task in each. */
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
