package dev.dandelionport.core.manifest;

import java.util.List;

/**
 * A team, the unit to which keys, shares and limits apply.
 *
 * @param id name
 * @param clientAccount client account for which the team runs jobs
 * @param homeRegion region whose partitions store and schedule its jobs
 * @param share weight for dividing the capacity when the cell is full
 * @param limit maximum number of its tasks that may run at the same time across the fleet
 * @param admissionPerSecond maximum number of requests accepted per second by each instance
 * @param keys API keys that authorize requests of this team
 */
public record Team(
    String id,
    String clientAccount,
    String homeRegion,
    double share,
    int limit,
    int admissionPerSecond,
    List<TeamKey> keys) {

  /** Copies the list. */
  public Team {
    keys = List.copyOf(keys);
  }
}
