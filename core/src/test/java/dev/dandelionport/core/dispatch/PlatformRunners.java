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
 * Runners in virtual time that have lives with clocks of their own, gangs, checkpoints, tickets,
 * slow stops, and runs that fail or hang.
 */
final class PlatformRunners {

  static final ResourceVector ROOM = new ResourceVector(0, 0, 8_000, 8_000, 0);
  static final long MAX_HOLD_MILLIS = 5_000;
  static final long GANG_MILLIS = 3_000;
  static final long CHECKPOINT_MILLIS = 2_000;
  private static final long STOP_MILLIS = 200;
  static final long POLL_MILLIS = 10;

  /** How a runner treats what it is told to start. */
  enum Mode {
    SOUND,
    FAILS,
    HANGS,
    REFUSES
  }

  /** A run on a runner; {@code work} is in milliseconds, {@code begun} is 0 while it waits. */
  private static final class Present {
    final int run;
    final long started;
    final boolean hangs;
    final boolean fails;
    final long needed;
    long work;
    long begun;
    boolean stopping;
    String saved = "";

    Present(int run, long started, boolean hangs, boolean fails, long needed) {
      this.run = run;
      this.started = started;
      this.hangs = hangs;
      this.fails = fails;
      this.needed = needed;
    }
  }

  /** One life of a runner. */
  static final class Life {
    final Map<TaskKey, Present> running = new LinkedHashMap<>();
    final Map<TaskKey, Integer> barred = new HashMap<>();
    final List<RunnerReport.End> ends = new ArrayList<>();
    final Set<Long> lapsedEnds = new HashSet<>();

    /** When it began by its own wall clock, and in virtual time. */
    final long born;

    final long begun;

    /** Speed of its clock, up to 2 % slow. */
    final double rate;

    long token;
    long until;
    long lastEnd;

    Life(long born, long begun, double rate) {
      this.born = born;
      this.begun = begun;
      this.rate = rate;
    }

    long clock(long now) {
      return (long) ((now - begun) * rate);
    }
  }

  final VirtualTime time;
  private final PlatformRules rules;
  private final long seed;
  private final BiPredicate<String, StartOrder> ticketValid;
  final Map<String, Life> lives = new TreeMap<>();
  final Map<String, Mode> modes = new HashMap<>();
  final Set<String> cut = new HashSet<>();
  final Set<String> served = new HashSet<>();
  double latePart;
  int starts;

  PlatformRunners(
      VirtualTime time,
      PlatformRules rules,
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

  /** Returns when the present life of a runner began, 0 if it is down. */
  long born(String id) {
    Life l = lives.get(id);
    return l == null ? 0 : l.born;
  }

  /** Returns whether a task is present on a runner. */
  boolean isPresent(TaskKey t) {
    return lives.values().stream().anyMatch(l -> l.running.containsKey(t));
  }

  /** Starts a new life of a runner that holds and knows nothing. */
  void restart(String id) {
    restart(id, 0);
  }

  /** The same, with a wall clock that is late by some milliseconds. */
  void restart(String id, long lateMillis) {
    crash(id);
    double rate = 0.98 + 0.02 * time.random().nextDouble();
    lives.put(id, new Life(time.nowMillis() - lateMillis, time.nowMillis(), rate));
  }

  /** Ends a runner and all that runs there. */
  void crash(String id) {
    Life l = lives.remove(id);
    if (l != null) {
      new ArrayList<>(l.running.entrySet()).forEach(e -> breakGang(e.getKey(), e.getValue().run));
    }
  }

  private void tick() {
    List.copyOf(lives.values()).forEach(this::advance);
    time.afterMillis(POLL_MILLIS, this::tick);
  }

  void advance(Life l) {
    long now = time.nowMillis();
    boolean lapsed = l.clock(now) >= l.until;
    if (lapsed) {
      l.ends.forEach(e -> l.lapsedEnds.add(e.number()));
    }
    for (TaskKey t : List.copyOf(l.running.keySet())) {
      Present p = l.running.get(t);
      if (p == null) {
        continue;
      }
      if (lapsed) {
        end(l, t, RunEnd.LAPSED);
      } else if (p.begun == 0) {
        if (now - p.started >= GANG_MILLIS) {
          end(l, t, RunEnd.ALONE);
        }
      } else if (!p.hangs) {
        work(l, t, p, now);
      }
    }
  }

  private void work(Life l, TaskKey t, Present p, long now) {
    long work = p.work + now - p.begun;
    if (rules.step(t).checkpoints() && work / CHECKPOINT_MILLIS > p.work / CHECKPOINT_MILLIS) {
      save(t, p, work);
    }
    if (p.fails && work >= p.work + p.needed / 3) {
      end(l, t, RunEnd.FAILED);
    } else if (work >= p.needed && !rules.step(t).longRunning()) {
      end(l, t, RunEnd.DONE);
    }
  }

  private void save(TaskKey t, Present p, long work) {
    p.saved = t.workflow() + "/" + t.step() + "/" + t.index() + "/" + work;
    rules.saved(t, p.saved);
  }

  private void end(Life l, TaskKey t, RunEnd how) {
    Present p = l.running.remove(t);
    l.barred.merge(t, p.run, Math::max);
    l.ends.add(new RunnerReport.End(++l.lastEnd, t, p.run, how, p.saved));
    if (how == RunEnd.DONE) {
      rules.done(t);
      finishGang(t, p.run);
    } else {
      if (how == RunEnd.FAILED) {
        rules.failed(t, p.run);
      }
      breakGang(t, p.run);
    }
  }

  private void finishGang(TaskKey t, int run) {
    others(t, run, (l, o) -> end(l, o, RunEnd.DONE));
  }

  private void breakGang(TaskKey t, int run) {
    time.afterMillis(20, () -> others(t, run, (l, o) -> end(l, o, RunEnd.BROKEN)));
  }

  private interface Member {
    void visit(Life l, TaskKey t);
  }

  private void others(TaskKey t, int run, Member m) {
    if (!rules.step(t).gang()) {
      return;
    }
    for (Life l : List.copyOf(lives.values())) {
      for (TaskKey o : List.copyOf(l.running.keySet())) {
        Present p = l.running.get(o);
        if (p != null && PlatformRules.isSameStep(o, t) && p.run == run) {
          m.visit(l, o);
        }
      }
    }
  }

  StartResult start(String id, StartOrder o, long until, long token, boolean late) {
    Life l = lives.get(id);
    List.copyOf(lives.values()).forEach(this::advance);
    if (token < l.token) {
      return StartResult.FENCED;
    }
    l.token = token;
    grant(l, until);
    Present p = l.running.get(o.task());
    if (p != null && p.run == o.run()) {
      return StartResult.PRESENT;
    }
    if (o.run() <= l.barred.getOrDefault(o.task(), 0) || p != null) {
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
    lives.forEach((r, x) -> running.put(r, x.running.keySet()));
    rules.check(
        new PlatformRules.Start(o.task(), o.run(), id, o.checkpoint(), late),
        time.nowMillis(),
        running,
        ROOM);
    starts++;
    served.add(id);
    l.running.put(o.task(), present(id, o));
    begin(o.task(), o.run());
    return StartResult.PRESENT;
  }

  private Present present(String id, StartOrder o) {
    StepSpec spec = rules.step(o.task());
    Random fate = new Random(31 * seed + o.task().hashCode());
    fate.nextInt();
    int failures = fate.nextInt(100) < 6 ? 1 : 0;
    failures = fate.nextInt(100) < 1 ? Integer.MAX_VALUE : failures;
    boolean hangsOnce = fate.nextInt(100) < 2;
    long needed = (long) (spec.estimateMillis() * (0.4 + fate.nextDouble()));
    needed = fate.nextInt(100) < 3 ? 12 * needed : needed;
    Mode mode = modes.getOrDefault(id, Mode.SOUND);
    boolean first = !spec.gang() || o.task().index() == 0;
    boolean fails = mode == Mode.FAILS || first && rules.failures(o.task()) < failures;
    boolean hangs = mode == Mode.HANGS || hangsOnce && o.run() == 1;
    Present p = new Present(o.run(), time.nowMillis(), hangs, fails, needed);
    if (!o.checkpoint().isEmpty()) {
      p.saved = o.checkpoint();
      p.work = Long.parseLong(p.saved.substring(p.saved.lastIndexOf('/') + 1));
    }
    return p;
  }

  /** Lets a task work: at once, or with all others of its gang. */
  private void begin(TaskKey t, int run) {
    StepSpec spec = rules.step(t);
    List<Present> members = new ArrayList<>();
    lives.values().forEach(l -> l.running.forEach((k, p) -> member(t, run, spec, k, p, members)));
    if (!spec.gang() || members.size() == spec.tasks()) {
      members.forEach(p -> p.begun = time.nowMillis());
    }
  }

  private static void member(
      TaskKey t, int run, StepSpec spec, TaskKey k, Present p, List<Present> members) {
    boolean same = PlatformRules.isSameStep(k, t) && p.run == run;
    if (spec.gang() ? same : k.equals(t)) {
      members.add(p);
    }
  }

  private void grant(Life l, long until) {
    long most = l.clock(time.nowMillis()) + MAX_HOLD_MILLIS;
    l.until = Math.max(l.until, Math.min(until, most));
  }

  boolean stop(String id, TaskKey task, int run, long token) {
    Life l = lives.get(id);
    advance(l);
    if (token < l.token) {
      return false;
    }
    l.token = token;
    l.barred.merge(task, run, Math::max);
    Present p = l.running.get(task);
    if (p != null && p.run <= run && !p.stopping) {
      p.stopping = true;
      time.afterMillis(
          time.random().nextInt((int) STOP_MILLIS),
          () -> {
            if (l.running.get(task) == p && lives.get(id) == l) {
              if (rules.step(task).checkpoints() && p.begun > 0 && !p.hangs) {
                save(task, p, p.work + time.nowMillis() - p.begun);
              }
              end(l, task, RunEnd.STOPPED);
            }
          });
    }
    return true;
  }

  boolean extend(String id, long token, long acked, long until) {
    Life l = lives.get(id);
    advance(l);
    if (token < l.token) {
      return true;
    }
    l.token = token;
    grant(l, until);
    for (RunnerReport.End e : List.copyOf(l.ends)) {
      if (e.number() <= acked) {
        l.ends.remove(e);
        if (e.outcome() == RunEnd.DONE && !l.lapsedEnds.contains(e.number())) {
          rules.acknowledgedDone(e.task());
        } else if (e.outcome() == RunEnd.FAILED && !l.lapsedEnds.contains(e.number())) {
          rules.acknowledgedFailed(e.task(), e.run());
        }
      }
    }
    return false;
  }

  RunnerReport list(Life l) {
    List<RunnerReport.Running> running = new ArrayList<>();
    l.running.forEach((t, p) -> running.add(new RunnerReport.Running(t, p.run, p.saved, 100, 1)));
    return new RunnerReport(l.born, l.clock(time.nowMillis()), running, l.ends);
  }
}
