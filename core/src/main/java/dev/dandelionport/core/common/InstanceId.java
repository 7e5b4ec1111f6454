package dev.dandelionport.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies an instance, a process of this system. */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /** Rejects an empty identifier. */
  public InstanceId {
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException("InstanceId must not be empty");
    }
  }

  /** Creates the identifier from its text. */
  @JsonCreator
  public static InstanceId of(String text) {
    return new InstanceId(text);
  }

  @Override
  public int compareTo(InstanceId o) {
    return value.compareTo(o.value);
  }

  @JsonValue
  @Override
  public String toString() {
    return value;
  }
}
