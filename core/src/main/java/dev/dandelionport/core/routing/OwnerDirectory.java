package dev.dandelionport.core.routing;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.port.InstanceInfo;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** What an entry instance knows about where requests go. */
public interface OwnerDirectory {

  /** Returns this instance. */
  InstanceInfo self();

  /** Returns the home partition of a job, if its team is known. */
  Optional<PartitionId> homePartition(JobKey job);

  /** Returns the owner of a partition, if there is one. */
  Optional<InstanceInfo> ownerOf(PartitionId partition);

  /** Returns whether {@code instance} is suspected to have failed. */
  boolean isSuspected(InstanceId instance);

  /** Returns how many requests of a team this instance admits per second, if the team is known. */
  Optional<Integer> admissionPerSecond(TeamId team);

  /** Hands a message to the partitions of this instance. */
  CompletableFuture<PeerMessage> receive(PeerMessage message);
}
