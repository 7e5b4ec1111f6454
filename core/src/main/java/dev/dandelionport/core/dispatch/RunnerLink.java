package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.port.RunnerClient;
import dev.dandelionport.core.port.RunnerClient.Address;
import dev.dandelionport.core.port.RunnerClient.HoldAnswer;
import dev.dandelionport.core.port.RunnerClient.StartAnswer;
import dev.dandelionport.core.workflow.RunnerReport;
import dev.dandelionport.core.workflow.StartOrder;
import dev.dandelionport.core.workflow.StartResult;
import dev.dandelionport.core.workflow.TaskKey;
import dev.dandelionport.core.workflow.WorkflowScheduler;
import java.util.Optional;

/**
 * Talks to one runner: keeps a hold waiting there while something runs on it, gives orders, and
 * knows until when leases can hold. Guarded by the owner's shard.
 */
final class RunnerLink {

  /** Time that a hold waits for an end, in milliseconds. */
  private static final long HOLD_WAIT_MILLIS = 1_000;

  /** Time for a call and its answer, in milliseconds. */
  private static final long CALL_TIMEOUT_MILLIS = 400;

  /** Time after which a start counts as not answered, in milliseconds. */
  private static final long START_TIMEOUT_MILLIS = 300;

  /** Wait before a runner that did not answer is asked again, in milliseconds. */
  private static final long RETRY_MILLIS = 200;

  /** Longest wait before a runner that stays silent is asked again, in milliseconds. */
  private static final long MAX_RETRY_MILLIS = 1_000;

  /** Time for which ends wait for the journal before leases are extended all the same. */
  private static final long MAX_UNACKED_MILLIS = 1_000;

  /** Age of a report from which another life of the runner may have begun, in milliseconds. */
  private static final long REPORT_FRESH_MILLIS = 300;

  /** What the link needs of its owner. */
  interface LinkOwner {
    WorkflowScheduler scheduler();

    /** Runs what the scheduler decided, and starts what fits. */
    void applyDecisions();

    /** Runs {@code action} once all records so far are durable. */
    void whenDurable(Runnable action);

    /** Returns whether the owner may still extend leases. */
    boolean mayExtendLeases();

    /** Called when the runner obeys a newer owner. */
    void fencedOff();

    /** Returns whether the owner no longer acts. */
    boolean isClosed();
  }

  private final DispatchContext context;
  private final Shard shard;
  private final LinkOwner owner;
  private final long token;
  private Address address;

  /** The runner's clock less our steady clock, from its latest answer. */
  private long clockOffset;

  private boolean clockKnown;
  private boolean answered;
  private boolean holdPending;
  private boolean statusCallPending;
  private boolean silentReported;
  private long incarnation;

  /** When the present life first answered, on the steady clock. */
  private long incarnationSeenMillis;

  private long lastEndNumber;
  private long durableEndNumber;

  /**
   * Whether the runner may not have heard of {@link #durableEndNumber}. The number is named no
   * longer than needed, because another life of the runner would take it for its own ends.
   */
  private boolean ackPending;

  /** Whether ends were listed whose records are not durable yet. */
  private boolean endsNotDurable;

  private final RunnerOrders orders = new RunnerOrders(this::sendStop, this::sendStart);
  private long nextCallMillis;
  private long lastReportMillis;
  private long lastSentMillis;
  private int failures;

  /** When all leases on the runner have certainly run out, on the steady clock. */
  private long leasesExpireMillis;

  RunnerLink(
      DispatchContext context,
      Shard shard,
      LinkOwner host,
      long token,
      Address address,
      long lapsedAtMillis) {
    this.context = context;
    this.shard = shard;
    this.owner = host;
    this.token = token;
    this.address = address;
    this.leasesExpireMillis = lapsedAtMillis;
  }

  /** Takes over where the runner is reached; empty if that is not known. */
  void setAddress(Address a) {
    if (!a.equals(address)) {
      address = a;
      nextCallMillis = 0;
    }
  }

  /** Returns how many orders wait for one under way to be answered. */
  int ordersWaiting() {
    return orders.waiting();
  }

  /** Returns whether a call that asks the runner is under way. */
  boolean isCallPending() {
    return holdPending || statusCallPending;
  }

  /** Returns whether the runner has answered this owner, and its latest call. */
  boolean isResponsive() {
    return answered && failures == 0;
  }

  private String runnerId() {
    return address.runner();
  }

  /** Asks the runner if something is to be learnt or its leases must be extended. */
  void callIfNeeded() {
    if (owner.isClosed()) {
      return;
    }
    long now = context.nowMillis();
    if (now > leasesExpireMillis && failures > 0 && owner.scheduler().hasRuns(runnerId())) {
      context.report(DispatchTopic.RUNNER_LEASES_EXPIRED, "runner", runnerId());
      owner.scheduler().expireLeases(runnerId());
      owner.applyDecisions();
    }
    if (address.hostPort().isEmpty()) {
      failures = Math.max(1, failures);
      return;
    }
    boolean runs = owner.scheduler().hasRuns(runnerId());
    if (failures > 1 && !runs && !owner.scheduler().isListed(runnerId())) {
      // It has left; if its entry comes back it is asked again.
      return;
    }
    boolean awaits = owner.scheduler().awaitsReport(runnerId());
    boolean unknown = !answered || owner.scheduler().needsReport(runnerId());
    boolean needed = unknown || failures > 0 || endsNotDurable || ackPending || awaits;
    if (!needed && !runs) {
      return;
    }
    if ((awaits || ackPending) && holdPending && !statusCallPending && now >= nextCallMillis) {
      statusCallPending = true;
      sendHold(0, true);
    }
    if (holdPending || now < nextCallMillis) {
      return;
    }
    if (endsNotDurable && now - lastSentMillis < MAX_UNACKED_MILLIS) {
      return;
    }
    holdPending = true;
    boolean mayWait = !unknown && failures == 0 && !endsNotDurable && !awaits;
    sendHold(mayWait && (!ackPending || isIncarnationConfirmed()) ? HOLD_WAIT_MILLIS : 0, false);
  }

  /** Returns whether the runner reported lately enough that it still is the same life of it. */
  private boolean isIncarnationConfirmed() {
    return context.nowMillis() - lastReportMillis < REPORT_FRESH_MILLIS;
  }

  private void sendHold(long waitMillis, boolean look) {
    long now = context.nowMillis();
    lastSentMillis = now;
    long until = RunnerClient.NO_TIME;
    // A call that is not answered may still extend the leases, so a silent runner gets no more of
    // them: what runs there could otherwise never count as ended.
    boolean answers = clockKnown && failures == 0;
    if (answers && owner.mayExtendLeases() && owner.scheduler().hasRuns(runnerId())) {
      until = extendLeases(now);
    }
    final long granted = until;
    final Address to = address;
    final long acked = ackPending && isIncarnationConfirmed() ? durableEndNumber : 0;
    shard.runAfterUnlock(
        () ->
            context
                .runners()
                .hold(to, token, acked, granted, waitMillis, waitMillis + CALL_TIMEOUT_MILLIS)
                .whenComplete((a, e) -> shard.run(() -> holdCompleted(a, e, now, acked, look))));
  }

  private long extendLeases(long now) {
    leasesExpireMillis = Math.max(leasesExpireMillis, now + context.settings().maxLeaseMillis());
    return now + clockOffset + context.settings().runnerLeaseMillis();
  }

  private void holdCompleted(HoldAnswer a, Throwable e, long sent, long acked, boolean look) {
    if (look) {
      statusCallPending = false;
    } else {
      holdPending = false;
    }
    if (owner.isClosed()) {
      return;
    }
    if (e != null) {
      callFailed();
      return;
    }
    if (a.fenced()) {
      owner.fencedOff();
      return;
    }
    if (acked == durableEndNumber && acked > 0) {
      ackPending = false;
    }
    handleReport(a.report(), sent);
  }

  private void handleReport(RunnerReport r, long sent) {
    if (r.incarnation() < incarnation && (r.incarnation() == 0 || sent <= incarnationSeenMillis)) {
      // An answer of an earlier life that was overtaken, or one that names no life. To a later call
      // only the present life answers, whose wall clock may have been set back.
      callIfNeeded();
      return;
    }
    lastReportMillis = context.nowMillis();
    if (r.incarnation() != incarnation) {
      incarnation = r.incarnation();
      incarnationSeenMillis = lastReportMillis;
      lastEndNumber = 0;
      durableEndNumber = 0;
      ackPending = false;
      endsNotDurable = false;
      // They were meant for the earlier life; the scheduler gives their runs up.
      orders.clear();
    }
    if (failures > 0 && silentReported) {
      context.report(
          DispatchTopic.RUNNER_ANSWERED_AGAIN, "runner", runnerId(), "failures", failures);
    }
    silentReported = false;
    failures = 0;
    nextCallMillis = 0;
    answered = true;
    updateClockOffset(r.clockMillis());
    owner.scheduler().report(runnerId(), r, sent);
    if (!r.ends().isEmpty()) {
      long last = r.ends().get(r.ends().size() - 1).number();
      lastEndNumber = Math.max(lastEndNumber, last);
      endsNotDurable = lastEndNumber > durableEndNumber;
    }
    owner.applyDecisions();
    if (endsNotDurable) {
      final long durable = lastEndNumber;
      final long life = incarnation;
      owner.whenDurable(
          () -> {
            if (life == incarnation) {
              durableEndNumber = Math.max(durableEndNumber, durable);
              ackPending = true;
              endsNotDurable = lastEndNumber > durableEndNumber;
              callIfNeeded();
            }
          });
    }
    callIfNeeded();
  }

  private void updateClockOffset(long clockMillis) {
    if (clockMillis != RunnerClient.NO_TIME) {
      clockOffset = clockMillis - context.nowMillis();
      clockKnown = true;
    }
  }

  private void callFailed() {
    failures++;
    long wait = Math.min(MAX_RETRY_MILLIS, RETRY_MILLIS * failures);
    nextCallMillis = context.nowMillis() + (failures == 1 ? 0 : wait);
    if (failures == 2 && !silentReported) {
      silentReported = true;
      context.report(DispatchTopic.RUNNER_SILENT, "runner", runnerId());
    }
    if (failures > 1) {
      owner.scheduler().markUnreachable(runnerId());
      orders.rejectWaitingStarts();
    }
    callIfNeeded();
  }

  /** Sends a start whose record is durable, unless the run may no longer start by then. */
  void start(TaskKey task, int run) {
    orders.start(task, run);
  }

  private boolean sendStart(TaskKey task, int run) {
    Optional<StartOrder> order = owner.scheduler().prepareStart(task, run, runnerId());
    if (order.isEmpty()) {
      owner.applyDecisions();
      return false;
    }
    if (!clockKnown) {
      handleStartResult(order.get(), StartResult.UNHEALTHY, RunnerClient.NO_TIME);
      return false;
    }
    long until = extendLeases(context.nowMillis());
    Address to = address;
    shard.runAfterUnlock(
        () ->
            context
                .runners()
                .start(to, order.get(), until, token, START_TIMEOUT_MILLIS)
                .whenComplete((a, e) -> shard.run(() -> startCompleted(order.get(), a, e))));
    return true;
  }

  private void startCompleted(StartOrder order, StartAnswer a, Throwable e) {
    orders.orderCompleted();
    if (e != null) {
      handleStartResult(order, StartResult.UNKNOWN, RunnerClient.NO_TIME);
    } else {
      handleStartResult(order, a.result(), a.clockMillis());
    }
  }

  private void handleStartResult(StartOrder order, StartResult result, long clockMillis) {
    if (owner.isClosed()) {
      return;
    }
    updateClockOffset(clockMillis);
    owner.scheduler().handleStartResult(order.task(), order.run(), runnerId(), result);
    owner.applyDecisions();
    if (result == StartResult.FENCED) {
      owner.fencedOff();
    }
    callIfNeeded();
  }

  /** Sends a stop, before starts that wait, unless one for the run waits already. */
  void stop(TaskKey task, int run) {
    if (address.hostPort().isEmpty()) {
      return;
    }
    orders.stop(task, run);
  }

  private void sendStop(TaskKey task, int run) {
    Address to = address;
    shard.runAfterUnlock(
        () ->
            context
                .runners()
                .stop(to, task, run, token, CALL_TIMEOUT_MILLIS)
                .whenComplete((ok, e) -> shard.run(() -> stopCompleted(task, run, ok, e))));
  }

  private void stopCompleted(TaskKey task, int run, Boolean ok, Throwable e) {
    orders.orderCompleted();
    if (e != null || owner.isClosed()) {
      // The scheduler sends it again while the run is not known to have ended.
      return;
    }
    if (!ok) {
      owner.fencedOff();
      return;
    }
    owner.scheduler().handleStopAck(task, run, runnerId());
    owner.applyDecisions();
    callIfNeeded();
  }
}
