package dev.dandelionport.core.admission;

import dev.dandelionport.core.common.ResourceVector;

/**
 * The capacity of a pool, or the quota of an account, in the view of one submission.
 *
 * @param capacity all resources
 * @param saturated whether nearly all of it is in use, so that work waits for capacity; otherwise
 *     it waits for something else, such as advice, and does not delay other work
 */
public record CapacityUse(ResourceVector capacity, boolean saturated) {

  /**
   * One in this many tasks may find room in a saturated pool. Tasks end between two placement
   * passes, so that a busy pool nearly always has some room for a moment.
   */
  private static final int ROOM_DIVISOR = 10;

  /**
   * Creates a value from the number of tasks of the submission's size that fit now and that fit if
   * nothing is in use.
   */
  public static CapacityUse of(ResourceVector capacity, long fittingNow, long fittingEmpty) {
    return new CapacityUse(capacity, fittingEmpty > 0 && fittingNow <= fittingEmpty / ROOM_DIVISOR);
  }
}
