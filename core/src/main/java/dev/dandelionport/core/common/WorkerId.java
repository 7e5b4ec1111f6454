package dev.dandelionport.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a worker, a machine that runs tasks. */
public record WorkerId(String value) implements Comparable<WorkerId> {

  /** Rejects an empty identifier. */
  public WorkerId {
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException("WorkerId must not be empty");
    }
  }

  /** Creates the identifier from its text. */
  @JsonCreator
  public static WorkerId of(String text) {
    return new WorkerId(text);
  }

  @Override
  public int compareTo(WorkerId o) {
    return value.compareTo(o.value);
  }

  @JsonValue
  @Override
  public String toString() {
    return value;
  }
}
