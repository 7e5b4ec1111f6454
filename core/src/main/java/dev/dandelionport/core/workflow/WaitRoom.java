package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the runners that could run a waiting step, and how many of its tasks they have room for.
 */
final class WaitRoom {

  /** Some runners, and the tasks that fit on them. */
  private static final class Group {
    int runners;

    /** Tasks that fit beside the room kept for urgent work. */
    int fit;

    /** Tasks that would fit if the room kept for urgent work was used. */
    int fitWithKept;

    void add(int fits, int fitsWithKept) {
      runners++;
      fit += fits;
      fitWithKept += fitsWithKept;
    }
  }

  private final Cell cell;

  /** Runners with a ticket; all usable ones if the queue takes no advice. */
  private final Group ticketed = new Group();

  /** Runners that may run the step, with or without a ticket. */
  private final Group allowed = new Group();

  private final Group denied = new Group();
  private final Group unasked = new Group();

  /** Runners of the queue's pool that get no work now, by the reason. */
  private final Map<String, Integer> unusable = new TreeMap<>();

  /** Tasks that would fit on the runners that are not denied if they were empty. */
  private int empty;

  /** Looks at all runners; {@code q} is null if the queue is not configured. */
  WaitRoom(Cell cell, Placement placement, Step s, Queue q) {
    this.cell = cell;
    if (q == null) {
      return;
    }
    for (Runner r : cell.runners.values()) {
      if (placement.isUsable(r, s, q)) {
        count(placement, r, s, q);
      } else if (r.info.service().equals(q.service())) {
        unusable.merge(whyUnusable(r, s), 1, Integer::sum);
      }
    }
  }

  private void count(Placement placement, Runner r, Step s, Queue q) {
    final int fits = placement.copies(r, s, q);
    final int fitsWithKept = placement.copiesIn(r.free(), r, s);
    if (q.advice().isPresent() && s.isDenied(r)) {
      denied.add(fits, fitsWithKept);
      return;
    }
    ResourceVector whole = r.info.capacity();
    empty += placement.copiesIn(whole, r, s);
    if (q.advice().isEmpty() || s.isAllowed(r)) {
      allowed.add(fits, fitsWithKept);
    } else {
      unasked.add(fits, fitsWithKept);
    }
    if (q.advice().isEmpty() || placement.hasTicket(s, r)) {
      ticketed.add(fits, fitsWithKept);
    }
  }

  private String whyUnusable(Runner r, Step s) {
    if (!r.listed) {
      return "notListed";
    } else if (!r.fenced) {
      return "notAnswered";
    } else if (r.silent) {
      return "silent";
    } else if (r.info.draining()) {
      return "draining";
    } else if (cell.closedDomains.contains(r.info.failureDomain())) {
      return "domainClosed";
    } else if (!s.spec.label().isEmpty() && !r.info.labels().contains(s.spec.label())) {
      return "label";
    }
    return "held";
  }

  /** Returns how many runners may get work of the step, tickets and room aside. */
  int usable() {
    return allowed.runners + denied.runners + unasked.runners;
  }

  /** Returns how many tasks fit on runners with a ticket. */
  int ticketed() {
    return ticketed.fit;
  }

  /** Returns how many tasks fit on runners that are known to be allowed. */
  int allowed() {
    return allowed.fit;
  }

  /** Returns how many tasks fit on runners that were not asked about. */
  int unasked() {
    return unasked.fit;
  }

  /** Returns how many tasks fit on all runners that are not denied. */
  int possible() {
    return allowed.fit + unasked.fit;
  }

  /** Returns how many would fit there if the room kept for urgent work was used. */
  int possibleWithKept() {
    return allowed.fitWithKept + unasked.fitWithKept;
  }

  /** Returns how many would fit there if nothing ran. */
  int empty() {
    return empty;
  }

  /** Adds the counts to the fields of a line. */
  void describe(List<Object> fields) {
    WaitReport.add(fields, "usable", usable());
    WaitReport.add(fields, "unusable", unusable.toString());
    describe(fields, "ticketed", ticketed);
    describe(fields, "allowed", allowed);
    describe(fields, "unasked", unasked);
    WaitReport.add(fields, "denied", denied.runners);
    WaitReport.add(fields, "fitEmpty", empty);
  }

  private static void describe(List<Object> fields, String name, Group g) {
    WaitReport.add(fields, name, g.runners);
    String fit = "fit" + Character.toUpperCase(name.charAt(0)) + name.substring(1);
    WaitReport.add(fields, fit, g.fit);
    WaitReport.add(fields, fit + "WithKept", g.fitWithKept);
  }
}
