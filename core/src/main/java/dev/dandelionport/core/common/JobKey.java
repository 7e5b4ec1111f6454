package dev.dandelionport.core.common;

/**
 * Identifies a job: the caller's request key is unique within a team.
 *
 * @param team team that submitted the job
 * @param requestKey key chosen by the caller; a retry uses the same one
 */
public record JobKey(TeamId team, String requestKey) {
  @Override
  public String toString() {
    return team + "/" + requestKey;
  }
}
