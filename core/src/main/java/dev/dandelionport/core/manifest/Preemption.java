package dev.dandelionport.core.manifest;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What a workload class may do to running deferrable work when no worker has enough free capacity.
 */
public enum Preemption {
  /** Nothing; the task waits for capacity. */
  @JsonProperty("none")
  NONE,
  /** Reduces the processor time of running attempts. */
  @JsonProperty("throttle")
  THROTTLE,
  /** Lets running attempts write a checkpoint and then stops them. */
  @JsonProperty("checkpoint")
  CHECKPOINT,
  /** Stops running attempts of repeatable jobs without a checkpoint. */
  @JsonProperty("stop")
  STOP
}
