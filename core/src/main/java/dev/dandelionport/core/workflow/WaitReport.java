package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Notes why steps wait whose turn came long ago. The number of lines a second is bounded, so that a
 * backlog neither floods the log nor takes the owner's time; what a line says is computed only when
 * it is written.
 */
final class WaitReport {

  /** Waiting time after which a step gets its first line; each later one comes at twice as much. */
  private static final long FIRST_MILLIS = 2_000;

  /** Interval at which the waiting steps are looked through, in milliseconds. */
  private static final long SCAN_MILLIS = 500;

  /** Most lines a second, over all steps. */
  private static final double LINES_PER_SECOND = 5;

  /** Time for which unused lines may be saved up, in seconds. */
  private static final double BURST_SECONDS = 1;

  private final Cell cell;
  private final Placement placement;
  private final AdviceBook advice;
  private final RateBucket lines = new RateBucket(BURST_SECONDS);
  private long nextScanMillis;

  WaitReport(Cell cell, Placement placement, AdviceBook advice) {
    this.cell = cell;
    this.placement = placement;
    this.advice = advice;
  }

  /** Writes the lines that are due, those of the steps that have waited longest first. */
  void scan() {
    if (cell.now < nextScanMillis) {
      return;
    }
    nextScanMillis = cell.now + SCAN_MILLIS;
    List<Step> due = due();
    int written = 0;
    while (written < due.size() && lines.take(LINES_PER_SECOND, cell.now)) {
      written++;
    }
    for (Step s : due.subList(0, written)) {
      s.waitLineMillis = cell.now + Math.max(FIRST_MILLIS, cell.now - s.waitsSinceMillis);
      note(s, due.size() - written);
    }
  }

  private List<Step> due() {
    List<Step> due = new ArrayList<>();
    for (Step s : cell.ready) {
      if (s.waiting() == 0) {
        s.waitsSinceMillis = -1;
        continue;
      }
      if (s.waitsSinceMillis < 0) {
        s.waitsSinceMillis = s.wasPlaced() ? cell.now : s.readyMillis;
        s.waitLineMillis = s.waitsSinceMillis + FIRST_MILLIS;
      }
      if (cell.now >= s.waitLineMillis) {
        due.add(s);
      }
    }
    due.sort(Comparator.comparingLong(s -> s.waitsSinceMillis));
    return due;
  }

  private void note(Step s, int leftOut) {
    Queue q = cell.queueOf(s);
    WaitRoom room = new WaitRoom(cell, placement, s, q);
    List<Object> fields = new ArrayList<>();
    add(fields, "step", s.key.toString());
    add(fields, "why", why(s, q, room).text());
    add(fields, "waitedMillis", cell.now - s.waitsSinceMillis);
    add(fields, "acceptedAgoMillis", cell.wallMillis - s.workflow.acceptedWallMillis);
    add(fields, "dueInMillis", s.dueMillis - cell.now);
    add(fields, "queue", s.workflow.spec.queue());
    add(fields, "account", s.workflow.spec.account());
    add(fields, "size", s.spec.summary());
    add(fields, "waiting", s.waiting());
    add(fields, "rank", placement.rankName(s));
    add(fields, "priority", s.priority);
    add(fields, "reached", placement.reached(s));
    add(fields, "lookedAgoMillis", s.lookedMillis < 0 ? -1 : cell.now - s.lookedMillis);
    add(fields, "ceilingAllows", Math.min(cell.allowedByCeiling(s), s.spec.tasks()));
    add(fields, "asking", s.asking);
    add(fields, "askAgainInMillis", Math.max(0, s.askAgainMillis - cell.now));
    if (q != null && q.advice().isPresent()) {
      add(fields, "allowedPercent", Math.round(100 * advice.allowedPart(q)));
    }
    room.describe(fields);
    add(fields, "leftOut", leftOut);
    cell.note(Topic.WAITING, fields.toArray());
  }

  static void add(List<Object> fields, String name, Object value) {
    fields.add(name);
    fields.add(value);
  }

  /** Returns the first thing that keeps a step from starting, in the order of the placement. */
  private WaitReason why(Step s, Queue q, WaitRoom room) {
    if (q == null) {
      return WaitReason.NO_QUEUE;
    }
    if (s.spec.gang() && s.hasRuns()) {
      return WaitReason.EARLIER_RUN;
    }
    if (!s.hasStartable(cell.now)) {
      return WaitReason.RETRY;
    }
    int needed = s.spec.gang() ? s.spec.tasks() : 1;
    if (cell.allowedByCeiling(s) < needed) {
      return WaitReason.CEILING;
    }
    if (!placement.reached(s)) {
      return WaitReason.NOT_REACHED;
    }
    if (room.usable() == 0) {
      return WaitReason.NO_RUNNER;
    }
    if (room.empty() < needed) {
      return WaitReason.TOO_LARGE;
    }
    if (room.possible() < needed) {
      return room.possibleWithKept() < needed ? WaitReason.NO_ROOM : WaitReason.KEPT_ROOM;
    }
    return whyNoTicket(s, room, needed);
  }

  private WaitReason whyNoTicket(Step s, WaitRoom room, int needed) {
    if (room.ticketed() >= needed) {
      return WaitReason.FITS;
    }
    if (s.asking > 0) {
      return WaitReason.ASKING;
    }
    if (room.allowed() >= needed) {
      return WaitReason.NO_TICKET;
    }
    return WaitReason.NOT_ASKED;
  }
}
