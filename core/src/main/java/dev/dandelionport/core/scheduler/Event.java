package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.port.SyncReply;
import dev.dandelionport.core.port.WorkerInfo;
import java.util.List;
import java.util.Map;

/** An input to {@link PartitionScheduler}. */
public sealed interface Event {

  /** An authenticated caller submitted a job. */
  record Submit(JobSpec spec) implements Event {}

  /** A job's team cancelled it. */
  record Cancel(JobKey job) implements Event {}

  /** The workers of the partition according to the current instance list. */
  record FleetChanged(List<WorkerInfo> workers) implements Event {}

  /** A worker answered a sync request made under the current epoch. */
  record WorkerReport(WorkerId worker, SyncReply reply) implements Event {}

  /** A worker did not answer until every task lease on it had expired for certain. */
  record WorkerLost(WorkerId worker) implements Event {}

  /** A worker did not answer; it gets no new work until it answers. */
  record WorkerUnresponsive(WorkerId worker) implements Event {}

  /**
   * Whether tasks may be started now. They may not while the owner lacks authority or a confirmed
   * manifest, or while attempts of a former owner that are missing from the journal may be running.
   */
  record PlacementAllowed(boolean allowed) implements Event {}

  /** A start request was sent; the worker refuses it after the given time on its own clock. */
  record StartSent(AttemptId attempt, long notAfterWorkerMillis) implements Event {}

  /** A start was not carried out and will certainly not be carried out later. */
  record StartRefused(AttemptId attempt, String reason) implements Event {}

  /** A newer manifest took effect. */
  record ManifestChanged(Manifest manifest) implements Event {}

  /** The maximum number of tasks that each team may run in this partition changed. */
  record PermitsChanged(Map<TeamId, Integer> permits) implements Event {}

  /** Triggers the periodic work of the scheduler. */
  record Tick() implements Event {}
}
