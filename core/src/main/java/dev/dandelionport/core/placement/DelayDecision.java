package dev.dandelionport.core.placement;

import java.util.List;

/**
 * Decides how long tasks wait for a local placement, one on the rack of their data or a single rack
 * for a gang. Made for steps that run a multiple of their time elsewhere, in a cell between half
 * and full load. The decision is pure; its deadline is fixed when the wait begins.
 */
public final class DelayDecision {

  /**
   * Part of the expected run time that must remain as slack before an urgent step may wait. Urgent
   * steps have little slack, and their estimates are off by as much.
   */
  private static final double MIN_URGENT_SLACK_FRACTION = 0.5;

  /**
   * Longest wait, in milliseconds. Work that could start is to start within 3 s, of which advice
   * calls and the start take up to one.
   */
  static final long MAX_WAIT_MILLIS = 2_000;

  private DelayDecision() {}

  /**
   * What is known about the waiting tasks of a step when a remote placement is possible and a local
   * one is not. Times are on one monotonic clock, in milliseconds.
   *
   * @param nowMillis current time
   * @param runMillis expected time of a local run
   * @param remoteFactor factor by which a remote run takes longer
   * @param tasks number of waiting tasks; 1 for a gang, which starts as a whole
   * @param localMillis when the next local places are expected to be free for these tasks, in
   *     order; fewer than {@code tasks} if fewer are expected
   * @param restEndMillis when the rest of the step is expected to end; 0 if nothing else runs
   * @param dueMillis when the step is due
   * @param urgent whether the step has priority 0
   * @param overFairShare whether its account is over its fair share
   * @param competing number of waiting tasks of steps that come first and want the same places
   * @param ticketUntilMillis until when a ticket for a possible remote placement is usable
   */
  public record Situation(
      long nowMillis,
      long runMillis,
      double remoteFactor,
      int tasks,
      List<Long> localMillis,
      long restEndMillis,
      long dueMillis,
      boolean urgent,
      boolean overFairShare,
      int competing,
      long ticketUntilMillis) {

    /** Copies the list. */
    public Situation {
      localMillis = List.copyOf(localMillis);
    }

    private long remoteRunMillis() {
      return (long) (remoteFactor * runMillis);
    }
  }

  /**
   * Returns until when all the tasks wait for local places; the current time if they are placed at
   * once. Capacity that waiting tasks leave free goes to other steps, so that a wait costs only its
   * own step.
   */
  public static long deadlineMillis(Situation s) {
    if (s.localMillis().size() < s.tasks()
        || s.urgent() && isNearlyDue(s)
        || s.overFairShare() && s.competing() > 0) {
      return s.nowMillis();
    }
    long deadline = latestUsefulMillis(s);
    long lastLocalMillis = s.localMillis().get(s.tasks() - 1);
    boolean paysOff = lastLocalMillis < deadline && gainMillis(s, lastLocalMillis) > 0;
    return paysOff ? deadline : s.nowMillis();
  }

  private static boolean isNearlyDue(Situation s) {
    long slack = s.dueMillis() - s.nowMillis() - s.runMillis();
    return slack < MIN_URGENT_SLACK_FRACTION * s.runMillis();
  }

  /**
   * Returns until when a wait can pay off. Waiting for longer than a remote run costs gains
   * nothing; a step that can be in time is not made late; and a remote placement must still be
   * possible at the end of the wait.
   */
  private static long latestUsefulMillis(Situation s) {
    long gain = s.remoteRunMillis() - s.runMillis();
    long longest = s.nowMillis() + Math.min(gain, MAX_WAIT_MILLIS);
    long latest = Math.min(longest, s.ticketUntilMillis());
    if (s.nowMillis() + s.remoteRunMillis() <= s.dueMillis()) {
      return Math.min(latest, s.dueMillis() - s.remoteRunMillis());
    }
    // Only a local run can be in time; after its latest start, a remote one is placed at once.
    long latestLocalStart = s.dueMillis() - s.runMillis();
    return s.nowMillis() <= latestLocalStart ? Math.min(latest, latestLocalStart) : latest;
  }

  /**
   * Returns by how much earlier the step is expected to end if its waiting tasks wait: the last of
   * them decides, unless the rest of the step ends later anyway.
   */
  private static long gainMillis(Situation s, long lastLocalMillis) {
    long localEnd = lastLocalMillis + s.runMillis();
    long remoteEnd = s.nowMillis() + s.remoteRunMillis();
    return Math.max(s.restEndMillis(), remoteEnd) - Math.max(s.restEndMillis(), localEnd);
  }
}
