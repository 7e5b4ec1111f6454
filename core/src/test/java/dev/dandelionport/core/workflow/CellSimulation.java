package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A cell of sound runners in virtual time: workflows arrive by queue, and advice comes from
 * instances that handle one call at a time. Times are milliseconds since the start.
 */
final class CellSimulation {

  private static final long PASS_MILLIS = 10;
  private static final long TICK_MILLIS = 50;
  private static final long REPORT_MILLIS = 250;

  /** Time until a record is durable and its order has reached a runner. */
  private static final long START_MILLIS = 10;

  private static final long STOP_MILLIS = 100;
  private static final long CHECKPOINT_MILLIS = 2_000;

  /** Cost from which a call for advice is long. */
  private static final double LONG_MILLIS = 60;

  /** One instance in this many takes no long calls. */
  private static final int SHORT_PART = 3;

  /** Times of its allowed time until a workflow earns nothing. */
  private static final double LATE_FACTOR = 3;

  /** Part of a runner's room in which every task fits. */
  private static final double USABLE_PART = 0.75;

  /** Part of its worth that late work earns. */
  private static final double LATE_PART = 0.2;

  /** What became of the workflows of a queue; {@code owed} and {@code earned} are worth. */
  record Outcome(int asked, int inTime, int late, int open, double owed, double earned) {
    static final Outcome NONE = new Outcome(0, 0, 0, 0, 0, 0);

    Outcome plus(Outcome o) {
      return new Outcome(
          asked + o.asked,
          inTime + o.inTime,
          late + o.late,
          open + o.open,
          owed + o.owed,
          earned + o.earned);
    }

    double part() {
      return owed == 0 ? 1 : earned / owed;
    }
  }

  /** Something that happens at a time; equal times keep their order. */
  private record Event(long at, long number, Runnable action) {}

  /** A workflow that was asked for. */
  private record Asked(WorkflowSpec spec, QueueLoad.Drawn drawn, QueueLoad load, long at) {}

  /** A run on a runner; it works from {@code since} on, which is -1 before its gang is whole. */
  private static final class Active {
    final WorkflowEffect.Start start;
    final long before;
    long since = -1;

    Active(WorkflowEffect.Start start, long before) {
      this.start = start;
      this.before = before;
    }

    long worked(long now) {
      return before + (since < 0 ? 0 : now - since);
    }
  }

  private final WorkflowScheduler scheduler =
      new WorkflowScheduler(new WorkflowLimits(3_000, 200, 3, CHECKPOINT_MILLIS, 1_000_000));
  private final List<QueueLoad> loads;
  private final Random random;
  private final long seed;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private final Map<String, Map<TaskKey, Active>> active = new TreeMap<>();
  private final Map<String, List<RunnerReport.End>> ended = new TreeMap<>();
  private final Map<String, Asked> asked = new TreeMap<>();
  private final Map<String, Long> completed = new HashMap<>();
  private final Map<StepKey, List<Active>> gangs = new HashMap<>();
  private final long[] laneFreeMillis;
  private final ResourceVector usable;
  private long number;
  private long now;

  /** Creates a cell; each of the instances takes one call for advice at a time. */
  CellSimulation(
      List<QueueLoad> loads, int runners, ResourceVector room, int instances, long seed) {
    this.loads = loads;
    this.seed = seed;
    random = new Random(seed);
    laneFreeMillis = new long[instances];
    Map<String, Queue> queues = new HashMap<>();
    loads.forEach(l -> queues.put(l.name(), l.queue()));
    usable =
        new ResourceVector(
            0,
            0,
            (long) (USABLE_PART * room.milliCores()),
            (long) (USABLE_PART * room.memoryMb()),
            0);
    tell(0);
    scheduler.setPolicy(new ClusterPolicy(1, queues, Map.of(), Map.of()));
    List<RunnerDescription> list = new ArrayList<>();
    for (int i = 0; i < runners; i++) {
      String id = String.format("r%03d", i);
      active.put(id, new HashMap<>());
      ended.put(id, new ArrayList<>());
      List<String> labels = List.of("kind", "rack" + i / 8);
      list.add(new RunnerDescription(id, 1, "svc", id, "fd" + i % 3, room, labels, false));
    }
    scheduler.setRunners(list);
    active.keySet().forEach(this::report);
  }

  private void at(long millis, Runnable action) {
    events.add(new Event(millis, number++, action));
  }

  /** Adds the arrivals of a period at {@code factor} times the usual rate. */
  void arrivals(long from, long until, double factor) {
    for (QueueLoad l : loads) {
      double gap = 1_000 / (l.perSecond() * factor);
      double t = from - gap * Math.log(1 - random.nextDouble());
      for (; t < until; t -= gap * Math.log(1 - random.nextDouble())) {
        String id = String.format("%016x", number);
        QueueLoad.Drawn d = drawFitting(id, l);
        WorkflowSpec spec =
            new WorkflowSpec(id, l.name(), "", "", d.steps(), Recurrence.ONCE, false);
        asked.put(id, new Asked(spec, d, l, (long) t));
        at((long) t, () -> scheduler.submit(spec));
      }
    }
  }

  /**
   * Returns a workflow of which each gang fits on runners that it may run on, with some to spare.
   */
  private QueueLoad.Drawn drawFitting(String id, QueueLoad l) {
    while (true) {
      QueueLoad.Drawn d = l.draw(random);
      boolean fits = true;
      for (int i = 0; i < d.steps().size(); i++) {
        StepSpec s = d.steps().get(i);
        int copies = s.size().countFittingIn(usable);
        int room = 0;
        for (String r : active.keySet()) {
          room += isAllowed(new StepKey(id, 0, i), r, l) ? copies : 0;
        }
        fits &= copies > 0 && (!s.gang() || s.tasks() <= room);
      }
      if (fits) {
        return d;
      }
    }
  }

  private boolean isAllowed(StepKey step, String runner, QueueLoad l) {
    return draw(step + runner) < l.allowed();
  }

  /** Lets time pass; the owner is away in between and then finds what has happened. */
  void run(long until, long away, long back) {
    for (long t = 0; t < until; t += PASS_MILLIS) {
      if (t >= away && t < back) {
        continue;
      }
      tell(t);
      while (!events.isEmpty() && events.peek().at() <= t) {
        Event e = events.poll();
        now = e.at();
        e.action().run();
      }
      now = t;
      pass();
    }
  }

  private void tell(long t) {
    // Runs that were confirmed at time 0 would count as not confirmed.
    scheduler.at(1 + t, 1 + t);
  }

  private void pass() {
    for (String r : active.keySet()) {
      if (!ended.get(r).isEmpty() || now % REPORT_MILLIS == 0) {
        report(r);
      }
    }
    if (now % TICK_MILLIS == 0) {
      scheduler.tick();
    }
    scheduler.place();
    scheduler.takeDecision().effects().forEach(this::carryOut);
    ask();
  }

  private void carryOut(WorkflowEffect e) {
    if (e instanceof WorkflowEffect.Start s) {
      at(now + START_MILLIS, () -> start(s));
    } else if (e instanceof WorkflowEffect.Stop s) {
      at(now + STOP_MILLIS, () -> stop(s));
    } else if (e instanceof WorkflowEffect.Show s) {
      scheduler.shown(s.workflow(), s.state());
      if (s.state() == WorkflowState.COMPLETED) {
        completed.put(s.workflow(), now + START_MILLIS);
      }
    }
  }

  private void ask() {
    for (int i = 0; i < laneFreeMillis.length; i++) {
      double most = i < laneFreeMillis.length / SHORT_PART ? LONG_MILLIS : Double.MAX_VALUE;
      if (laneFreeMillis[i] <= now) {
        final int lane = i;
        scheduler.nextAsk(most).ifPresent(a -> ask(lane, a));
      }
    }
  }

  private void ask(int lane, AdviceRequest a) {
    Asked w = asked.get(a.step().workflow());
    Map<String, String> tickets = new HashMap<>();
    for (String r : a.runners()) {
      if (isAllowed(a.step(), r, w.load())) {
        tickets.put(r, "ticket");
      }
    }
    laneFreeMillis[lane] = now + (long) Math.ceil(a.costMillis());
    long valid = w.load().advice().validMillis();
    at(laneFreeMillis[lane], () -> scheduler.advised(a.step(), a.runners(), tickets, valid));
  }

  private void start(WorkflowEffect.Start s) {
    scheduler
        .mayStillStart(s.task(), s.run(), s.runner())
        .ifPresent(
            o -> {
              Active a =
                  new Active(s, o.checkpoint().isEmpty() ? 0 : Long.parseLong(o.checkpoint()));
              active.get(s.runner()).put(s.task(), a);
              scheduler.startAnswered(s.task(), s.run(), s.runner(), StartResult.PRESENT);
              began(a);
            });
  }

  private void began(Active a) {
    StepSpec step = step(a);
    if (!step.gang()) {
      // The longest task of a step decides its part of the chain.
      work(a, workMillis(a) * (0.7 + 0.3 * draw(a.start.task().toString())));
      return;
    }
    List<Active> members = gangs.computeIfAbsent(stepKey(a), k -> new ArrayList<>());
    members.add(a);
    if (members.size() == step.tasks()) {
      members.forEach(m -> work(m, workMillis(a)));
    }
  }

  private void work(Active a, double millis) {
    a.since = now;
    at(now + Math.max(1, (long) millis - a.before), () -> end(a, RunEnd.DONE));
  }

  private void end(Active a, RunEnd how) {
    if (!active.get(a.start.runner()).remove(a.start.task(), a)) {
      return;
    }
    boolean saved = how == RunEnd.STOPPED && step(a).checkpoints();
    String checkpoint = saved ? Long.toString(a.worked(now)) : "";
    ended
        .get(a.start.runner())
        .add(new RunnerReport.End(++number, a.start.task(), a.start.run(), how, checkpoint));
    List<Active> members = gangs.remove(stepKey(a));
    if (members != null) {
      members.forEach(m -> end(m, how == RunEnd.DONE ? how : RunEnd.BROKEN));
    }
  }

  private void stop(WorkflowEffect.Stop s) {
    Active a = active.get(s.runner()).get(s.task());
    if (a != null && a.start.run() == s.run()) {
      end(a, RunEnd.STOPPED);
    }
  }

  private void report(String runner) {
    List<RunnerReport.Running> list = new ArrayList<>();
    for (Active a : active.get(runner).values()) {
      long saved = step(a).checkpoints() ? a.worked(now) / CHECKPOINT_MILLIS : 0;
      String checkpoint = saved == 0 ? "" : Long.toString(saved * CHECKPOINT_MILLIS);
      list.add(new RunnerReport.Running(a.start.task(), a.start.run(), checkpoint, 100, 0));
    }
    scheduler.report(runner, new RunnerReport(1, now, list, ended.get(runner)), now);
    ended.get(runner).clear();
  }

  private static StepKey stepKey(Active a) {
    TaskKey t = a.start.task();
    return new StepKey(t.workflow(), t.occurrence(), t.step());
  }

  private StepSpec step(Active a) {
    TaskKey t = a.start.task();
    return asked.get(t.workflow()).spec().steps().get(t.step());
  }

  private double workMillis(Active a) {
    TaskKey t = a.start.task();
    return asked.get(t.workflow()).drawn().workMillis().get(t.step());
  }

  /** Returns a number from 0 to 1 that only depends on the seed and a name. */
  private double draw(String name) {
    // Names differ by little, and generators with similar seeds begin with similar numbers.
    return new SplittableRandom(new Random(seed * 31 + name.hashCode()).nextLong()).nextDouble();
  }

  /** Returns what became of a queue's workflows that were asked for in a period. */
  Outcome outcome(String queue, long from, long until) {
    Outcome sum = Outcome.NONE;
    for (Asked a : asked.values()) {
      if (!a.load().name().equals(queue) || a.at() < from || a.at() >= until) {
        continue;
      }
      double worth = a.load().worth(a.drawn());
      double allowed = a.load().allowedMillis(a.drawn());
      Long end = completed.get(a.spec().id());
      boolean inTime = end != null && end - a.at() <= allowed;
      boolean late = !inTime && end != null && end - a.at() <= LATE_FACTOR * allowed;
      double earned = inTime ? worth : late ? LATE_PART * worth : 0;
      sum =
          sum.plus(
              new Outcome(1, inTime ? 1 : 0, late ? 1 : 0, end == null ? 1 : 0, worth, earned));
    }
    return sum;
  }
}
