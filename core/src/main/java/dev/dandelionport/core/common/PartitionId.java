package dev.dandelionport.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a partition.
 *
 * @param region region whose jobs and workers it schedules
 * @param index index of the partition within the region, from 0
 */
public record PartitionId(String region, int index) implements Comparable<PartitionId> {

  /** Parses the form that {@link #toString} produces. */
  @JsonCreator
  public static PartitionId parse(String text) {
    int i = text.lastIndexOf('-');
    if (i <= 0) {
      throw new IllegalArgumentException("partition id must look like region-0, got " + text);
    }
    return new PartitionId(text.substring(0, i), Integer.parseInt(text.substring(i + 1)));
  }

  @Override
  public int compareTo(PartitionId o) {
    int c = region.compareTo(o.region);
    return c != 0 ? c : Integer.compare(index, o.index);
  }

  @JsonValue
  @Override
  public String toString() {
    return region + "-" + index;
  }
}
