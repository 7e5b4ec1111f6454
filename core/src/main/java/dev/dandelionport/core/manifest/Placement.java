package dev.dandelionport.core.manifest;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Strategy by which a workload class selects workers. */
public enum Placement {
  /** Fills workers one after another, which leaves capacity for large tasks on the others. */
  @JsonProperty("pack")
  PACK,
  /** Spreads tasks over failure domains and racks, so that one failure affects few of them. */
  @JsonProperty("spread")
  SPREAD
}
