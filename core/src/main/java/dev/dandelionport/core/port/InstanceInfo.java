package dev.dandelionport.core.port;

import dev.dandelionport.core.common.InstanceId;

/**
 * An instance of this system as described by its settings.
 *
 * @param id unique id, newly generated for each process
 * @param region region of the instance
 * @param failureDomain failure domain of the instance
 * @param host IP address at which peers reach it
 * @param port port at which peers reach it
 */
public record InstanceInfo(
    InstanceId id, String region, String failureDomain, String host, int port) {}
