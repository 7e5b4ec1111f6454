package dev.dandelionport.core.workflow;

import dev.dandelionport.core.admission.Refusal;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.placement.DelayDecision;
import dev.dandelionport.core.placement.DelayDecision.Situation;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.ClusterPolicy.Account;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Simulates a cell in virtual time: workflows arrive by queue, and instances handle one advice call
 * at a time. Times are milliseconds since the start.
 */
final class CellSimulation {

  private static final long PASS_MILLIS = 10;
  private static final long TICK_MILLIS = 50;
  private static final long REPORT_MILLIS = 250;

  /** Time until a record is durable and its start order has reached the runner. */
  private static final long START_MILLIS = 10;

  private static final long STOP_MILLIS = 100;
  private static final long CHECKPOINT_MILLIS = 2_000;

  /** Fixed call time above which an advice call is long. */
  private static final double LONG_CALL_MILLIS = 60;

  /** One in this many instances takes no long advice calls. */
  private static final int SHORT_LANE_DIVISOR = 3;

  /** Multiple of its allowed time after which a workflow earns nothing. */
  private static final double LATE_FACTOR = 3;

  /** Fraction of a runner's capacity into which every task fits. */
  private static final double USABLE_FRACTION = 0.75;

  /** Fraction of its value that a late workflow earns. */
  private static final double LATE_VALUE_FRACTION = 0.2;

  /**
   * Outcome of the workflows of a queue; {@code maxValue} and {@code earnedValue} are sums of
   * workflow values.
   */
  record Outcome(
      int submitted, int inTime, int late, int unfinished, double maxValue, double earnedValue) {
    static final Outcome NONE = new Outcome(0, 0, 0, 0, 0, 0);

    Outcome plus(Outcome o) {
      return new Outcome(
          submitted + o.submitted,
          inTime + o.inTime,
          late + o.late,
          unfinished + o.unfinished,
          maxValue + o.maxValue,
          earnedValue + o.earnedValue);
    }

    double earnedFraction() {
      return maxValue == 0 ? 1 : earnedValue / maxValue;
    }
  }

  /** Time from which the queues have run times to compare with. */
  private static final long WARM_UP_MILLIS = 10_000;

  /** An action at a time; actions at equal times run in the order in which they were added. */
  private record Event(long atMillis, long number, Runnable action) {}

  /** A workflow and its time of submission. */
  private record Submission(
      WorkflowSpec spec, QueueLoad.Sample sample, QueueLoad load, long submittedMillis) {}

  /**
   * A run on a runner; it makes progress from {@code workingSinceMillis}, which is -1 until its
   * gang is complete.
   */
  private static final class ActiveRun {
    final WorkflowEffect.Start start;
    final long workedBeforeMillis;
    long workingSinceMillis = -1;
    boolean hangs;

    ActiveRun(WorkflowEffect.Start start, long workedBeforeMillis) {
      this.start = start;
      this.workedBeforeMillis = workedBeforeMillis;
    }

    long workedMillis(long now) {
      return workedBeforeMillis + (workingSinceMillis < 0 ? 0 : now - workingSinceMillis);
    }
  }

  /**
   * Preferences for racks and the scheduler's handling of them.
   *
   * @param fraction fraction of the steps whose data is on a rack, or that are gangs for one rack
   * @param remoteFactor factor by which tasks take longer elsewhere
   * @param advice whether advice decides which runners a step may use; otherwise it may use all
   * @param decision decision about waits for a local placement
   */
  record Locality(
      double fraction, double remoteFactor, boolean advice, ToLongFunction<Situation> decision) {
    static final Locality NONE = new Locality(0, 3, true, DelayDecision::deadlineMillis);
  }

  private static final int RUNNERS_PER_RACK = 8;

  private final Locality locality;
  private final WorkflowScheduler scheduler;
  private final List<QueueLoad> loads;
  private final Random random;
  private final long seed;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
  private final Map<String, Map<TaskKey, ActiveRun>> activeRuns = new TreeMap<>();
  private final Map<String, List<RunnerReport.End>> unreportedEnds = new TreeMap<>();
  private final Map<String, Submission> submissions = new TreeMap<>();
  private final Map<String, Long> completedMillis = new HashMap<>();
  private final Map<StepKey, List<ActiveRun>> gangs = new HashMap<>();
  private final Map<String, RunnerDescription> descriptions = new TreeMap<>();
  private final CellFaults faults;

  /** What happened to the runs and runners. */
  final RunCounts counts = new RunCounts(WARM_UP_MILLIS);

  private final long[] laneFreeMillis;
  private final ResourceVector usable;
  private long sequence;
  private long now;
  private int refusals;

  /** Creates a cell of healthy runners without accounts and with steps that prefer a rack. */
  CellSimulation(
      List<QueueLoad> loads,
      int runners,
      ResourceVector capacity,
      int instances,
      long seed,
      Locality locality) {
    this(loads, List.of(), runners, capacity, instances, seed, CellFaults.NONE, locality);
  }

  /** Creates a cell of healthy runners whose workflows are submitted by accounts, if any. */
  CellSimulation(
      List<QueueLoad> loads,
      List<Account> accounts,
      int runners,
      ResourceVector capacity,
      int instances,
      long seed) {
    this(loads, accounts, runners, capacity, instances, seed, CellFaults.NONE, Locality.NONE);
  }

  /** Creates a cell with faults. */
  CellSimulation(
      List<QueueLoad> loads,
      int runners,
      ResourceVector capacity,
      int instances,
      long seed,
      CellFaults faults) {
    this(loads, List.of(), runners, capacity, instances, seed, faults, Locality.NONE);
  }

  private CellSimulation(
      List<QueueLoad> loads,
      List<Account> accounts,
      int runners,
      ResourceVector capacity,
      int instances,
      long seed,
      CellFaults faults,
      Locality locality) {
    this.locality = locality;
    scheduler =
        new WorkflowScheduler(
            new WorkflowLimits(
                3_000,
                200,
                locality.remoteFactor(),
                CHECKPOINT_MILLIS,
                1_000_000,
                true,
                true,
                !accounts.isEmpty()),
            locality.decision());
    this.loads = loads;
    this.faults = faults;
    this.seed = seed;
    random = new Random(seed);
    laneFreeMillis = new long[instances];
    Map<String, Queue> queues = new HashMap<>();
    loads.forEach(l -> queues.put(l.name(), l.queue(locality.advice())));
    usable =
        new ResourceVector(
            0,
            0,
            (long) (USABLE_FRACTION * capacity.milliCores()),
            (long) (USABLE_FRACTION * capacity.memoryMb()),
            0);
    setSchedulerTime(0);
    Map<String, Account> accountsByName = new HashMap<>();
    accounts.forEach(a -> accountsByName.put(a.name(), a));
    scheduler.setPolicy(new ClusterPolicy(1, queues, Map.of(), accountsByName));
    for (int i = 0; i < runners; i++) {
      String id = String.format("r%03d", i);
      activeRuns.put(id, new HashMap<>());
      unreportedEnds.put(id, new ArrayList<>());
      List<String> labels = List.of("kind", rackOf(id));
      descriptions.put(
          id, new RunnerDescription(id, 1, "svc", id, "fd" + i % 3, capacity, labels, false));
    }
    scheduler.setRunners(List.copyOf(descriptions.values()));
    activeRuns.keySet().forEach(this::report);
    for (String r : activeRuns.keySet()) {
      if (faults.hangs(r)) {
        counts.addFaultyRunner(r);
      }
      if (faults.flaps(r)) {
        schedule(CellFaults.FLAP_MILLIS, () -> restart(r));
      }
    }
  }

  private void restart(String runner) {
    List<ActiveRun> lost = List.copyOf(activeRuns.get(runner).values());
    lost.forEach(a -> counts.addLost());
    lost.forEach(a -> end(a, RunEnd.BROKEN));
    unreportedEnds.get(runner).clear();
    RunnerDescription d = descriptions.get(runner);
    descriptions.put(runner, WorkflowFixture.restarted(d, d.incarnation() + 1));
    scheduler.setRunners(List.copyOf(descriptions.values()));
    report(runner);
    schedule(now + CellFaults.FLAP_MILLIS, () -> restart(runner));
  }

  private void schedule(long millis, Runnable action) {
    events.add(new Event(millis, sequence++, action));
  }

  /** Adds the arrivals of a period at {@code factor} times the queues' rates. */
  void arrivals(long from, long until, double factor) {
    arrivals("", from, until, factor);
  }

  /** Adds the arrivals of an account in a period at {@code factor} times the queues' rates. */
  void arrivals(String account, long from, long until, double factor) {
    for (QueueLoad l : loads) {
      double gap = 1_000 / (l.perSecond() * factor);
      double t = from - gap * Math.log(1 - random.nextDouble());
      for (; t < until; t -= gap * Math.log(1 - random.nextDouble())) {
        String id = String.format("%016x", sequence);
        QueueLoad.Sample d = withRacks(id, sampleFitting(id, l));
        WorkflowSpec spec =
            new WorkflowSpec(id, l.name(), account, "", d.steps(), Recurrence.ONCE, false);
        submissions.put(id, new Submission(spec, d, l, (long) t));
        schedule((long) t, () -> submit(spec));
      }
    }
  }

  /** Submits a workflow unless it is refused; a refused caller returns at the time it was given. */
  private void submit(WorkflowSpec spec) {
    Optional<Refusal> refusal = scheduler.refusalOf(spec);
    if (refusal.isPresent()) {
      refusals++;
      // The scheduler's clock is offset by 1.
      schedule(refusal.get().returnMillis() - 1, () -> submit(spec));
    } else {
      scheduler.submit(spec);
    }
  }

  /** Returns the counts of local and remote placements. */
  LocalityCounts takeLocalityCounts() {
    return scheduler.load().locality();
  }

  /** Returns the number of refused submissions. */
  int refusals() {
    return refusals;
  }

  /**
   * Returns a sampled workflow of which each gang fits on its allowed runners with capacity to
   * spare.
   */
  private QueueLoad.Sample sampleFitting(String id, QueueLoad l) {
    while (true) {
      QueueLoad.Sample d = l.sample(random);
      boolean fits = true;
      for (int i = 0; i < d.steps().size(); i++) {
        StepSpec s = d.steps().get(i);
        int fittingPerRunner = s.size().countFittingIn(usable);
        int fitting = 0;
        for (String r : activeRuns.keySet()) {
          fitting += isAllowed(new StepKey(id, 0, i), r, l) ? fittingPerRunner : 0;
        }
        fits &= fittingPerRunner > 0 && (!s.gang() || s.tasks() <= fitting);
      }
      if (fits) {
        return d;
      }
    }
  }

  /** Returns the rack of a runner, whose id ends with its number. */
  private static String rackOf(String runner) {
    return "rack" + Integer.parseInt(runner.substring(1)) / RUNNERS_PER_RACK;
  }

  /** Gives some steps a data rack, or the preference for one rack if they are gangs. */
  private QueueLoad.Sample withRacks(String id, QueueLoad.Sample d) {
    List<StepSpec> steps = new ArrayList<>();
    List<String> runners = List.copyOf(activeRuns.keySet());
    for (StepSpec s : d.steps()) {
      String name = id + "rack" + steps.size();
      String rack = rackOf(runners.get((int) (uniform(name + "x") * runners.size())));
      boolean prefersRack = uniform(name) < locality.fraction();
      StepSpec preferring = s.gang() ? StepSpecs.onOneRack(s) : StepSpecs.withDataRack(s, rack);
      steps.add(prefersRack ? preferring : s);
    }
    return new QueueLoad.Sample(steps, d.workMillis());
  }

  /** Returns the factor by which a task takes longer on one of the runners of its step. */
  private double slowdown(StepSpec s, List<ActiveRun> runs) {
    Set<String> racks = new HashSet<>();
    runs.forEach(r -> racks.add(rackOf(r.start.runner())));
    boolean isLocal =
        s.gang()
            ? !s.sameRack() || racks.size() == 1
            : s.dataRack().isEmpty() || racks.contains(s.dataRack());
    return isLocal ? 1 : locality.remoteFactor();
  }

  private boolean isAllowed(StepKey step, String runner, QueueLoad l) {
    return uniform(step + runner) < l.allowedFraction();
  }

  /**
   * Runs the simulation. The owner is absent for a period and handles the events of that period
   * afterwards.
   */
  void run(long until, long absentFromMillis, long absentUntilMillis) {
    for (long t = 0; t < until; t += PASS_MILLIS) {
      if (t >= absentFromMillis && t < absentUntilMillis) {
        continue;
      }
      setSchedulerTime(t);
      while (!events.isEmpty() && events.peek().atMillis() <= t) {
        Event e = events.poll();
        now = e.atMillis();
        e.action().run();
      }
      now = t;
      pass();
    }
  }

  private void setSchedulerTime(long t) {
    // Offset by 1, because a confirmation at time 0 would count as missing.
    scheduler.setTime(1 + t, 1 + t);
  }

  private void pass() {
    for (String r : activeRuns.keySet()) {
      if (!unreportedEnds.get(r).isEmpty() || now % REPORT_MILLIS == 0) {
        report(r);
      }
    }
    if (now % TICK_MILLIS == 0) {
      scheduler.tick();
    }
    scheduler.place();
    scheduler.takeDecision().effects().forEach(this::carryOut);
    callAdvice();
  }

  private void carryOut(WorkflowEffect e) {
    if (e instanceof WorkflowEffect.LogEntry l) {
      counts.handle(l, now);
    } else if (e instanceof WorkflowEffect.Start s) {
      schedule(now + START_MILLIS, () -> start(s));
    } else if (e instanceof WorkflowEffect.Stop s) {
      schedule(now + STOP_MILLIS, () -> stop(s));
    } else if (e instanceof WorkflowEffect.PublishState s) {
      scheduler.markStateDurable(s.workflow(), s.state());
      if (s.state() == WorkflowState.COMPLETED) {
        completedMillis.put(s.workflow(), now + START_MILLIS);
      }
    }
  }

  private void callAdvice() {
    for (int i = 0; i < laneFreeMillis.length; i++) {
      double maxMillis =
          i < laneFreeMillis.length / SHORT_LANE_DIVISOR ? LONG_CALL_MILLIS : Double.MAX_VALUE;
      if (laneFreeMillis[i] <= now) {
        final int lane = i;
        scheduler.nextAdviceRequest(maxMillis).ifPresent(a -> callAdvice(lane, a));
      }
    }
  }

  private void callAdvice(int lane, AdviceRequest a) {
    Submission submission = submissions.get(a.step().workflow());
    Map<String, String> tickets = new HashMap<>();
    for (String r : a.runners()) {
      if (isAllowed(a.step(), r, submission.load())) {
        tickets.put(r, "ticket");
      }
    }
    laneFreeMillis[lane] = now + (long) Math.ceil(a.costMillis());
    long valid = submission.load().advice().validMillis();
    schedule(
        laneFreeMillis[lane], () -> scheduler.handleAdvice(a.step(), a.runners(), tickets, valid));
  }

  private void start(WorkflowEffect.Start s) {
    scheduler
        .prepareStart(s.task(), s.run(), s.runner())
        .ifPresent(
            o -> {
              ActiveRun a =
                  new ActiveRun(s, o.checkpoint().isEmpty() ? 0 : Long.parseLong(o.checkpoint()));
              a.hangs =
                  faults.hangs(s.runner())
                      && uniform(s.runner() + s.run() + s.task() + "hangs")
                          < CellFaults.HANG_FRACTION;
              counts.addStart(s, a.hangs, step(a).gang(), expectedMillis(a));
              activeRuns.get(s.runner()).put(s.task(), a);
              scheduler.handleStartResult(s.task(), s.run(), s.runner(), StartResult.PRESENT);
              handleStarted(a);
            });
  }

  private void handleStarted(ActiveRun a) {
    StepSpec step = step(a);
    if (!step.gang()) {
      // The sampled time is that of the step's longest task; the others take 70 to 100 % of it.
      double fraction = 0.7 + 0.3 * uniform(a.start.task().toString());
      startWork(a, workMillis(a) * slowdown(step, List.of(a)) * fraction);
      return;
    }
    List<ActiveRun> members = gangs.computeIfAbsent(stepKey(a), k -> new ArrayList<>());
    members.add(a);
    if (members.size() == step.tasks() && members.stream().noneMatch(m -> m.hangs)) {
      members.forEach(m -> startWork(m, workMillis(a) * slowdown(step, members)));
    }
  }

  private void startWork(ActiveRun a, double millis) {
    if (a.hangs) {
      return;
    }
    a.workingSinceMillis = now;
    schedule(now + Math.max(1, (long) millis - a.workedBeforeMillis), () -> end(a, RunEnd.DONE));
  }

  private void end(ActiveRun a, RunEnd outcome) {
    if (!activeRuns.get(a.start.runner()).remove(a.start.task(), a)) {
      return;
    }
    boolean savesCheckpoint = outcome == RunEnd.STOPPED && step(a).checkpoints();
    String checkpoint = savesCheckpoint ? Long.toString(a.workedMillis(now)) : "";
    unreportedEnds
        .get(a.start.runner())
        .add(new RunnerReport.End(++sequence, a.start.task(), a.start.run(), outcome, checkpoint));
    List<ActiveRun> members = gangs.remove(stepKey(a));
    if (members != null) {
      members.forEach(m -> end(m, outcome == RunEnd.DONE ? outcome : RunEnd.BROKEN));
    }
  }

  private void stop(WorkflowEffect.Stop s) {
    ActiveRun a = activeRuns.get(s.runner()).get(s.task());
    if (a != null && a.start.run() == s.run()) {
      end(a, RunEnd.STOPPED);
    }
  }

  private void report(String runner) {
    List<RunnerReport.Running> list = new ArrayList<>();
    for (ActiveRun a : activeRuns.get(runner).values()) {
      long savedIntervals = step(a).checkpoints() ? a.workedMillis(now) / CHECKPOINT_MILLIS : 0;
      String checkpoint =
          savedIntervals == 0 ? "" : Long.toString(savedIntervals * CHECKPOINT_MILLIS);
      list.add(new RunnerReport.Running(a.start.task(), a.start.run(), checkpoint, 100, 0));
    }
    long incarnation = descriptions.get(runner).incarnation();
    scheduler.report(
        runner, new RunnerReport(incarnation, now, list, unreportedEnds.get(runner), true), now);
    unreportedEnds.get(runner).clear();
  }

  private static StepKey stepKey(ActiveRun a) {
    TaskKey t = a.start.task();
    return new StepKey(t.workflow(), t.occurrence(), t.step());
  }

  private StepSpec step(ActiveRun a) {
    TaskKey t = a.start.task();
    return submissions.get(t.workflow()).spec().steps().get(t.step());
  }

  /** Returns the time of the run or the mean of its queue, whichever is longer. */
  private double expectedMillis(ActiveRun a) {
    QueueLoad load = submissions.get(a.start.task().workflow()).load();
    return Math.max(load.workMillis(), workMillis(a));
  }

  private double workMillis(ActiveRun a) {
    TaskKey t = a.start.task();
    double millis = submissions.get(t.workflow()).sample().workMillis().get(t.step());
    // A gang takes long as a whole, a single task by itself.
    boolean isLong = uniform((step(a).gang() ? stepKey(a) : t) + "long") < faults.longFraction();
    return millis * faults.factor(a.start.runner(), isLong);
  }

  /** Returns a number from 0 to 1 that depends only on the seed and a name. */
  private double uniform(String name) {
    // Names differ little, and generators with similar seeds start with similar numbers, hence two
    // generators.
    return new SplittableRandom(new Random(seed * 31 + name.hashCode()).nextLong()).nextDouble();
  }

  /** Returns the outcome of a queue's workflows that were submitted in a period. */
  Outcome outcome(String queue, long from, long until) {
    return sum(a -> a.load().name().equals(queue), from, until);
  }

  /** Returns the outcome of an account's workflows that were submitted in a period. */
  Outcome outcomeOfAccount(String account, long from, long until) {
    return sum(a -> a.spec().account().equals(account), from, until);
  }

  private Outcome sum(Predicate<Submission> filter, long from, long until) {
    Outcome sum = Outcome.NONE;
    for (Submission a : submissions.values()) {
      if (!filter.test(a) || a.submittedMillis() < from || a.submittedMillis() >= until) {
        continue;
      }
      double value = a.load().valueOf(a.sample());
      double allowedMillis = a.load().allowedMillis(a.sample());
      Long end = completedMillis.get(a.spec().id());
      boolean inTime = end != null && end - a.submittedMillis() <= allowedMillis;
      boolean late =
          !inTime && end != null && end - a.submittedMillis() <= LATE_FACTOR * allowedMillis;
      double earnedValue = inTime ? value : late ? LATE_VALUE_FRACTION * value : 0;
      sum =
          sum.plus(
              new Outcome(
                  1, inTime ? 1 : 0, late ? 1 : 0, end == null ? 1 : 0, value, earnedValue));
    }
    return sum;
  }
}
