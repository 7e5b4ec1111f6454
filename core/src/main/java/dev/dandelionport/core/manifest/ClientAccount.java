package dev.dandelionport.core.manifest;

/**
 * A customer of the operating company for which teams run jobs.
 *
 * @param id identifier by which teams refer to the account
 * @param name display name
 */
public record ClientAccount(String id, String name) {}
