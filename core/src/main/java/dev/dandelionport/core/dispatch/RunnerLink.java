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
  private static final long WAIT_MILLIS = 1_000;

  /** Time for a call and its answer, in milliseconds. */
  private static final long CALL_MILLIS = 400;

  /** Time after which a start counts as not answered, in milliseconds. */
  private static final long START_MILLIS = 300;

  /** Wait before a runner that did not answer is asked again, in milliseconds. */
  private static final long RETRY_MILLIS = 200;

  /** Longest wait before a runner that stays silent is asked again, in milliseconds. */
  private static final long MAX_RETRY_MILLIS = 1_000;

  /** Time for which ends wait for the journal before leases are extended all the same. */
  private static final long UNACKED_MILLIS = 1_000;

  /** Age of a report from which another life of the runner may have begun, in milliseconds. */
  private static final long FRESH_MILLIS = 300;

  /** What the link needs of its owner. */
  interface Host {
    WorkflowScheduler scheduler();

    /** Runs what the scheduler decided, and starts what fits. */
    void decided();

    /** Runs {@code action} once all records so far are durable. */
    void whenDurable(Runnable action);

    /** Returns whether the owner may still extend leases. */
    boolean mayHold();

    /** Called when the runner obeys a newer owner. */
    void fenced();

    /** Returns whether the owner no longer acts. */
    boolean isEnded();
  }

  private final DispatchContext context;
  private final Shard shard;
  private final Host host;
  private final long token;
  private Address address;

  /** The runner's clock less our steady clock, from its latest answer. */
  private long clockOffset;

  private boolean clockKnown;
  private boolean answered;
  private boolean holding;
  private boolean looking;
  private boolean silentReported;
  private long born;

  /** When the present life first answered, on the steady clock. */
  private long bornMillis;

  private long lastEnd;
  private long ackedEnd;

  /**
   * Whether the runner may not have heard of {@link #ackedEnd}. The number is named no longer than
   * needed, because another life of the runner would take it for its own ends.
   */
  private boolean ackUnheard;

  /** Whether ends were listed whose records are not durable yet. */
  private boolean endsPending;

  private final RunnerOrders orders = new RunnerOrders(this::sendStop, this::sendStart);
  private long notBeforeMillis;
  private long reportedMillis;
  private long lastSentMillis;
  private int failures;

  /** When all leases on the runner have certainly run out, on the steady clock. */
  private long lapsedAtMillis;

  RunnerLink(
      DispatchContext context,
      Shard shard,
      Host host,
      long token,
      Address address,
      long lapsedAtMillis) {
    this.context = context;
    this.shard = shard;
    this.host = host;
    this.token = token;
    this.address = address;
    this.lapsedAtMillis = lapsedAtMillis;
  }

  /** Takes over where the runner is reached; empty if that is not known. */
  void setAddress(Address a) {
    if (!a.equals(address)) {
      address = a;
      notBeforeMillis = 0;
    }
  }

  /** Returns how many orders wait for one under way to be answered. */
  int ordersWaiting() {
    return orders.waiting();
  }

  /** Returns whether a call that asks the runner is under way. */
  boolean isHolding() {
    return holding || looking;
  }

  /** Returns whether the runner has answered this owner, and its latest call. */
  boolean answers() {
    return answered && failures == 0;
  }

  private String id() {
    return address.runner();
  }

  /** Asks the runner if something is to be learnt or its leases must be extended. */
  void wake() {
    if (host.isEnded()) {
      return;
    }
    long now = context.nowMillis();
    if (now > lapsedAtMillis && failures > 0 && host.scheduler().hasRuns(id())) {
      context.report(DispatchTopic.RUNNER_LAPSED, "runner", id());
      host.scheduler().expireLeases(id());
      host.decided();
    }
    if (address.hostPort().isEmpty()) {
      failures = Math.max(1, failures);
      return;
    }
    boolean runs = host.scheduler().hasRuns(id());
    if (failures > 1 && !runs && !host.scheduler().isListed(id())) {
      // It has left; if its entry comes back it is asked again.
      return;
    }
    boolean awaits = host.scheduler().awaitsReport(id());
    boolean unknown = !answered || host.scheduler().needsReport(id());
    boolean needed = unknown || failures > 0 || endsPending || ackUnheard || awaits;
    if (!needed && !runs) {
      return;
    }
    if ((awaits || ackUnheard) && holding && !looking && now >= notBeforeMillis) {
      looking = true;
      hold(0, true);
    }
    if (holding || now < notBeforeMillis) {
      return;
    }
    if (endsPending && now - lastSentMillis < UNACKED_MILLIS) {
      return;
    }
    holding = true;
    boolean mayWait = !unknown && failures == 0 && !endsPending && !awaits;
    hold(mayWait && (!ackUnheard || isLifeFresh()) ? WAIT_MILLIS : 0, false);
  }

  /** Returns whether the runner reported lately enough that it still is the same life of it. */
  private boolean isLifeFresh() {
    return context.nowMillis() - reportedMillis < FRESH_MILLIS;
  }

  private void hold(long waitMillis, boolean look) {
    long now = context.nowMillis();
    lastSentMillis = now;
    long until = RunnerClient.NO_TIME;
    // A call that is not answered may still extend the leases, so a silent runner gets no more of
    // them: what runs there could otherwise never count as ended.
    boolean answers = clockKnown && failures == 0;
    if (answers && host.mayHold() && host.scheduler().hasRuns(id())) {
      until = until(now);
    }
    final long granted = until;
    final Address to = address;
    final long acked = ackUnheard && isLifeFresh() ? ackedEnd : 0;
    shard.runAfterUnlock(
        () ->
            context
                .runners()
                .hold(to, token, acked, granted, waitMillis, waitMillis + CALL_MILLIS)
                .whenComplete((a, e) -> shard.run(() -> held(a, e, now, acked, look))));
  }

  private long until(long now) {
    lapsedAtMillis = Math.max(lapsedAtMillis, now + context.settings().surelyLapsedMillis());
    return now + clockOffset + context.settings().holdMillis();
  }

  private void held(HoldAnswer a, Throwable e, long sent, long acked, boolean look) {
    if (look) {
      looking = false;
    } else {
      holding = false;
    }
    if (host.isEnded()) {
      return;
    }
    if (e != null) {
      failed();
      return;
    }
    if (a.fenced()) {
      host.fenced();
      return;
    }
    if (acked == ackedEnd && acked > 0) {
      ackUnheard = false;
    }
    report(a.report(), sent);
  }

  private void report(RunnerReport r, long sent) {
    if (r.incarnation() < born && (r.incarnation() == 0 || sent <= bornMillis)) {
      // An answer of an earlier life that was overtaken, or one that names no life. To a later call
      // only the present life answers, whose wall clock may have been set back.
      wake();
      return;
    }
    reportedMillis = context.nowMillis();
    if (r.incarnation() != born) {
      born = r.incarnation();
      bornMillis = reportedMillis;
      lastEnd = 0;
      ackedEnd = 0;
      ackUnheard = false;
      endsPending = false;
      // They were meant for the earlier life; the scheduler gives their runs up.
      orders.clear();
    }
    if (failures > 0 && silentReported) {
      context.report(DispatchTopic.RUNNER_BACK, "runner", id(), "failures", failures);
    }
    silentReported = false;
    failures = 0;
    notBeforeMillis = 0;
    answered = true;
    clock(r.clockMillis());
    host.scheduler().report(id(), r, sent);
    if (!r.ends().isEmpty()) {
      long last = r.ends().get(r.ends().size() - 1).number();
      lastEnd = Math.max(lastEnd, last);
      endsPending = lastEnd > ackedEnd;
    }
    host.decided();
    if (endsPending) {
      final long durable = lastEnd;
      final long life = born;
      host.whenDurable(
          () -> {
            if (life == born) {
              ackedEnd = Math.max(ackedEnd, durable);
              ackUnheard = true;
              endsPending = lastEnd > ackedEnd;
              wake();
            }
          });
    }
    wake();
  }

  private void clock(long clockMillis) {
    if (clockMillis != RunnerClient.NO_TIME) {
      clockOffset = clockMillis - context.nowMillis();
      clockKnown = true;
    }
  }

  private void failed() {
    failures++;
    long wait = Math.min(MAX_RETRY_MILLIS, RETRY_MILLIS * failures);
    notBeforeMillis = context.nowMillis() + (failures == 1 ? 0 : wait);
    if (failures == 2 && !silentReported) {
      silentReported = true;
      context.report(DispatchTopic.RUNNER_SILENT, "runner", id());
    }
    if (failures > 1) {
      host.scheduler().markUnreachable(id());
      orders.giveUpStarts();
    }
    wake();
  }

  /** Sends a start whose record is durable, unless the run may no longer start by then. */
  void start(TaskKey task, int run) {
    orders.start(task, run);
  }

  private boolean sendStart(TaskKey task, int run) {
    Optional<StartOrder> order = host.scheduler().prepareStart(task, run, id());
    if (order.isEmpty()) {
      host.decided();
      return false;
    }
    if (!clockKnown) {
      startAnswered(order.get(), StartResult.UNHEALTHY, RunnerClient.NO_TIME);
      return false;
    }
    long until = until(context.nowMillis());
    Address to = address;
    shard.runAfterUnlock(
        () ->
            context
                .runners()
                .start(to, order.get(), until, token, START_MILLIS)
                .whenComplete((a, e) -> shard.run(() -> started(order.get(), a, e))));
    return true;
  }

  private void started(StartOrder order, StartAnswer a, Throwable e) {
    orders.answered();
    if (e != null) {
      startAnswered(order, StartResult.UNKNOWN, RunnerClient.NO_TIME);
    } else {
      startAnswered(order, a.result(), a.clockMillis());
    }
  }

  private void startAnswered(StartOrder order, StartResult result, long clockMillis) {
    if (host.isEnded()) {
      return;
    }
    clock(clockMillis);
    host.scheduler().handleStartResult(order.task(), order.run(), id(), result);
    host.decided();
    if (result == StartResult.FENCED) {
      host.fenced();
    }
    wake();
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
                .stop(to, task, run, token, CALL_MILLIS)
                .whenComplete((ok, e) -> shard.run(() -> stopped(task, run, ok, e))));
  }

  private void stopped(TaskKey task, int run, Boolean ok, Throwable e) {
    orders.answered();
    if (e != null || host.isEnded()) {
      // The scheduler sends it again while the run is not known to have ended.
      return;
    }
    if (!ok) {
      host.fenced();
      return;
    }
    host.scheduler().handleStopAck(task, run, id());
    host.decided();
    wake();
  }
}
