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

/**
 * Fake runners in virtual time with restarts, clocks of different speed, gangs, checkpoints,
 * tickets, slow stops, and runs that fail or hang.
 */
final class PlatformRunners {

  static final ResourceVector CAPACITY = new ResourceVector(0, 0, 8_000, 8_000, 0);
  static final long MAX_HOLD_MILLIS = 5_000;
  static final long GANG_TIMEOUT_MILLIS = 3_000;
  static final long CHECKPOINT_INTERVAL_MILLIS = 2_000;
  private static final long MAX_STOP_MILLIS = 200;
  static final long POLL_MILLIS = 10;

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

    ActiveRun(int run, long started, boolean hangs, boolean fails, long needed) {
      this.run = run;
      this.acceptedMillis = started;
      this.hangs = hangs;
      this.fails = fails;
      this.neededMillis = needed;
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

    final long startMillis;

    /** Rate of the runner's clock, up to 2 % slow. */
    final double clockRate;

    long token;
    long leaseUntilMillis;
    long lastEndNumber;

    Incarnation(long born, long begun, double rate) {
      this.wallStartMillis = born;
      this.startMillis = begun;
      this.clockRate = rate;
    }

    long clock(long now) {
      return (long) ((now - startMillis) * clockRate);
    }
  }

  final VirtualTime time;
  private final PlatformInvariants rules;
  private final long seed;
  private final BiPredicate<String, StartOrder> ticketValid;
  final Map<String, Incarnation> incarnations = new TreeMap<>();
  final Map<String, Mode> modes = new HashMap<>();
  final Set<String> cutLinks = new HashSet<>();
  final Set<String> usedRunners = new HashSet<>();
  double lateFraction;
  int starts;

  PlatformRunners(
      VirtualTime time,
      PlatformInvariants rules,
      long seed,
      int count,
      BiPredicate<String, StartOrder> ticketValid) {
    this.time = time;
    this.rules = rules;
    this.seed = seed;
    this.ticketValid = ticketValid;
    for (int i = 0; i < count; i++) {
      restart("r" + i);
    }
    tick();
  }

  /**
   * Returns the start of the current incarnation of a runner by its wall clock, 0 if it is down.
   */
  long startMillis(String id) {
    Incarnation l = incarnations.get(id);
    return l == null ? 0 : l.wallStartMillis;
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
    double rate = 0.98 + 0.02 * time.random().nextDouble();
    incarnations.put(id, new Incarnation(time.nowMillis() - lateMillis, time.nowMillis(), rate));
  }

  /** Ends a runner and all its runs. */
  void crash(String id) {
    Incarnation l = incarnations.remove(id);
    if (l != null) {
      new ArrayList<>(l.running.entrySet()).forEach(e -> breakGang(e.getKey(), e.getValue().run));
    }
  }

  private void tick() {
    List.copyOf(incarnations.values()).forEach(this::advance);
    time.afterMillis(POLL_MILLIS, this::tick);
  }

  void advance(Incarnation l) {
    long now = time.nowMillis();
    boolean lapsed = l.clock(now) >= l.leaseUntilMillis;
    if (lapsed) {
      l.ends.forEach(e -> l.endsBeforeLeaseExpiry.add(e.number()));
    }
    for (TaskKey t : List.copyOf(l.running.keySet())) {
      ActiveRun p = l.running.get(t);
      if (p == null) {
        continue;
      }
      if (lapsed) {
        end(l, t, RunEnd.LAPSED);
      } else if (p.workStartMillis == 0) {
        if (now - p.acceptedMillis >= GANG_TIMEOUT_MILLIS) {
          end(l, t, RunEnd.ALONE);
        }
      } else if (!p.hangs) {
        work(l, t, p, now);
      }
    }
  }

  private void work(Incarnation l, TaskKey t, ActiveRun p, long now) {
    long work = p.workMillis + now - p.workStartMillis;
    if (rules.step(t).checkpoints()
        && work / CHECKPOINT_INTERVAL_MILLIS > p.workMillis / CHECKPOINT_INTERVAL_MILLIS) {
      save(t, p, work);
    }
    if (p.fails && work >= p.workMillis + p.neededMillis / 3) {
      end(l, t, RunEnd.FAILED);
    } else if (work >= p.neededMillis && !rules.step(t).longRunning()) {
      end(l, t, RunEnd.DONE);
    }
  }

  private void save(TaskKey t, ActiveRun p, long work) {
    p.checkpoint = t.workflow() + "/" + t.step() + "/" + t.index() + "/" + work;
    rules.recordCheckpoint(t, p.checkpoint);
  }

  private void end(Incarnation l, TaskKey t, RunEnd how) {
    ActiveRun p = l.running.remove(t);
    l.highestEndedRun.merge(t, p.run, Math::max);
    l.ends.add(new RunnerReport.End(++l.lastEndNumber, t, p.run, how, p.checkpoint));
    if (how == RunEnd.DONE) {
      rules.recordDone(t);
      finishGang(t, p.run);
    } else {
      if (how == RunEnd.FAILED) {
        rules.recordFailed(t, p.run);
      }
      breakGang(t, p.run);
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

  private void visitGang(TaskKey t, int run, GangVisitor m) {
    if (!rules.step(t).gang()) {
      return;
    }
    for (Incarnation l : List.copyOf(incarnations.values())) {
      for (TaskKey o : List.copyOf(l.running.keySet())) {
        ActiveRun p = l.running.get(o);
        if (p != null && PlatformInvariants.isSameStep(o, t) && p.run == run) {
          m.visit(l, o);
        }
      }
    }
  }

  StartResult start(String id, StartOrder o, long until, long token, boolean late) {
    Incarnation l = incarnations.get(id);
    List.copyOf(incarnations.values()).forEach(this::advance);
    if (token < l.token) {
      return StartResult.FENCED;
    }
    l.token = token;
    extendLease(l, until);
    ActiveRun p = l.running.get(o.task());
    if (p != null && p.run == o.run()) {
      return StartResult.PRESENT;
    }
    if (o.run() <= l.highestEndedRun.getOrDefault(o.task(), 0) || p != null) {
      return StartResult.OLD;
    }
    if (until <= l.clock(time.nowMillis())) {
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
    rules.checkStart(
        new PlatformInvariants.Start(o.task(), o.run(), id, o.checkpoint(), late),
        time.nowMillis(),
        running,
        CAPACITY);
    starts++;
    usedRunners.add(id);
    l.running.put(o.task(), createRun(id, o));
    beginWork(o.task(), o.run());
    return StartResult.PRESENT;
  }

  private ActiveRun createRun(String id, StartOrder o) {
    StepSpec spec = rules.step(o.task());
    Random fate = new Random(31 * seed + o.task().hashCode());
    fate.nextInt();
    int failures = fate.nextInt(100) < 6 ? 1 : 0;
    failures = fate.nextInt(100) < 1 ? Integer.MAX_VALUE : failures;
    boolean hangsOnce = fate.nextInt(100) < 2;
    long needed = (long) (spec.estimateMillis() * (0.4 + fate.nextDouble()));
    needed = fate.nextInt(100) < 3 ? 12 * needed : needed;
    Mode mode = modes.getOrDefault(id, Mode.HEALTHY);
    boolean first = !spec.gang() || o.task().index() == 0;
    boolean fails = mode == Mode.FAILS || first && rules.failures(o.task()) < failures;
    boolean hangs = mode == Mode.HANGS || hangsOnce && o.run() == 1;
    ActiveRun p = new ActiveRun(o.run(), time.nowMillis(), hangs, fails, needed);
    if (!o.checkpoint().isEmpty()) {
      p.checkpoint = o.checkpoint();
      p.workMillis = Long.parseLong(p.checkpoint.substring(p.checkpoint.lastIndexOf('/') + 1));
    }
    return p;
  }

  /** Begins the work of a task: immediately, or for a gang once all of its tasks are present. */
  private void beginWork(TaskKey t, int run) {
    StepSpec spec = rules.step(t);
    List<ActiveRun> members = new ArrayList<>();
    incarnations
        .values()
        .forEach(l -> l.running.forEach((k, p) -> addIfMember(t, run, spec, k, p, members)));
    if (!spec.gang() || members.size() == spec.tasks()) {
      members.forEach(p -> p.workStartMillis = time.nowMillis());
    }
  }

  private static void addIfMember(
      TaskKey t, int run, StepSpec spec, TaskKey k, ActiveRun p, List<ActiveRun> members) {
    boolean same = PlatformInvariants.isSameStep(k, t) && p.run == run;
    if (spec.gang() ? same : k.equals(t)) {
      members.add(p);
    }
  }

  private void extendLease(Incarnation l, long until) {
    long most = l.clock(time.nowMillis()) + MAX_HOLD_MILLIS;
    l.leaseUntilMillis = Math.max(l.leaseUntilMillis, Math.min(until, most));
  }

  boolean stop(String id, TaskKey task, int run, long token) {
    Incarnation l = incarnations.get(id);
    advance(l);
    if (token < l.token) {
      return false;
    }
    l.token = token;
    l.highestEndedRun.merge(task, run, Math::max);
    ActiveRun p = l.running.get(task);
    if (p != null && p.run <= run && !p.stopping) {
      p.stopping = true;
      time.afterMillis(
          time.random().nextInt((int) MAX_STOP_MILLIS),
          () -> {
            if (l.running.get(task) == p && incarnations.get(id) == l) {
              if (rules.step(task).checkpoints() && p.workStartMillis > 0 && !p.hangs) {
                save(task, p, p.workMillis + time.nowMillis() - p.workStartMillis);
              }
              end(l, task, RunEnd.STOPPED);
            }
          });
    }
    return true;
  }

  boolean handleHold(String id, long token, long acked, long until) {
    Incarnation l = incarnations.get(id);
    advance(l);
    if (token < l.token) {
      return true;
    }
    l.token = token;
    extendLease(l, until);
    for (RunnerReport.End e : List.copyOf(l.ends)) {
      if (e.number() <= acked) {
        l.ends.remove(e);
        if (e.outcome() == RunEnd.DONE && !l.endsBeforeLeaseExpiry.contains(e.number())) {
          rules.recordAcknowledgedDone(e.task());
        } else if (e.outcome() == RunEnd.FAILED && !l.endsBeforeLeaseExpiry.contains(e.number())) {
          rules.recordAcknowledgedFailed(e.task(), e.run());
        }
      }
    }
    return false;
  }

  RunnerReport report(Incarnation l) {
    List<RunnerReport.Running> running = new ArrayList<>();
    l.running.forEach(
        (t, p) -> running.add(new RunnerReport.Running(t, p.run, p.checkpoint, 100, 1)));
    return new RunnerReport(l.wallStartMillis, l.clock(time.nowMillis()), running, l.ends);
  }
}
