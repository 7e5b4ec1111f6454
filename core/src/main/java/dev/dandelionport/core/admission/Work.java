package dev.dandelionport.core.admission;

import dev.dandelionport.core.common.ResourceVector;

/**
 * Resources in use over time, in units of the resource times milliseconds. Sums stay exact enough
 * for cells with hours of waiting work.
 *
 * @param milliCores processor time in thousandths of a core, times milliseconds
 * @param memoryMb memory in MiB, times milliseconds
 * @param accelerators accelerators, times milliseconds
 */
public record Work(double milliCores, double memoryMb, double accelerators) {

  /** No work. */
  public static final Work ZERO = new Work(0, 0, 0);

  private static final ResourceVector ALL_RESOURCES = new ResourceVector(0, 0, 1, 1, 1);

  /** Returns the work of using {@code size} for a time. */
  public static Work of(ResourceVector size, double millis) {
    return new Work(
        size.milliCores() * millis, size.memoryMb() * millis, size.accelerators() * millis);
  }

  /** Returns the sum of this work and {@code o}. */
  public Work plus(Work o) {
    return new Work(
        milliCores + o.milliCores, memoryMb + o.memoryMb, accelerators + o.accelerators);
  }

  /** Returns this work minus {@code o}. */
  Work minus(Work o) {
    return plus(o.times(-1));
  }

  Work times(double factor) {
    return new Work(milliCores * factor, memoryMb * factor, accelerators * factor);
  }

  /**
   * Returns how long the whole {@code capacity} needs for this work, by the resources that a task
   * of {@code size} competes for. Resources without capacity are ignored, because a quota of 0
   * means no limit.
   */
  public double millisOn(ResourceVector capacity, ResourceVector size) {
    double millis = millis(milliCores, capacity.milliCores(), size.milliCores());
    millis = Math.max(millis, millis(memoryMb, capacity.memoryMb(), size.memoryMb()));
    return Math.max(millis, millis(accelerators, capacity.accelerators(), size.accelerators()));
  }

  private static double millis(double work, long capacity, long size) {
    return capacity <= 0 || size <= 0 ? 0 : work / capacity;
  }

  /** Returns the part of this work that a quota permits within a time. */
  Work within(ResourceVector quota, double millis) {
    double longest = millisOn(quota, ALL_RESOURCES);
    return longest <= millis ? this : times(millis / longest);
  }
}
