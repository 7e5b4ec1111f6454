package dev.dandelionport.core.common;

import com.fasterxml.jackson.annotation.JsonAlias;
import com.fasterxml.jackson.annotation.JsonProperty;

/** Classes of work with separate scheduling policies. The names are in lower case in JSON. */
public enum WorkloadClass {
  /** The caller waits for the result. */
  @JsonProperty("urgent")
  @JsonAlias("URGENT")
  URGENT,
  /** Must finish before its deadline and may be queued until then. */
  @JsonProperty("deferrable")
  @JsonAlias("DEFERRABLE")
  DEFERRABLE,
  /** Runs until cancelled. */
  @JsonProperty("service")
  @JsonAlias("SERVICE")
  SERVICE,
  /** All tasks must run at the same time. */
  @JsonProperty("gang")
  @JsonAlias("GANG")
  GANG
}
