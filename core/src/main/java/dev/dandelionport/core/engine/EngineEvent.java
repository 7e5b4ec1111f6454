package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.AlertCode;
import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.scheduler.JobPhase;

/**
 * An event of an engine that is relevant to operators. Front ends convert events to log entries and
 * metrics; times are in milliseconds.
 */
public sealed interface EngineEvent {

  /** The instance joined the cell. */
  record Joined() implements EngineEvent {}

  /** The instance's lease has expired in the store. */
  record LeaseLost() implements EngineEvent {}

  /** The instance wrote the assignment table, or another instance's write came first. */
  record AssignmentSwapped(long version, boolean swapped) implements EngineEvent {}

  /** The instance serves a partition, {@code openMillis} after it began to open it. */
  record PartitionOpened(PartitionId partition, long epoch, long records, long openMillis)
      implements EngineEvent {}

  /** The instance stopped serving a partition, gracefully or because it lost the ownership. */
  record PartitionClosed(PartitionId partition, long epoch, boolean graceful)
      implements EngineEvent {}

  /** A newer manifest was adopted. */
  record ManifestAdopted(long version) implements EngineEvent {}

  /** A journal batch became durable. */
  record BatchCommitted(PartitionId partition, int records, long writeMillis)
      implements EngineEvent {}

  /** A job was accepted. */
  record JobAccepted(JobKey job, WorkloadClass workloadClass) implements EngineEvent {}

  /** A start command was sent to a worker, {@code waitedMillis} after the job was accepted. */
  record StartSent(
      AttemptId attempt, WorkerId worker, WorkloadClass workloadClass, long waitedMillis)
      implements EngineEvent {}

  /** A job reached a final phase. */
  record JobEnded(JobKey job, WorkloadClass workloadClass, JobPhase phase, long totalMillis)
      implements EngineEvent {}

  /** A worker did not answer until its task leases had expired. */
  record WorkerLost(WorkerId worker) implements EngineEvent {}

  /** The engine or its scheduler detected a condition that operators should check. */
  record AlertRaised(AlertCode code, String message) implements EngineEvent {}

  /** A call to the store ended. */
  record StoreCall(String operation, boolean ok, long millis) implements EngineEvent {}

  /** The store has become unreachable. */
  record StoreOutageBegan() implements EngineEvent {}

  /** The store is reachable again. */
  record StoreOutageEnded(long outageMillis) implements EngineEvent {}

  /** The instance may no longer act as an owner. */
  record AuthorityLost() implements EngineEvent {}

  /** The instance may act as an owner again. */
  record AuthorityRegained(long lostMillis) implements EngineEvent {}

  /**
   * Promises of peers extended the authority. {@code peers} is the number of members from which
   * promises were requested; {@code manifestConfirmed} tells whether the promises also confirmed
   * the manifest.
   */
  record PromisesGathered(int peers, boolean manifestConfirmed) implements EngineEvent {}

  /** The confirmation of the manifest has expired, so no new tasks start. */
  record ManifestStale(long version) implements EngineEvent {}

  /** A snapshot replaced the journal batches before it. */
  record SnapshotWritten(PartitionId partition, int parts) implements EngineEvent {}

  /** Permits of a team moved from one partition to another. */
  record PermitsMoved(TeamId team, PartitionId from, PartitionId to, int count)
      implements EngineEvent {}

  /** A partition accepts work, {@code millis} after this instance began to open it. */
  record TakeoverFinished(PartitionId partition, long epoch, long millis) implements EngineEvent {}

  /** A peer sent no heartbeat in time and is suspected to have failed. */
  record PeerSuspected(InstanceId peer) implements EngineEvent {}
}
