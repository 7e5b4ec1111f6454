package dev.dandelionport.core.workflow;

/**
 * What makes runs of a simulated cell differ from their sampled time. The first runners hang, the
 * next ones restart again and again, the next ones are slow.
 *
 * @param longFraction fraction of the tasks that take {@link #LONG_FACTOR} times the usual time
 * @param hanging number of runners on which {@link #HANG_FRACTION} of the runs never end
 * @param flapping number of runners that restart every {@link #FLAP_MILLIS}
 * @param slow number of runners on which everything takes {@link #SLOW_FACTOR} times the usual time
 */
record CellFaults(double longFraction, int hanging, int flapping, int slow) {

  static final CellFaults NONE = new CellFaults(0, 0, 0, 0);

  static final double HANG_FRACTION = 1.0 / 3;
  static final long FLAP_MILLIS = 4_000;
  private static final double LONG_FACTOR = 7;
  private static final double SLOW_FACTOR = 4;

  private static int index(String runner) {
    return Integer.parseInt(runner.substring(1));
  }

  boolean hangs(String runner) {
    return index(runner) < hanging;
  }

  boolean flaps(String runner) {
    int i = index(runner) - hanging;
    return i >= 0 && i < flapping;
  }

  private boolean isSlow(String runner) {
    int i = index(runner) - hanging - flapping;
    return i >= 0 && i < slow;
  }

  /** Returns the multiple of its usual time that a task takes on a runner. */
  double factor(String runner, boolean isLong) {
    return (isLong ? LONG_FACTOR : 1) * (isSlow(runner) ? SLOW_FACTOR : 1);
  }
}
