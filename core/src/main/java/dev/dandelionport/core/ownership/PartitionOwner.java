package dev.dandelionport.core.ownership;

import dev.dandelionport.core.common.InstanceId;

/**
 * The owner of a partition.
 *
 * @param owner instance that owns it
 * @param epoch increases by one with each change of owner
 * @param session lease id of the owner's membership session; an instance that lost its lease and
 *     joined again has a new session and does not own the partitions of the earlier one
 * @param released whether the previous owner released the partition after its last write, so that
 *     the journal contains all its attempts
 */
public record PartitionOwner(InstanceId owner, long epoch, long session, boolean released) {}
