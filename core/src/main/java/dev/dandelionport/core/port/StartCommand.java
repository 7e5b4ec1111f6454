package dev.dandelionport.core.port;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.ResourceVector;

/**
 * Command to start an attempt of a task.
 *
 * @param attempt attempt to run
 * @param partition partition that sends the command
 * @param epoch epoch of the partition's owner; a worker refuses epochs below the highest one that
 *     it has received
 * @param incarnation incarnation of the worker for which the command is intended
 * @param notAfterWorkerMillis time on the worker's clock after which it must refuse the command
 * @param leaseMillis duration of the task lease; the worker stops the task when the lease expires
 * @param size resources of the task
 * @param payload body of the request
 * @param traceparent W3C trace context, or empty
 */
public record StartCommand(
    AttemptId attempt,
    PartitionId partition,
    long epoch,
    String incarnation,
    long notAfterWorkerMillis,
    long leaseMillis,
    ResourceVector size,
    String payload,
    String traceparent) {}
