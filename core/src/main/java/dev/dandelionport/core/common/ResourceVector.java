package dev.dandelionport.core.common;

/**
 * A quantity of every resource that tasks consume.
 *
 * @param slots task slots of the runner
 * @param connections connections of the runner
 * @param milliCores processor time in thousandths of a core
 * @param memoryMb memory in MiB
 * @param accelerators whole accelerators
 */
public record ResourceVector(
    int slots, int connections, long milliCores, long memoryMb, int accelerators) {

  /** No resources. */
  public static final ResourceVector ZERO = new ResourceVector(0, 0, 0, 0, 0);

  /** Returns the sum of this vector and {@code o}. */
  public ResourceVector plus(ResourceVector o) {
    return new ResourceVector(
        slots + o.slots,
        connections + o.connections,
        milliCores + o.milliCores,
        memoryMb + o.memoryMb,
        accelerators + o.accelerators);
  }

  /** Returns this vector minus {@code o}; components may become negative. */
  public ResourceVector minus(ResourceVector o) {
    return new ResourceVector(
        slots - o.slots,
        connections - o.connections,
        milliCores - o.milliCores,
        memoryMb - o.memoryMb,
        accelerators - o.accelerators);
  }

  /** Returns the component-wise maximum of this vector and {@code o}. */
  public ResourceVector max(ResourceVector o) {
    return new ResourceVector(
        Math.max(slots, o.slots),
        Math.max(connections, o.connections),
        Math.max(milliCores, o.milliCores),
        Math.max(memoryMb, o.memoryMb),
        Math.max(accelerators, o.accelerators));
  }

  /** Returns this vector multiplied by {@code n}. */
  public ResourceVector times(int n) {
    return new ResourceVector(
        slots * n, connections * n, milliCores * n, memoryMb * n, accelerators * n);
  }

  /** Returns whether every component is at most that of {@code capacity}. */
  public boolean fitsIn(ResourceVector capacity) {
    return slots <= capacity.slots
        && connections <= capacity.connections
        && milliCores <= capacity.milliCores
        && memoryMb <= capacity.memoryMb
        && accelerators <= capacity.accelerators;
  }

  /**
   * Returns how many times this vector fits in {@code available}; components that are 0 are
   * ignored.
   */
  public int countFittingIn(ResourceVector available) {
    long n = Integer.MAX_VALUE;
    n = limitCount(n, slots, available.slots);
    n = limitCount(n, connections, available.connections);
    n = limitCount(n, milliCores, available.milliCores);
    n = limitCount(n, memoryMb, available.memoryMb);
    return (int) Math.max(0, limitCount(n, accelerators, available.accelerators));
  }

  private static long limitCount(long n, long size, long available) {
    return size <= 0 ? n : Math.min(n, available / size);
  }

  /**
   * Returns the dominant share: the largest fraction that this vector uses of any component of
   * {@code total}.
   */
  public double dominantShareOf(ResourceVector total) {
    double s = fraction(slots, total.slots);
    s = Math.max(s, fraction(connections, total.connections));
    s = Math.max(s, fraction(milliCores, total.milliCores));
    s = Math.max(s, fraction(memoryMb, total.memoryMb));
    return Math.max(s, fraction(accelerators, total.accelerators));
  }

  private static double fraction(long part, long total) {
    if (part <= 0) {
      return 0;
    }
    return total <= 0 ? Double.POSITIVE_INFINITY : (double) part / total;
  }
}
