package dev.dandelionport.core.health;

/**
 * Failure rate of a runner or worker, and for how long it is held back when nearly everything that
 * it starts fails. Handles machines that fail what they start, at any load.
 */
public final class FailureRating {

  private static final int MAX_DOUBLINGS = 10;

  private final double weight;
  private final double maxRate;
  private final long initialHoldMillis;
  private final long maxHoldMillis;
  private double rate;
  private int holds;

  /**
   * Creates a rating.
   *
   * @param weight weight of the latest outcome in the failure rate
   * @param maxRate failure rate from which the machine is held back
   * @param initialHoldMillis time for which it is held back at first; doubles each time
   * @param maxHoldMillis maximum of this time
   */
  public FailureRating(double weight, double maxRate, long initialHoldMillis, long maxHoldMillis) {
    this.weight = weight;
    this.maxRate = maxRate;
    this.initialHoldMillis = initialHoldMillis;
    this.maxHoldMillis = maxHoldMillis;
  }

  /** Updates the failure rate with an outcome; returns whether it now exceeds its maximum. */
  public boolean record(boolean failed) {
    rate += weight * ((failed ? 1 : 0) - rate);
    return rate >= maxRate;
  }

  /** Returns the time for which to hold the machine back now, in milliseconds. */
  public long nextHoldMillis() {
    return Math.min(maxHoldMillis, initialHoldMillis << Math.min(holds++, MAX_DOUBLINGS));
  }

  /** Returns how often the machine was held back since the last reset. */
  public int holds() {
    return holds;
  }

  /** Lets the time for which the machine is held back begin with its initial value again. */
  public void resetHolds() {
    holds = 0;
  }

  /** Forgets all outcomes. */
  public void reset() {
    rate = 0;
    holds = 0;
  }

  /** Returns the failure rate, from 0 to 1. */
  public double rate() {
    return rate;
  }
}
