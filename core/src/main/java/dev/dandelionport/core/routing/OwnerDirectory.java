package dev.dandelionport.core.routing;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.port.InstanceInfo;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Routing information of an entry instance: the instance to which callers send their requests. */
public interface OwnerDirectory {

  /** Returns this instance. */
  InstanceInfo self();

  /** Returns the home partition of a job, or empty if its team is unknown. */
  Optional<PartitionId> homePartition(JobKey job);

  /** Returns the owner of a partition, or empty if there is none. */
  Optional<InstanceInfo> ownerOf(PartitionId partition);

  /** Returns whether {@code instance} is suspected to have failed. */
  boolean isSuspected(InstanceId instance);

  /**
   * Returns how many requests per second this instance admits for a team, or empty if the team is
   * unknown.
   */
  Optional<Integer> admissionPerSecond(TeamId team);

  /** Delivers a message to the partitions that this instance owns and returns the answer. */
  CompletableFuture<PeerMessage> receive(PeerMessage message);
}
