package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.VirtualTime;
import dev.dandelionport.core.workflow.RunEnd;
import dev.dandelionport.core.workflow.RunnerReport;
import dev.dandelionport.core.workflow.StartOrder;
import dev.dandelionport.core.workflow.StartResult;
import dev.dandelionport.core.workflow.StepSpec;
import dev.dandelionport.core.workflow.TaskKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/**
 * Fake runners in virtual time with restarts, clocks of different speed, gangs, checkpoints,
 * tickets, slow stops, and runs that fail or hang.
 */
final class PlatformRunners {

  static final ResourceVector CAPACITY = new ResourceVector(0, 0, 8_000, 8_000, 0);
  static final long MAX_HOLD_MILLIS = 6_000;
  static final long GANG_TIMEOUT_MILLIS = 3_000;
  static final long CHECKPOINT_INTERVAL_MILLIS = 2_000;
  private static final long MAX_STOP_MILLIS = 200;
  static final long POLL_MILLIS = 10;

  /** Time for which a real runner is down at least between two incarnations; here it may be 0. */
  private static final long MIN_DOWN_MILLIS = 300;

  /** Lowest rate of a runner's clock. */
  static final double MIN_CLOCK_RATE = 0.98;

  /** Maximum number of ends in a report; the others follow once these are acknowledged. */
  private static final int MAX_REPORTED_ENDS = 4;

  /** How a runner executes start orders. */
  enum Mode {
    HEALTHY,
    FAILS,
    HANGS,
    REFUSES
  }

  /** A run on a runner; {@code workStartMillis} is 0 while the run waits for its gang. */
  private static final class ActiveRun {
    final int run;
    final long acceptedMillis;
    final boolean hangs;
    final boolean fails;
    final long neededMillis;
    long workMillis;
    long workStartMillis;
    boolean stopping;
    String checkpoint = "";

    ActiveRun(int run, long acceptedMillis, boolean hangs, boolean fails, long neededMillis) {
      this.run = run;
      this.acceptedMillis = acceptedMillis;
      this.hangs = hangs;
      this.fails = fails;
      this.neededMillis = neededMillis;
    }
  }

  /** State of a runner from one restart to the next. */
  static final class Incarnation {
    final Map<TaskKey, ActiveRun> running = new LinkedHashMap<>();
    final Map<TaskKey, Integer> highestEndedRun = new HashMap<>();
    final List<RunnerReport.End> ends = new ArrayList<>();
    final Set<Long> endsBeforeLeaseExpiry = new HashSet<>();

    /** Start of this incarnation by its own wall clock. */
    final long wallStartMillis;

    /** Start of this incarnation in virtual time. */
    final long startMillis;

    /** Rate of the runner's clock, up to 2 % slow. */
    final double clockRate;

    long token;
    long leaseUntilMillis;
    long lastEndNumber;

    /** Highest number of an end in a report. */
    long lastListedEnd;

    /** What the runner's clock showed at the start of this incarnation. */
    final long firstClockMillis;

    Incarnation(long wallStartMillis, long startMillis, long firstClockMillis, double clockRate) {
      this.wallStartMillis = wallStartMillis;
      this.startMillis = startMillis;
      this.firstClockMillis = firstClockMillis;
      this.clockRate = clockRate;
    }

    boolean runs(TaskKey task) {
      return running.containsKey(task);
    }

    long clockMillis(long now) {
      return firstClockMillis + (long) ((now - startMillis) * clockRate);
    }
  }

  final VirtualTime time;
  private final PlatformInvariants invariants;
  private final long seed;
  private final BiPredicate<String, StartOrder> ticketValid;
  private final Random firstClocks;
  final Map<String, Incarnation> incarnations = new TreeMap<>();
  final Map<String, Mode> modes = new HashMap<>();
  final Set<String> cutLinks = new HashSet<>();
  final Set<String> usedRunners = new HashSet<>();
  double lateFraction;

  /** Latest time, exclusive, at which the clocks of incarnations start from now on. */
  int maxFirstClockMillis = 10_000_000;

  /** Highest rate of the clocks of incarnations that start from now on. */
  double maxClockRate = 1;

  int starts;

  /** Told the id of each runner that has restarted. */
  Consumer<String> restartListener = id -> {};

  PlatformRunners(
      VirtualTime time,
      PlatformInvariants invariants,
      long seed,
      int count,
      BiPredicate<String, StartOrder> ticketValid) {
    this.time = time;
    this.invariants = invariants;
    this.seed = seed;
    this.ticketValid = ticketValid;
    this.firstClocks = new Random(seed);
    for (int i = 0; i < count; i++) {
      restart("r" + i);
    }
    tick();
  }

  /**
   * Returns the start of the current incarnation of a runner by its wall clock, 0 if it is down.
   */
  long startMillis(String id) {
    Incarnation incarnation = incarnations.get(id);
    return incarnation == null ? 0 : incarnation.wallStartMillis;
  }

  /** Returns whether a task has a run on any runner. */
  boolean isPresent(TaskKey t) {
    return incarnations.values().stream().anyMatch(l -> l.running.containsKey(t));
  }

  /** Starts a new, empty incarnation of a runner. */
  void restart(String id) {
    restart(id, 0);
  }

  /** Starts a new, empty incarnation of a runner whose wall clock is {@code lateMillis} behind. */
  void restart(String id, long lateMillis) {
    crash(id);
    double rate = MIN_CLOCK_RATE + (maxClockRate - MIN_CLOCK_RATE) * time.random().nextDouble();
    long firstClock = firstClocks.nextInt(maxFirstClockMillis);
    long now = time.nowMillis();
    incarnations.put(id, new Incarnation(now - lateMillis, now, firstClock, rate));
    restartListener.accept(id);
  }

  /** Ends a runner and all its runs. */
  void crash(String id) {
    Incarnation incarnation = incarnations.remove(id);
    if (incarnation != null) {
      new ArrayList<>(incarnation.running.entrySet())
          .forEach(e -> breakGang(e.getKey(), e.getValue().run));
    }
  }

  private void tick() {
    List.copyOf(incarnations.values()).forEach(this::advance);
    time.afterMillis(POLL_MILLIS, this::tick);
  }

  void advance(Incarnation incarnation) {
    long now = time.nowMillis();
    boolean leaseExpired = incarnation.clockMillis(now) >= incarnation.leaseUntilMillis;
    if (leaseExpired) {
      incarnation.ends.forEach(e -> incarnation.endsBeforeLeaseExpiry.add(e.number()));
    }
    for (TaskKey t : List.copyOf(incarnation.running.keySet())) {
      ActiveRun active = incarnation.running.get(t);
      if (active == null) {
        continue;
      }
      if (leaseExpired) {
        end(incarnation, t, RunEnd.LAPSED);
      } else if (active.workStartMillis == 0) {
        if (now - active.acceptedMillis >= GANG_TIMEOUT_MILLIS) {
          end(incarnation, t, RunEnd.ALONE);
        }
      } else if (!active.hangs) {
        advanceWork(incarnation, t, active, now);
      }
    }
  }

  private void advanceWork(Incarnation incarnation, TaskKey t, ActiveRun active, long now) {
    long workMillis = active.workMillis + now - active.workStartMillis;
    if (invariants.stepSpec(t).checkpoints()
        && workMillis / CHECKPOINT_INTERVAL_MILLIS
            > active.workMillis / CHECKPOINT_INTERVAL_MILLIS) {
      saveCheckpoint(t, active, workMillis);
    }
    if (active.fails && workMillis >= active.workMillis + active.neededMillis / 3) {
      end(incarnation, t, RunEnd.FAILED);
    } else if (workMillis >= active.neededMillis && !invariants.stepSpec(t).longRunning()) {
      end(incarnation, t, RunEnd.DONE);
    }
  }

  private void saveCheckpoint(TaskKey t, ActiveRun active, long workMillis) {
    active.checkpoint = t.workflow() + "/" + t.step() + "/" + t.index() + "/" + workMillis;
    invariants.recordCheckpoint(t, active.checkpoint);
  }

  private void end(Incarnation incarnation, TaskKey t, RunEnd outcome) {
    ActiveRun active = incarnation.running.remove(t);
    incarnation.highestEndedRun.merge(t, active.run, Math::max);
    incarnation.ends.add(
        new RunnerReport.End(
            ++incarnation.lastEndNumber, t, active.run, outcome, active.checkpoint));
    if (outcome == RunEnd.DONE) {
      invariants.recordDone(t, active.run);
      finishGang(t, active.run);
    } else {
      if (outcome == RunEnd.FAILED) {
        invariants.recordFailed(t, active.run);
      }
      breakGang(t, active.run);
    }
  }

  private void finishGang(TaskKey t, int run) {
    visitGang(t, run, (l, o) -> end(l, o, RunEnd.DONE));
  }

  private void breakGang(TaskKey t, int run) {
    time.afterMillis(20, () -> visitGang(t, run, (l, o) -> end(l, o, RunEnd.BROKEN)));
  }

  private interface GangVisitor {
    void visit(Incarnation l, TaskKey t);
  }

  private void visitGang(TaskKey t, int run, GangVisitor visitor) {
    if (!invariants.stepSpec(t).gang()) {
      return;
    }
    for (Incarnation incarnation : List.copyOf(incarnations.values())) {
      for (TaskKey other : List.copyOf(incarnation.running.keySet())) {
        ActiveRun active = incarnation.running.get(other);
        if (active != null && PlatformInvariants.isSameStep(other, t) && active.run == run) {
          visitor.visit(incarnation, other);
        }
      }
    }
  }

  StartResult start(String id, StartOrder o, long leaseUntilMillis, long token, boolean late) {
    Incarnation incarnation = incarnations.get(id);
    List.copyOf(incarnations.values()).forEach(this::advance);
    if (token < incarnation.token) {
      return StartResult.FENCED;
    }
    incarnation.token = token;
    extendLease(incarnation, leaseUntilMillis);
    ActiveRun active = incarnation.running.get(o.task());
    if (active != null && active.run == o.run()) {
      return StartResult.PRESENT;
    }
    if (o.run() <= incarnation.highestEndedRun.getOrDefault(o.task(), 0) || active != null) {
      return StartResult.OLD;
    }
    if (leaseUntilMillis <= incarnation.clockMillis(time.nowMillis())) {
      return StartResult.LATE;
    }
    if (modes.get(id) == Mode.REFUSES) {
      return StartResult.UNHEALTHY;
    }
    if (!ticketValid.test(id, o)) {
      return StartResult.NO_TICKET;
    }
    Map<String, Set<TaskKey>> running = new HashMap<>();
    incarnations.forEach((r, x) -> running.put(r, x.running.keySet()));
    invariants.checkStart(
        new PlatformInvariants.Start(o.task(), o.run(), id, o.payload(), o.checkpoint(), late),
        time.nowMillis(),
        running,
        CAPACITY);
    starts++;
    usedRunners.add(id);
    incarnation.running.put(o.task(), createRun(id, o));
    beginWork(o.task(), o.run());
    return StartResult.PRESENT;
  }

  private ActiveRun createRun(String id, StartOrder o) {
    StepSpec spec = invariants.stepSpec(o.task());
    Random random = new Random(31 * seed + o.task().hashCode());
    random.nextInt();
    int failures = random.nextInt(100) < 6 ? 1 : 0;
    failures = random.nextInt(100) < 1 ? Integer.MAX_VALUE : failures;
    boolean hangsOnce = random.nextInt(100) < 2;
    long neededMillis = (long) (spec.estimateMillis() * (0.4 + random.nextDouble()));
    neededMillis = random.nextInt(100) < 3 ? 12 * neededMillis : neededMillis;
    Mode mode = modes.getOrDefault(id, Mode.HEALTHY);
    boolean first = !spec.gang() || o.task().index() == 0;
    boolean fails = mode == Mode.FAILS || first && invariants.failures(o.task()) < failures;
    boolean hangs = mode == Mode.HANGS || hangsOnce && o.run() == 1;
    ActiveRun active = new ActiveRun(o.run(), time.nowMillis(), hangs, fails, neededMillis);
    if (!o.checkpoint().isEmpty()) {
      active.checkpoint = o.checkpoint();
      active.workMillis =
          Long.parseLong(active.checkpoint.substring(active.checkpoint.lastIndexOf('/') + 1));
    }
    return active;
  }

  /** Begins the work of a task: immediately, or for a gang once all of its tasks are present. */
  private void beginWork(TaskKey t, int run) {
    StepSpec spec = invariants.stepSpec(t);
    List<ActiveRun> members = new ArrayList<>();
    incarnations
        .values()
        .forEach(l -> l.running.forEach((k, p) -> addIfMember(t, run, spec, k, p, members)));
    if (!spec.gang() || members.size() == spec.tasks()) {
      members.forEach(p -> p.workStartMillis = time.nowMillis());
    }
  }

  private static void addIfMember(
      TaskKey t, int run, StepSpec spec, TaskKey key, ActiveRun active, List<ActiveRun> members) {
    boolean same = PlatformInvariants.isSameStep(key, t) && active.run == run;
    if (spec.gang() ? same : key.equals(t)) {
      members.add(active);
    }
  }

  private void extendLease(Incarnation incarnation, long leaseUntilMillis) {
    long maxUntil = incarnation.clockMillis(time.nowMillis()) + MAX_HOLD_MILLIS;
    incarnation.leaseUntilMillis =
        Math.max(incarnation.leaseUntilMillis, Math.min(leaseUntilMillis, maxUntil));
  }

  boolean stop(String id, TaskKey task, int run, long token) {
    Incarnation incarnation = incarnations.get(id);
    advance(incarnation);
    if (token < incarnation.token) {
      return false;
    }
    incarnation.token = token;
    incarnation.highestEndedRun.merge(task, run, Math::max);
    ActiveRun active = incarnation.running.get(task);
    if (active != null && active.run <= run && !active.stopping) {
      active.stopping = true;
      time.afterMillis(
          time.random().nextInt((int) MAX_STOP_MILLIS),
          () -> {
            if (incarnation.running.get(task) == active && incarnations.get(id) == incarnation) {
              if (invariants.stepSpec(task).checkpoints()
                  && active.workStartMillis > 0
                  && !active.hangs) {
                saveCheckpoint(
                    task, active, active.workMillis + time.nowMillis() - active.workStartMillis);
              }
              end(incarnation, task, RunEnd.STOPPED);
            }
          });
    }
    return true;
  }

  boolean handleHold(String id, long token, long acked, long leaseUntilMillis, long sentMillis) {
    Incarnation incarnation = incarnations.get(id);
    advance(incarnation);
    if (token < incarnation.token) {
      return true;
    }
    incarnation.token = token;
    extendLease(incarnation, leaseUntilMillis);
    if (acked > incarnation.lastListedEnd
        && sentMillis - incarnation.startMillis > MIN_DOWN_MILLIS) {
      invariants.violations.add(
          time.nowMillis() + " " + id + ": ends acknowledged that it has not listed");
    }
    for (RunnerReport.End e : List.copyOf(incarnation.ends)) {
      if (e.number() <= acked) {
        incarnation.ends.remove(e);
        if (e.outcome() == RunEnd.DONE && !incarnation.endsBeforeLeaseExpiry.contains(e.number())) {
          invariants.recordAcknowledgedDone(e.task(), e.run());
        } else if (e.outcome() == RunEnd.FAILED
            && !incarnation.endsBeforeLeaseExpiry.contains(e.number())) {
          invariants.recordAcknowledgedFailed(e.task(), e.run());
        }
      }
    }
    return false;
  }

  RunnerReport report(Incarnation incarnation) {
    List<RunnerReport.Running> running = new ArrayList<>();
    incarnation.running.forEach(
        (t, p) -> running.add(new RunnerReport.Running(t, p.run, p.checkpoint, 100, 1)));
    List<RunnerReport.End> ends = incarnation.ends.stream().limit(MAX_REPORTED_ENDS).toList();
    ends.forEach(e -> incarnation.lastListedEnd = Math.max(incarnation.lastListedEnd, e.number()));
    return new RunnerReport(
        incarnation.wallStartMillis,
        incarnation.clockMillis(time.nowMillis()),
        running,
        ends,
        ends.size() < MAX_REPORTED_ENDS);
  }
}
