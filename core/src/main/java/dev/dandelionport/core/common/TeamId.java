package dev.dandelionport.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a team, the unit to which keys, shares and limits apply. */
public record TeamId(String value) implements Comparable<TeamId> {

  /** Rejects an empty identifier. */
  public TeamId {
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException("TeamId must not be empty");
    }
  }

  /** Creates the identifier from its text. */
  @JsonCreator
  public static TeamId of(String text) {
    return new TeamId(text);
  }

  @Override
  public int compareTo(TeamId o) {
    return value.compareTo(o.value);
  }

  @JsonValue
  @Override
  public String toString() {
    return value;
  }
}
