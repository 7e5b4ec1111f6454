package dev.dandelionport.core.manifest;

/**
 * A part of a region that fails, or is taken out of service, as a whole.
 *
 * @param id name
 * @param region region that contains it
 * @param inService whether tasks may start in it
 */
public record FailureDomain(String id, String region, boolean inService) {}
