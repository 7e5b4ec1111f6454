package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts the runners that could run a waiting step, and how many of its tasks fit on them. */
final class StepCapacity {

  /** A group of runners, and the number of tasks that fit on them. */
  private static final class RunnerGroup {
    int runners;

    /** Tasks that fit beside the headroom for urgent work. */
    int fitting;

    /** Tasks that would fit if the headroom for urgent work was used. */
    int fittingWithHeadroom;

    void add(int tasks, int tasksWithHeadroom) {
      runners++;
      fitting += tasks;
      fittingWithHeadroom += tasksWithHeadroom;
    }
  }

  private final CellState cell;

  /** Runners with a ticket; all usable ones if the queue needs no advice. */
  private final RunnerGroup ticketed = new RunnerGroup();

  /** Runners that may run the step, with or without a ticket. */
  private final RunnerGroup allowed = new RunnerGroup();

  private final RunnerGroup denied = new RunnerGroup();
  private final RunnerGroup undecided = new RunnerGroup();

  /** Number of runners of the queue's service that currently get no work, by reason. */
  private final Map<String, Integer> unusable = new TreeMap<>();

  /** Tasks that would fit on the runners that are not denied if these were empty. */
  private int fittingOnEmpty;

  /** Counts all runners; {@code q} is null if the queue is not configured. */
  StepCapacity(CellState cell, Placement placement, Step s, Queue q) {
    this.cell = cell;
    if (q == null) {
      return;
    }
    for (Runner r : cell.runners.values()) {
      if (placement.isUsable(r, s, q)) {
        count(placement, r, s, q);
      } else if (r.described().description.service().equals(q.service())) {
        unusable.merge(unusableReason(r, s), 1, Integer::sum);
      }
    }
  }

  private void count(Placement placement, Runner r, Step s, Queue q) {
    final int tasks = placement.countFitting(r, s, q);
    final int tasksWithHeadroom = placement.countFittingIn(r.free(), r, s);
    if (q.advice().isPresent() && s.isDenied(r)) {
      denied.add(tasks, tasksWithHeadroom);
      return;
    }
    ResourceVector capacity = r.description().capacity();
    fittingOnEmpty += placement.countFittingIn(capacity, r, s);
    if (q.advice().isEmpty() || s.isAllowed(r)) {
      allowed.add(tasks, tasksWithHeadroom);
    } else {
      undecided.add(tasks, tasksWithHeadroom);
    }
    if (q.advice().isEmpty() || placement.hasTicket(s, r)) {
      ticketed.add(tasks, tasksWithHeadroom);
    }
  }

  private String unusableReason(Runner r, Step s) {
    if (!r.listed) {
      return "notListed";
    } else if (!r.ownerConfirmed) {
      return "notAnswered";
    } else if (r.unresponsive) {
      return "silent";
    } else if (!r.isDescribed()) {
      return "entryOfOtherIncarnation";
    } else if (r.description().draining()) {
      return "draining";
    } else if (cell.closedDomains.contains(r.description().failureDomain())) {
      return "domainClosed";
    } else if (!s.spec.requiredLabel().isEmpty()
        && !r.description().labels().contains(s.spec.requiredLabel())) {
      return "label";
    }
    return "held";
  }

  /**
   * Returns how many runners may get tasks of the step, regardless of tickets and free capacity.
   */
  int usableRunners() {
    return allowed.runners + denied.runners + undecided.runners;
  }

  /** Returns how many tasks fit on runners with a ticket. */
  int fittingWithTicket() {
    return ticketed.fitting;
  }

  /** Returns how many tasks fit on allowed runners. */
  int fittingOnAllowed() {
    return allowed.fitting;
  }

  /** Returns how many tasks fit on runners without advice. */
  int fittingOnUndecided() {
    return undecided.fitting;
  }

  /** Returns how many tasks fit on runners that are not denied. */
  int fittingOnNotDenied() {
    return allowed.fitting + undecided.fitting;
  }

  /** Returns how many tasks would fit there if the headroom for urgent work was used. */
  int fittingWithHeadroom() {
    return allowed.fittingWithHeadroom + undecided.fittingWithHeadroom;
  }

  /** Returns how many tasks would fit there if the runners were empty. */
  int fittingOnEmpty() {
    return fittingOnEmpty;
  }

  /** Adds the counts to the fields of a log entry. */
  void addFields(List<Object> fields) {
    WaitLogger.add(fields, "usable", usableRunners());
    WaitLogger.add(fields, "unusable", unusable.toString());
    addFields(fields, "ticketed", ticketed);
    addFields(fields, "allowed", allowed);
    addFields(fields, "unasked", undecided);
    WaitLogger.add(fields, "denied", denied.runners);
    WaitLogger.add(fields, "fitEmpty", fittingOnEmpty);
  }

  private static void addFields(List<Object> fields, String name, RunnerGroup g) {
    WaitLogger.add(fields, name, g.runners);
    String fieldName = "fit" + Character.toUpperCase(name.charAt(0)) + name.substring(1);
    WaitLogger.add(fields, fieldName, g.fitting);
    WaitLogger.add(fields, fieldName + "WithKept", g.fittingWithHeadroom);
  }
}
