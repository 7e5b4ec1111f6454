package dev.dandelionport.core.port;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkerId;

/**
 * A worker as described by the instance list.
 *
 * @param id worker id
 * @param region region of the worker
 * @param failureDomain failure domain of the worker
 * @param rack rack of the worker
 * @param host IP address of the worker's interface
 * @param port port of the worker's interface
 * @param capacity resources that the worker offers
 * @param leaving whether the worker is about to be removed
 */
public record WorkerInfo(
    WorkerId id,
    String region,
    String failureDomain,
    String rack,
    String host,
    int port,
    ResourceVector capacity,
    boolean leaving) {}
