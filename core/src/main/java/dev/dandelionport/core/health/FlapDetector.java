package dev.dandelionport.core.health;

/**
 * Recognizes a runner that restarts again and again. What runs there is lost with each restart, so
 * that it should get only short work until it has stayed up for a while.
 */
public final class FlapDetector {

  /** Number of starts within {@link #PERIOD_MILLIS} from which a runner flaps. */
  private static final int STARTS = 3;

  private static final long PERIOD_MILLIS = 30_000;

  /** Time after its latest start from which it is trusted again. */
  private static final long STABLE_MILLIS = 5_000;

  private final long[] forgetAtMillis = new long[STARTS];
  private int next;
  private long stableAtMillis;

  /** Records a start of the runner. */
  public void recordStart(long now) {
    forgetAtMillis[next++ % STARTS] = now + PERIOD_MILLIS;
    stableAtMillis = now + STABLE_MILLIS;
  }

  /** Returns whether the runner flaps and has not stayed up for long enough yet. */
  public boolean isFlapping(long now) {
    if (now >= stableAtMillis || next < STARTS) {
      return false;
    }
    for (long t : forgetAtMillis) {
      if (t <= now) {
        return false;
      }
    }
    return true;
  }
}
