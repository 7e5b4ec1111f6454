package dev.dandelionport.core.workflow;

import dev.dandelionport.core.admission.Refusal;
import dev.dandelionport.core.placement.DelayDecision;
import dev.dandelionport.core.placement.DelayDecision.Situation;
import dev.dandelionport.core.workflow.Run.Phase;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import dev.dandelionport.core.workflow.WorkflowRecord.Accepted;
import dev.dandelionport.core.workflow.WorkflowRecord.PolicyApplied;
import dev.dandelionport.core.workflow.WorkflowRecord.Removed;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * Schedules all workflows of a cell. It is deterministic and does no I/O: the caller passes in the
 * time and each event, then takes the resulting decision with {@link #takeDecision} and carries it
 * out. Not thread-safe.
 */
public final class WorkflowScheduler {

  private final CellState cell;
  private final RunLifecycle runs;
  private final AdviceTracker advice;
  private final Placement placement;
  private final RunnerReportHandler reports;
  private final StartHandler starts;
  private final Watchdog watchdog;
  private final WaitLogger waitLogger;
  private final WorkflowReplay replay;
  private final SubmissionAdmission admission;
  private final RunnerDirectory runnerDirectory;
  private final SubmissionRates submissionRates;

  /** Creates a scheduler without workflows or runners. */
  public WorkflowScheduler(WorkflowLimits limits) {
    this(limits, DelayDecision::deadlineMillis);
  }

  /** Creates a scheduler with a decision about waits for a local placement. */
  WorkflowScheduler(WorkflowLimits limits, ToLongFunction<Situation> delayDecision) {
    cell = new CellState(limits);
    HealthRecorder health = new HealthRecorder(cell);
    runs = new RunLifecycle(cell, health);
    advice = new AdviceTracker(cell);
    placement = new Placement(cell, runs, advice, delayDecision);
    advice.setPlacement(placement);
    reports = new RunnerReportHandler(cell, runs);
    starts = new StartHandler(cell, runs, reports, advice);
    watchdog = new Watchdog(cell, runs, health, placement.gangs(), advice);
    waitLogger = new WaitLogger(cell, placement, advice);
    replay = new WorkflowReplay(cell, runs);
    runnerDirectory = new RunnerDirectory(cell);
    submissionRates = new SubmissionRates(cell);
    admission = new SubmissionAdmission(cell, placement::freeFor, submissionRates);
  }

  /** Sets the time of the events that follow: the owner's monotonic clock and the wall clock. */
  public void setTime(long nowMillis, long wallMillis) {
    cell.now = Math.max(cell.now, nowMillis);
    cell.wallMillis = wallMillis;
  }

  /** Returns the time of the latest event, on the owner's monotonic clock. */
  public long nowMillis() {
    return cell.now;
  }

  /** Returns the records and effects produced since the last call. */
  public WorkflowDecision takeDecision() {
    return cell.takeDecision();
  }

  /** Applies a journal record. All records must be replayed before any other event is passed in. */
  public void replay(WorkflowRecord r) {
    replay.apply(r);
  }

  /**
   * Ends the replay. Runs that a previous owner may have started are kept until the reports of
   * their runners show what became of them.
   */
  public void finishReplay() {
    replay.finish();
    for (Workflow w : cell.workflows.values()) {
      if (w.spec.recurrence().count() > 0 && !w.state.isFinal()) {
        watchdog.addRecurring(w);
      }
    }
  }

  /** Returns the records that rebuild the current state. */
  public List<WorkflowRecord> snapshot() {
    return replay.snapshot();
  }

  /** Returns the newest version of the configuration that any owner has applied, -1 for none. */
  public long appliedPolicyVersion() {
    return cell.appliedPolicyVersion;
  }

  /**
   * Returns why a workflow is not accepted, or empty if it may be submitted. A workflow whose id is
   * known is never refused.
   */
  public Optional<Refusal> refusalOf(WorkflowSpec spec) {
    return cell.workflows.containsKey(spec.id()) ? Optional.empty() : admission.check(spec);
  }

  /** Accepts a workflow unless its id is known. Returns whether it was new. */
  public boolean submit(WorkflowSpec spec) {
    if (cell.workflows.containsKey(spec.id())) {
      return false;
    }
    boolean excess = submissionRates.recordSubmission(spec.account());
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

  /** Cancels a workflow unless it has ended. Returns whether its id is known. */
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

  /**
   * Returns the state of a workflow as callers may see it: a final state only after its record is
   * durable; empty if the id is unknown.
   */
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

  /**
   * Records that the record of a workflow's state is durable, so that callers may see the state.
   */
  public void markStateDurable(String id, WorkflowState state) {
    Workflow w = cell.workflows.get(id);
    if (w != null) {
      w.durableState = state;
    }
  }

  /**
   * Returns whether an account uses more than its fair share of what all waiting accounts use, by
   * the latest placement pass.
   */
  public boolean isOverFairShare(String account) {
    return cell.shares.isOver(account);
  }

  /** Returns the number of unfinished workflows of a queue of which no task has started. */
  public int countUnstarted(String queue) {
    int n = 0;
    for (Workflow w : cell.workflows.values()) {
      n += !w.state.isFinal() && !w.started && w.spec.queue().equals(queue) ? 1 : 0;
    }
    return n;
  }

  /**
   * Applies a configuration unless a newer one was applied before. Returns whether it is in effect.
   */
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
    cell.shares.applyPolicy();
    List<Step> steps = new ArrayList<>(cell.ready);
    cell.ready.clear();
    steps.forEach(cell::enqueue);
    steps.forEach(runs::closeIfFailed);
    return true;
  }

  /** Sets the failure domains in which no run may start. */
  public void setClosedDomains(Set<String> domains) {
    cell.closedDomains = Set.copyOf(domains);
  }

  /**
   * Replaces the list of runners. A runner that is no longer listed is kept while runs may be
   * active on it.
   */
  public void setRunners(List<RunnerDescription> list) {
    admission.setRunners(list);
    runnerDirectory.replace(list);
  }

  /** Handles the report of a runner; {@code sentMillis} is when the call was sent. */
  public void report(String runner, RunnerReport report, long sentMillis) {
    Runner r = cell.runners.get(runner);
    if (r != null) {
      reports.handle(r, report, sentMillis);
    }
  }

  /** Returns whether a runner is listed but must report to this owner before it gets work. */
  public boolean needsReport(String runner) {
    Runner r = cell.runners.get(runner);
    return r != null && r.listed && (!r.ownerConfirmed || r.mayHaveRestarted());
  }

  /**
   * Returns whether the directory lists an incarnation of a runner that may have begun after the
   * runner's latest report.
   */
  public boolean mayHaveRestarted(String runner) {
    Runner r = cell.runners.get(runner);
    return r != null && r.mayHaveRestarted();
  }

  /** Returns whether the directory currently lists a runner. */
  public boolean isListed(String runner) {
    Runner r = cell.runners.get(runner);
    return r != null && r.listed;
  }

  /** Records that calls to a runner fail. It gets no work until it reports again. */
  public void markUnresponsive(String runner) {
    Runner r = cell.runners.get(runner);
    if (r != null) {
      r.unresponsive = true;
    }
  }

  /**
   * Ends the runs on a runner that has been unresponsive for so long that their leases have
   * certainly expired.
   *
   * @param unconfirmedToo whether this is so also for runs that the runner has not confirmed
   */
  public void expireLeases(String runner, boolean unconfirmedToo) {
    Runner r = cell.runners.get(runner);
    if (r != null) {
      r.ownerConfirmed = false;
      reports.expireLeases(r, unconfirmedToo);
    }
  }

  /** Returns whether runs may be active on a runner. */
  public boolean hasRuns(String runner) {
    Runner r = cell.runners.get(runner);
    return r != null && !r.runs.isEmpty();
  }

  /** Returns the runners on which runs may be active. */
  public List<String> runnersWithRuns() {
    return cell.runners.values().stream().filter(r -> !r.runs.isEmpty()).map(Runner::id).toList();
  }

  /**
   * Returns the start order for an intended run whose record is durable. Returns nothing, and ends
   * the run as never started, if it may no longer be sent.
   */
  public Optional<StartOrder> prepareStart(TaskKey task, int run, String runner) {
    return starts.prepare(task, run, runner);
  }

  /** Handles the result of a start order. */
  public void handleStartResult(TaskKey task, int run, String runner, StartResult result) {
    starts.handleResult(task, run, runner, result);
  }

  /** Records that a runner acknowledged a stop. */
  public void handleStopAck(TaskKey task, int run, String runner) {
    Run r = cell.run(task, run, runner);
    if (r != null) {
      r.stopAckMillis = Math.max(1, cell.now);
    }
  }

  /**
   * Returns whether a report is needed to find out whether an unconfirmed run was started before
   * its stop was acknowledged.
   */
  public boolean awaitsReport(String runner) {
    Runner r = cell.runners.get(runner);
    return r != null
        && r.runs.stream().anyMatch(x -> x.phase == Phase.UNCONFIRMED && x.stopAckMillis > 0);
  }

  /**
   * Returns the most urgent advice call that is useful now and whose queue has a fixed call time of
   * at most {@code maxMillis}. Its answer, or its failure, must be passed to {@link #handleAdvice}.
   */
  public Optional<AdviceRequest> nextAdviceRequest(double maxMillis) {
    return advice.next(maxMillis);
  }

  /**
   * Handles the answer to an advice call for a step; {@code tickets} is null if the call failed.
   */
  public void handleAdvice(
      StepKey step, List<String> requested, Map<String, String> tickets, long validMillis) {
    Step s = cell.step(step);
    if (s != null) {
      advice.handleAnswer(s, requested, tickets, validMillis);
    }
  }

  /**
   * Handles what depends on time only: due occurrences, incomplete gangs, stuck runs, lost stops,
   * quarantines and advice prefetches.
   */
  public void tick() {
    watchdog.tick();
  }

  /** Runs one placement pass without a limit of starts and logs why steps wait. */
  public void place() {
    place(Integer.MAX_VALUE);
  }

  /** Runs one placement pass that ends after about {@code maxStarts} starts. */
  public void place(int maxStarts) {
    placement.runPass(maxStarts);
    waitLogger.logDueSteps();
  }

  /**
   * Returns the load of the cell. The counts of the placement passes and of the refusals cover the
   * time since the last call.
   */
  public CellLoad load() {
    return CellLoad.of(
        cell,
        placement.takeCounts(),
        placement.locality().takeCounts(),
        admission.takeRefused(),
        admission.returning());
  }

  /** Removes workflows that ended longer ago than the retention time and have no runs left. */
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
