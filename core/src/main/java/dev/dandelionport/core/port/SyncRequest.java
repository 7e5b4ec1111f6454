package dev.dandelionport.core.port;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.PartitionId;
import java.util.List;

/**
 * Requests the state of a worker and renews the leases of the tasks that the partition runs there.
 * The worker refuses a request whose epoch is below the highest one that it has received, and
 * afterwards refuses start commands with an epoch below that of the request. A task's lease is
 * renewed by the duration in its start command, or by {@code leaseMillis} once the attempt was
 * listed as durable. A request that arrives after its not-after time renews nothing, so that leases
 * end within a known time after their owner's authority.
 *
 * @param partition partition that sends the request
 * @param epoch epoch of the partition's owner
 * @param ackedEvent event number of the last finished attempt that the owner has recorded
 * @param notAfterWorkerMillis time on the worker's clock after which no lease may be renewed; 0
 *     renews none
 * @param leaseMillis lease duration of the attempts in {@code durable}; 0 if there are none
 * @param waitMillis maximum time that the worker may wait for an event before it answers; the end
 *     of an attempt, a restart and the notice that the worker is leaving are events
 * @param durable attempts that were started with a short lease and whose journal records are now
 *     durable
 */
public record SyncRequest(
    PartitionId partition,
    long epoch,
    long ackedEvent,
    long notAfterWorkerMillis,
    long leaseMillis,
    long waitMillis,
    List<AttemptId> durable) {

  /** Copies the list. */
  public SyncRequest {
    durable = List.copyOf(durable);
  }
}
