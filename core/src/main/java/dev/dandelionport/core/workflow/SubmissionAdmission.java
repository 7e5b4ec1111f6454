package dev.dandelionport.core.workflow;

import dev.dandelionport.core.admission.Backlog;
import dev.dandelionport.core.admission.CapacityUse;
import dev.dandelionport.core.admission.Demand;
import dev.dandelionport.core.admission.FairShare;
import dev.dandelionport.core.admission.Feasibility;
import dev.dandelionport.core.admission.Feasibility.RunnerKind;
import dev.dandelionport.core.admission.Forecast;
import dev.dandelionport.core.admission.ListedRunners;
import dev.dandelionport.core.admission.Refusal;
import dev.dandelionport.core.admission.RefusalReason;
import dev.dandelionport.core.admission.Requirement;
import dev.dandelionport.core.admission.ReturnSchedule;
import dev.dandelionport.core.admission.Work;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.AdmissionLoad.Pool;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Refuses submissions of new workflows that certainly cannot be served, in cells with more work
 * than capacity or with work that fits on no runner.
 */
final class SubmissionAdmission {

  private final CellState cell;
  private final FairShare fairShare;
  private final AdmissionLoad load;
  private final ListedRunners listedRunners = new ListedRunners();
  private final ReturnSchedule returns = new ReturnSchedule();
  private int refusedSinceLoad;
  private ClusterPolicy checkedPolicy;
  private boolean hasPriorities;

  SubmissionAdmission(
      CellState cell, AdmissionLoad.FreeCapacity freeCapacity, FairShare fairShare) {
    this.cell = cell;
    this.fairShare = fairShare;
    this.load = new AdmissionLoad(cell, freeCapacity);
  }

  /** Records the runners that the directory lists. */
  void setRunners(List<RunnerDescription> list) {
    List<ListedRunners.Listed> listed = new ArrayList<>();
    for (RunnerDescription d : list) {
      RunnerKind kind = new RunnerKind(d.capacity(), d.labels());
      listed.add(new ListedRunners.Listed(d.id(), d.service(), kind));
    }
    listedRunners.update(listed, cell.now);
  }

  /** Returns the refusal of a workflow whose id is not known, or empty if it may be accepted. */
  Optional<Refusal> check(WorkflowSpec spec) {
    Queue q = cell.policy.queues().get(spec.queue());
    if (q == null || !isEnabled()) {
      return Optional.empty();
    }
    Optional<Refusal> refusal = refusal(spec, q);
    if (refusal.isPresent()) {
      refusedSinceLoad++;
      logRefused(spec, refusal.get());
    } else {
      returns.remove(caller(spec));
    }
    return refusal;
  }

  private Optional<Refusal> refusal(WorkflowSpec spec, Queue q) {
    Optional<RefusalReason> never = reasonNever(spec, q);
    if (never.isPresent()) {
      return Optional.of(new Refusal(never.get(), cell.now + ReturnSchedule.MAX_MILLIS, false));
    }
    boolean endless =
        spec.recurrence().count() > 0 || spec.steps().stream().anyMatch(StepSpec::longRunning);
    long shortMillis = cell.runTimes.shortRunMillis(spec.queue());
    if (endless || shortMillis == 0) {
      return Optional.empty();
    }
    Optional<Refusal> early = returns.earlyRefusal(caller(spec), cell.now);
    return early.isPresent() ? early : overloadRefusal(spec, q, shortMillis);
  }

  private boolean isEnabled() {
    if (checkedPolicy != cell.policy) {
      checkedPolicy = cell.policy;
      hasPriorities = cell.policy.queues().values().stream().anyMatch(q -> q.priority() > 0);
    }
    return hasPriorities && cell.limits.admissionControl();
  }

  private Optional<RefusalReason> reasonNever(WorkflowSpec spec, Queue q) {
    if (spec.recurrence().count() > 0) {
      // The pool may be a different one when an occurrence is due.
      return Optional.empty();
    }
    ResourceVector quota = load.quota(spec.account());
    for (StepSpec s : spec.steps()) {
      Requirement r =
          new Requirement(
              s.tasks(), s.size(), s.reserved(), s.gang(), s.requiredLabel(), s.maxPerRunner());
      Optional<RefusalReason> never =
          Feasibility.reasonNever(r, listedRunners.of(q.service()), quota);
      if (never.isPresent()) {
        return load.areRunnersKnown() ? never : Optional.empty();
      }
    }
    return Optional.empty();
  }

  private Optional<Refusal> overloadRefusal(WorkflowSpec spec, Queue q, long shortMillis) {
    for (StepSpec s : spec.steps()) {
      if (!s.dependencies().isEmpty()) {
        continue;
      }
      Pool pool = new Pool(q.service(), s.requiredLabel());
      CapacityUse use = load.poolUse(pool, s.reserved(), q.priority());
      CapacityUse quota = load.quotaUse(spec.account(), s.size());
      if (!use.saturated() && !quota.saturated()) {
        continue;
      }
      Optional<RefusalReason> reason =
          Forecast.reasonTooLate(
              demand(spec, q, s, shortMillis),
              use,
              quota,
              load.backlog(pool),
              load::quota,
              fairShare.isExceededBy(spec.account()));
      if (reason.isPresent()) {
        CapacityUse full = reason.get() == RefusalReason.QUOTA_FULL ? quota : use;
        return Optional.of(refuse(spec, s, reason.get(), pool, full.capacity()));
      }
    }
    return Optional.empty();
  }

  /** Returns what a workflow needs if it starts with a step. */
  private Demand demand(WorkflowSpec spec, Queue q, StepSpec first, long shortMillis) {
    double allowedMillis = q.allowanceMillis() + q.slackFactor() * spec.criticalPathMillis();
    Work work = Work.ZERO;
    for (StepSpec s : spec.steps()) {
      if (s.requiredLabel().equals(first.requiredLabel())) {
        work = work.plus(work(s, shortestMillis(s, shortMillis)));
      }
    }
    return new Demand(
        spec.account(),
        q.priority(),
        first.reserved(),
        (long) (cell.now + allowedMillis),
        (long) (cell.now + Placement.WORTHLESS_FACTOR * allowedMillis),
        shortestPathMillis(spec, first, shortMillis),
        work);
  }

  /**
   * Returns the shortest run time to expect of a step. A stated estimate below the measured run
   * times may be right for this workflow.
   */
  private static long shortestMillis(StepSpec s, long shortMillis) {
    return Math.min(shortMillis, s.estimateMillis());
  }

  private static Work work(StepSpec s, long taskMillis) {
    return Work.of(s.reserved().times(s.tasks()), taskMillis);
  }

  /** Returns the length of the longest path of steps that begins with a step. */
  private static long shortestPathMillis(WorkflowSpec spec, StepSpec first, long shortMillis) {
    long[] ends = new long[spec.steps().size()];
    long longest = 0;
    for (int i = 0; i < ends.length; i++) {
      StepSpec s = spec.steps().get(i);
      long startMillis = 0;
      for (int dependency : s.dependencies()) {
        startMillis = Math.max(startMillis, ends[dependency]);
      }
      ends[i] = s == first || startMillis > 0 ? startMillis + shortestMillis(s, shortMillis) : 0;
      longest = Math.max(longest, ends[i]);
    }
    return longest;
  }

  /** Refuses a workflow and promises it capacity of the pool, or of its account's quota. */
  private Refusal refuse(
      WorkflowSpec spec, StepSpec first, RefusalReason reason, Pool pool, ResourceVector capacity) {
    boolean quotaFull = reason == RefusalReason.QUOTA_FULL;
    Backlog backlog = load.backlog(pool);
    Work ahead = quotaFull ? backlog.typicalOf(spec.account()) : backlog.typical();
    Work own = Work.ZERO;
    for (StepSpec s : spec.steps()) {
      own = own.plus(work(s, s.estimateMillis()));
    }
    ReturnSchedule.Need need =
        new ReturnSchedule.Need(
            quotaFull ? "account " + spec.account() : pool.service() + "/" + pool.label(),
            own.millisOn(capacity, first.reserved()),
            cell.now + (long) ahead.millisOn(capacity, first.reserved()));
    return returns.refuse(caller(spec), reason, need, cell.now);
  }

  private static ReturnSchedule.Caller caller(WorkflowSpec spec) {
    return new ReturnSchedule.Caller(spec.queue(), spec.account(), spec.id());
  }

  private void logRefused(WorkflowSpec spec, Refusal r) {
    cell.log(
        Topic.REFUSED,
        "workflow",
        spec.id(),
        "queue",
        spec.queue(),
        "account",
        spec.account(),
        "why",
        r.reason().text(),
        "early",
        r.early(),
        "retryMillis",
        r.returnMillis() - cell.now,
        "returning",
        returns.size(),
        "policy",
        cell.policy.version());
  }

  /** Returns the number of refusals since the last call. */
  int takeRefused() {
    int n = refusedSinceLoad;
    refusedSinceLoad = 0;
    return n;
  }

  /** Returns the number of refused submissions that are expected to return. */
  int returning() {
    return returns.size();
  }
}
