package dev.dandelionport.core.ownership;

import dev.dandelionport.core.port.InstanceInfo;

/**
 * The value stored under a member's key.
 *
 * @param info the instance
 * @param session lease id of its membership session
 */
public record Member(InstanceInfo info, long session) {}
