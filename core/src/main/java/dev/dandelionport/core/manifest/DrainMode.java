package dev.dandelionport.core.manifest;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What happens to running work in a failure domain that is taken out of service. */
public enum DrainMode {
  /** Running tasks write a checkpoint, stop and continue on other workers. */
  @JsonProperty("checkpoint")
  CHECKPOINT,
  /** Running tasks continue until they finish. */
  @JsonProperty("finish")
  FINISH
}
