package dev.dandelionport.core.workflow;

import dev.dandelionport.core.placement.DelayDecision.Situation;
import dev.dandelionport.core.placement.ExpectedPlaces;
import dev.dandelionport.core.placement.ExpectedPlaces.Node;
import dev.dandelionport.core.placement.ExpectedPlaces.Release;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Waits of steps for a local placement: on the rack of their data, or on a single rack for a gang.
 * A step waits at most once, until a deadline that is stored on it. Made for steps with a data rack
 * or a same-rack preference; it costs other steps nothing.
 */
final class LocalityWait {

  /**
   * Part of its expected time that a run is assumed to need when it has taken as long already; run
   * times spread by a factor of about 1.6.
   */
  private static final double OVERDUE_FRACTION = 0.25;

  /** Time before the end of a ticket at which a wait ends, for the passes in between. */
  private static final long TICKET_MARGIN_MILLIS = 150;

  private final CellState cell;
  private final Placement placement;
  private final ToLongFunction<Situation> decision;
  private LocalityCounts counts = LocalityCounts.NONE;

  LocalityWait(CellState cell, Placement placement, ToLongFunction<Situation> decision) {
    this.cell = cell;
    this.placement = placement;
    this.decision = decision;
  }

  /** Returns whether a step has a data rack, or is a gang that prefers a single rack. */
  static boolean prefersRack(Step s) {
    return !s.spec.dataRack().isEmpty() || s.spec.gang() && s.spec.sameRack();
  }

  /** Returns whether a runner is on the rack of the step's data, or the step has none. */
  static boolean isLocal(Step s, Runner r) {
    String rack = s.spec.dataRack();
    return rack.isEmpty() || r.description().labels().contains(rack);
  }

  /**
   * Returns whether {@code waiting} tasks of a step are left waiting for places on the rack of
   * their data, when a place elsewhere is free.
   */
  boolean mustWait(Step s, Queue q, int waiting, List<Runner> candidates) {
    if (!cell.limits.delayScheduling() || s.spec.longRunning()) {
      return false;
    }
    List<Runner> rack = candidates.stream().filter(r -> isLocal(s, r)).toList();
    if (s.localityWaitSinceMillis < 0 && !rack.isEmpty()) {
      int competing = countCompeting(s);
      int wanted = waiting + competing;
      List<Long> places = expectedPlaces(s, q, wanted, rack);
      begin(s, q, waiting, candidates, after(competing, places), competing);
    }
    return isActive(s, !rack.isEmpty());
  }

  /** Returns whether a gang that fits on several racks is left waiting for a single one. */
  boolean mustGangWait(Step s, Queue q, List<Runner> candidates, Collection<List<Runner>> racks) {
    List<Long> starts = new ArrayList<>();
    for (List<Runner> rack : racks) {
      List<Long> places = expectedPlaces(s, q, s.spec.tasks(), rack);
      if (places.size() == s.spec.tasks()) {
        starts.add(places.get(places.size() - 1));
      }
    }
    starts.sort(null);
    if (s.localityWaitSinceMillis < 0 && !starts.isEmpty()) {
      int competing = countCompeting(s);
      begin(s, q, 1, candidates, after(competing, starts), competing);
    }
    return isActive(s, !starts.isEmpty());
  }

  /** Returns the time left until the wait of a step ends; 0 if it does not wait. */
  long remainingMillis(Step s) {
    return Math.max(0, s.localityWaitUntilMillis - cell.now);
  }

  /**
   * Counts tasks that are placed, one for each chosen runner, and adds to the fields of their log
   * entry how many are local and how long they waited for it.
   */
  void addPlaced(Step s, List<Runner> chosen, List<Object> fields) {
    int local = countLocal(s, chosen);
    int remote = chosen.size() - local;
    long waitEndMillis = Math.min(cell.now, s.localityWaitUntilMillis);
    long waitedMillis = s.localityWaitTasks > 0 ? waitEndMillis - s.localityWaitSinceMillis : 0;
    int waited = Math.min(chosen.size(), s.localityWaitTasks);
    s.localityWaitTasks -= waited;
    counts = counts.plus(new LocalityCounts(local, remote, 0, waited * waitedMillis));
    WaitLogger.add(fields, "local", local);
    WaitLogger.add(fields, "remote", remote);
    WaitLogger.add(fields, "localWaitMillis", waitedMillis);
  }

  private static int countLocal(Step s, List<Runner> chosen) {
    if (s.spec.gang() && s.spec.sameRack()) {
      return chosen.stream().map(Runner::rack).distinct().count() == 1 ? chosen.size() : 0;
    }
    return (int) chosen.stream().filter(r -> isLocal(s, r)).count();
  }

  /** Returns the counts since the last call. */
  LocalityCounts takeCounts() {
    LocalityCounts c = counts;
    counts = LocalityCounts.NONE;
    return c;
  }

  private boolean isActive(Step s, boolean hasLocalRunner) {
    if (!hasLocalRunner) {
      // A wait that has ended does not begin again when the rack returns.
      s.localityWaitUntilMillis = Math.min(s.localityWaitUntilMillis, cell.now);
    }
    return cell.now < s.localityWaitUntilMillis;
  }

  private void begin(
      Step s, Queue q, int waiting, List<Runner> candidates, List<Long> places, int competing) {
    Situation situation =
        new Situation(
            cell.now,
            cell.runTimes.expectedMillis(s),
            cell.limits.remoteFactor(),
            waiting,
            places,
            restEndMillis(s),
            s.dueMillis,
            q.priority() == 0,
            cell.shares.isOver(s),
            competing,
            ticketUntilMillis(s, q, candidates));
    long deadlineMillis = decision.applyAsLong(situation);
    if (deadlineMillis > cell.now) {
      s.localityWaitSinceMillis = cell.now;
      s.localityWaitUntilMillis = deadlineMillis;
      s.localityWaitTasks = s.spec.gang() ? s.spec.tasks() : waiting;
      counts = counts.plus(new LocalityCounts(0, 0, 1, 0));
    }
  }

  private static List<Long> after(int competing, List<Long> places) {
    return places.subList(Math.min(competing, places.size()), places.size());
  }

  /**
   * Returns how many tasks of steps that come first want the same rack, or how many gangs that come
   * first want a rack of their own.
   */
  private int countCompeting(Step s) {
    int n = 0;
    for (Step o : cell.ready.headSet(s)) {
      if (s.spec.gang()) {
        n += o.spec.gang() && o.spec.sameRack() && o.gangRun == 0 ? 1 : 0;
      } else if (o.spec.dataRack().equals(s.spec.dataRack())) {
        n += o.countWaiting();
      }
    }
    return n;
  }

  private List<Long> expectedPlaces(Step s, Queue q, int wanted, List<Runner> rack) {
    List<Node> nodes = new ArrayList<>();
    for (Runner r : rack) {
      List<Release> releases = new ArrayList<>();
      for (Run x : r.runs) {
        if (!x.task.step.spec.longRunning()) {
          releases.add(new Release(expectedEndMillis(x), x.reserved));
        }
      }
      int limit =
          s.spec.maxPerRunner() > 0
              ? Math.max(0, s.spec.maxPerRunner() - r.countRuns(s))
              : s.spec.tasks();
      nodes.add(new Node(placement.freeFor(r, q.priority()), releases, limit));
    }
    return ExpectedPlaces.freeMillis(nodes, s.spec.reserved(), wanted, cell.now);
  }

  private long expectedEndMillis(Run x) {
    if (x.stopReason != null) {
      return cell.now + cell.limits.maxStopMillis();
    }
    Step s = x.task.step;
    boolean remote = !s.spec.gang() && !isLocal(s, x.runner);
    double factor = remote ? cell.limits.remoteFactor() : 1;
    long expected = (long) (factor * cell.runTimes.expectedMillis(s));
    long started = x.startSentMillis > 0 ? x.startSentMillis : cell.now;
    return Math.max(started + expected, cell.now + (long) (OVERDUE_FRACTION * expected));
  }

  private long restEndMillis(Step s) {
    long end = 0;
    for (Task t : s.tasks) {
      end = t.run == null ? end : Math.max(end, expectedEndMillis(t.run));
    }
    return end;
  }

  /** Returns until when a wait leaves a ticket for a runner that could take the step now. */
  private long ticketUntilMillis(Step s, Queue q, List<Runner> candidates) {
    if (q.advice().isEmpty()) {
      return Long.MAX_VALUE;
    }
    long until = 0;
    for (Runner r : candidates) {
      if (placement.countFitting(r, s, q) > 0) {
        until = Math.max(until, s.ticketFor(r).validUntilMillis());
      }
    }
    return until - TICKET_MARGIN_MILLIS;
  }
}
