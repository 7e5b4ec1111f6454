package dev.dandelionport.core.manifest;

import com.fasterxml.jackson.annotation.JsonInclude;
import dev.dandelionport.core.common.WorkloadClass;

/**
 * A named queue to which callers submit jobs.
 *
 * @param id identifier
 * @param team team to which the queue's jobs are charged; empty if every team may use a closed
 *     queue
 * @param open whether jobs are accepted without a key
 * @param defaultClass workload class of jobs that specify none, or null if they must specify one
 * @param tokenKey HMAC key of the tokens with which callers without an API key fetch results, in
 *     hexadecimal; empty for a closed queue
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record Queue(
    String id, String team, boolean open, WorkloadClass defaultClass, String tokenKey) {

  /** Replaces missing values with empty ones. */
  public Queue {
    team = team == null ? "" : team;
    tokenKey = tokenKey == null ? "" : tokenKey;
  }

  /** Creates a queue without a default class and without tokens. */
  public Queue(String id, String team, boolean open) {
    this(id, team, open, null, "");
  }
}
