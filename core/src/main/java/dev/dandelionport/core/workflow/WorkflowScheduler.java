package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.Run.Phase;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import dev.dandelionport.core.workflow.WorkflowRecord.Accepted;
import dev.dandelionport.core.workflow.WorkflowRecord.PolicyApplied;
import dev.dandelionport.core.workflow.WorkflowRecord.Removed;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Schedules all workflows of a cell. It is deterministic and does no I/O: whoever drives it tells
 * it what happened and the time, then takes the decision and carries it out. Not thread-safe.
 */
public final class WorkflowScheduler {

  /** Longest time for which a weight may be saved up, in seconds. */
  private static final double BURST_SECONDS = 1;

  private final CellState cell;
  private final RunLifecycle runs;
  private final AdviceTracker advice;
  private final Placement placement;
  private final RunnerReportHandler reports;
  private final StartHandler starts;
  private final Watchdog watchdog;
  private final WaitLogger waitLogger;
  private final WorkflowReplay replay;
  private final Map<String, TokenBucket> submissionRates = new HashMap<>();

  /** Creates a scheduler without workflows and runners. */
  public WorkflowScheduler(WorkflowLimits limits) {
    cell = new CellState(limits);
    runs = new RunLifecycle(cell);
    advice = new AdviceTracker(cell);
    placement = new Placement(cell, runs, advice);
    advice.setPlacement(placement);
    reports = new RunnerReportHandler(cell, runs);
    starts = new StartHandler(cell, runs, reports, advice);
    watchdog = new Watchdog(cell, runs, placement.gangs(), advice);
    waitLogger = new WaitLogger(cell, placement, advice);
    replay = new WorkflowReplay(cell, runs);
  }

  /** Sets the time of what is told next: the owner's steady clock and wall-clock time. */
  public void setTime(long nowMillis, long wallMillis) {
    cell.now = Math.max(cell.now, nowMillis);
    cell.wallMillis = wallMillis;
  }

  /** Returns the records and effects since the last call. */
  public WorkflowDecision takeDecision() {
    return cell.takeDecision();
  }

  /** Applies a fact of the journal; all of them come before anything else is told. */
  public void replay(WorkflowRecord r) {
    replay.apply(r);
  }

  /** Ends the replay; runs that former owners may have started are kept until runners tell. */
  public void finishReplay() {
    replay.finish();
    for (Workflow w : cell.workflows.values()) {
      if (w.spec.recurrence().count() > 0 && !w.state.isFinal()) {
        watchdog.addRecurring(w);
      }
    }
  }

  /** Returns the facts that rebuild the present state. */
  public List<WorkflowRecord> snapshot() {
    return replay.snapshot();
  }

  /** Returns the newest version of the configuration that an owner has acted on, -1 for none. */
  public long appliedPolicyVersion() {
    return cell.appliedPolicyVersion;
  }

  /** Accepts a workflow unless its id is known; returns whether it is new. */
  public boolean submit(WorkflowSpec spec) {
    if (cell.workflows.containsKey(spec.id())) {
      return false;
    }
    ClusterPolicy.Account a = cell.policy.accounts().get(spec.account());
    boolean excess =
        a != null
            && !submissionRates
                .computeIfAbsent(spec.account(), k -> new TokenBucket(BURST_SECONDS))
                .tryTake(a.weight(), cell.now);
    Workflow w = new Workflow(spec.withExcess(excess), cell.wallMillis, cell.now);
    cell.workflows.put(spec.id(), w);
    cell.addRecord(new Accepted(w.spec, cell.wallMillis));
    cell.addEffect(new WorkflowEffect.PublishState(spec.id(), WorkflowState.QUEUED));
    cell.log(
        Topic.ACCEPTED,
        "workflow",
        spec.id(),
        "queue",
        spec.queue(),
        "account",
        spec.account(),
        "steps",
        spec.steps().stream().map(StepSpec::summary).collect(Collectors.joining(", ")),
        "excess",
        excess,
        "policy",
        cell.policy.version());
    runs.openDueOccurrences(w);
    if (spec.recurrence().count() > 0) {
      watchdog.addRecurring(w);
    }
    return true;
  }

  /** Cancels a workflow; returns whether it is known. */
  public boolean cancel(String id) {
    Workflow w = cell.workflows.get(id);
    if (w == null) {
      return false;
    }
    if (!w.state.isFinal()) {
      runs.close(w, WorkflowState.CANCELLED);
    }
    return true;
  }

  /** Returns the state of a workflow that callers may see. */
  public Optional<WorkflowState> state(String id) {
    Workflow w = cell.workflows.get(id);
    if (w == null) {
      return Optional.empty();
    }
    return Optional.of(w.durableState.isFinal() || w.state.isFinal() ? w.durableState : w.state);
  }

  /** Returns the queue that a workflow was submitted to, if it is known. */
  public Optional<String> queueOf(String id) {
    return Optional.ofNullable(cell.workflows.get(id)).map(w -> w.spec.queue());
  }

  /** Returns the account that submitted a workflow, if it is known. */
  public Optional<String> accountOf(String id) {
    return Optional.ofNullable(cell.workflows.get(id)).map(w -> w.spec.account());
  }

  /** Notes that a state's record is durable. */
  public void markStateDurable(String id, WorkflowState state) {
    Workflow w = cell.workflows.get(id);
    if (w != null) {
      w.durableState = state;
    }
  }

  /** Returns the number of a queue's workflows of which no task has started. */
  public int countUnstarted(String queue) {
    int n = 0;
    for (Workflow w : cell.workflows.values()) {
      n += !w.state.isFinal() && !w.started && w.spec.queue().equals(queue) ? 1 : 0;
    }
    return n;
  }

  /** Puts a configuration in force unless a newer one was seen; returns whether it is in force. */
  public boolean setPolicy(ClusterPolicy policy) {
    if (policy.version() < cell.appliedPolicyVersion) {
      return false;
    }
    if (policy.version() > cell.appliedPolicyVersion) {
      cell.appliedPolicyVersion = policy.version();
      cell.addRecord(new PolicyApplied(policy.version()));
    }
    if (policy.version() == cell.policy.version()) {
      return true;
    }
    cell.policy = policy;
    List<Step> steps = new ArrayList<>(cell.ready);
    cell.ready.clear();
    steps.forEach(cell::enqueue);
    steps.forEach(runs::closeIfFailed);
    return true;
  }

  /** Sets the failure domains in which nothing may start. */
  public void setClosedDomains(Set<String> domains) {
    cell.closedDomains = Set.copyOf(domains);
  }

  /** Takes over the list of runners. */
  public void setRunners(List<RunnerDescription> list) {
    Set<String> ids = new HashSet<>();
    for (RunnerDescription d : list) {
      ids.add(d.id());
      Runner r = cell.runners.get(d.id());
      if (r == null) {
        r = new Runner(d);
        cell.runners.put(d.id(), r);
        cell.log(Topic.RUNNER_LISTED, "runner", d.id(), "domain", d.failureDomain());
      }
      if (d.draining() && !r.description.draining()) {
        cell.log(Topic.RUNNER_GONE, "runner", d.id(), "why", "draining");
      }
      r.description = d;
      r.listed = true;
    }
    for (Runner r : List.copyOf(cell.runners.values())) {
      if (!ids.contains(r.id())) {
        if (r.listed) {
          cell.log(Topic.RUNNER_GONE, "runner", r.id(), "why", "not listed");
        }
        r.listed = false;
        if (r.runs.isEmpty()) {
          cell.runners.remove(r.id());
        }
      }
    }
  }

  /** Takes over what a runner says; {@code sentMillis} is when the call was sent. */
  public void report(String runner, RunnerReport report, long sentMillis) {
    Runner r = cell.runners.get(runner);
    if (r != null) {
      reports.handle(r, report, sentMillis);
    }
  }

  /** Returns whether a listed runner must report before it gets work. */
  public boolean needsReport(String runner) {
    Runner r = cell.runners.get(runner);
    return r != null && r.listed && !r.ownerConfirmed;
  }

  /** Returns whether the directory lists a runner now. */
  public boolean isListed(String runner) {
    Runner r = cell.runners.get(runner);
    return r != null && r.listed;
  }

  /** Notes that calls to a runner fail; it gets no work until it reports again. */
  public void markUnreachable(String runner) {
    Runner r = cell.runners.get(runner);
    if (r != null) {
      r.unreachable = true;
    }
  }

  /** Ends all runs on a runner that was silent until all leases had certainly run out. */
  public void expireLeases(String runner) {
    Runner r = cell.runners.get(runner);
    if (r != null) {
      r.ownerConfirmed = false;
      reports.expireLeases(r);
    }
  }

  /** Returns whether runs may be under way on a runner. */
  public boolean hasRuns(String runner) {
    Runner r = cell.runners.get(runner);
    return r != null && !r.runs.isEmpty();
  }

  /** Returns the runners on which runs may be under way. */
  public List<String> runnersWithRuns() {
    return cell.runners.values().stream().filter(r -> !r.runs.isEmpty()).map(Runner::id).toList();
  }

  /**
   * Returns the order for an intended run whose record is durable, if it may still be sent; it is
   * given up otherwise.
   */
  public Optional<StartOrder> prepareStart(TaskKey task, int run, String runner) {
    return starts.prepare(task, run, runner);
  }

  /** Takes over the answer to a start. */
  public void handleStartResult(TaskKey task, int run, String runner, StartResult result) {
    starts.handleResult(task, run, runner, result);
  }

  /** Notes that a runner acknowledged a stop. */
  public void handleStopAck(TaskKey task, int run, String runner) {
    Run r = cell.run(task, run, runner);
    if (r != null) {
      r.stopAckMillis = Math.max(1, cell.now);
    }
  }

  /** Returns whether a report is needed to learn what became of a stopped start. */
  public boolean awaitsReport(String runner) {
    Runner r = cell.runners.get(runner);
    return r != null
        && r.runs.stream().anyMatch(x -> x.phase == Phase.UNCONFIRMED && x.stopAckMillis > 0);
  }

  /**
   * Returns the most urgent call for advice that can help now and costs at most {@code maxMillis};
   * its answer, or its failure, must be told with {@link #handleAdvice}.
   */
  public Optional<AdviceRequest> nextAdviceRequest(double maxMillis) {
    return advice.next(maxMillis);
  }

  /** Takes over advice on a step; {@code tickets} is null if the call failed. */
  public void handleAdvice(
      StepKey step, List<String> requested, Map<String, String> tickets, long validMillis) {
    Step s = cell.step(step);
    if (s != null) {
      advice.handleAnswer(s, requested, tickets, validMillis);
    }
  }

  /** Looks for what time alone brings about. */
  public void tick() {
    watchdog.tick();
  }

  /** Starts what fits. */
  public void place() {
    placement.runPass();
    waitLogger.logDueSteps();
  }

  /** Returns how busy the cell is; what passes looked at is counted since the last call. */
  public CellLoad load() {
    return CellLoad.of(cell, placement.takeCounts());
  }

  /** Forgets workflows that ended long ago. */
  public void removeExpired() {
    List<String> expired = new ArrayList<>();
    for (Workflow w : cell.workflows.values()) {
      if (w.state.isFinal()
          && cell.wallMillis - w.closedWallMillis > cell.limits.closedRetentionMillis()
          && !w.hasRuns()) {
        expired.add(w.spec.id());
      }
    }
    if (!expired.isEmpty()) {
      expired.forEach(cell.workflows::remove);
      cell.addRecord(new Removed(expired));
    }
  }
}
