package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.dispatch.RunnerLeases.Expiry;
import dev.dandelionport.core.dispatch.RunnerLeases.Grant;
import dev.dandelionport.core.port.RunnerClient;
import dev.dandelionport.core.port.RunnerClient.Address;
import dev.dandelionport.core.port.RunnerClient.HoldAnswer;
import dev.dandelionport.core.workflow.RunnerReport;
import dev.dandelionport.core.workflow.TaskKey;

/**
 * Connection of the owner to one runner. While tasks run there, it keeps a hold call pending, which
 * extends the runner's leases and returns ended runs. It also sends start and stop orders and
 * tracks the latest time at which the leases can expire. Guarded by the owner's shard.
 */
final class RunnerLink {

  /** Time for which a hold call waits at the runner for a run to end, in milliseconds. */
  private static final long HOLD_WAIT_MILLIS = 1_000;

  /** Timeout of a call and its answer, in milliseconds. */
  private static final long CALL_TIMEOUT_MILLIS = 400;

  /**
   * Delay before a runner that did not answer is called again, in milliseconds; grows with each
   * failure.
   */
  private static final long RETRY_MILLIS = 200;

  /** Longest delay before an unresponsive runner is called again, in milliseconds. */
  private static final long MAX_RETRY_MILLIS = 1_000;

  /**
   * Time for which ends may wait for the journal before leases are extended without their
   * acknowledgement, in milliseconds.
   */
  private static final long MAX_ACK_WAIT_MILLIS = 1_000;

  /** Age of a report from which the runner may have restarted since, in milliseconds. */
  private static final long MAX_REPORT_AGE_MILLIS = 300;

  private final DispatchContext context;
  private final Shard shard;
  private final LinkOwner owner;
  private final long token;

  /** Address of the runner; its host and port are empty if they are not known. */
  private Address address;

  /** Incarnation that the directory lists; 0 for none. */
  private long listedIncarnation;

  private final RunnerLeases leases;
  private boolean answered;
  private boolean holdPending;

  /** Whether the pending hold call is counted by the owner's limiter of first calls. */
  private boolean contacting;

  private boolean statusCallPending;
  private boolean unresponsiveReported;
  private final ReportedIncarnation incarnation = new ReportedIncarnation();

  private final EndAcknowledgement ends = new EndAcknowledgement();
  private final RunnerOrders orders;
  private final CallLimiter.Sender contact = this::callIfNeeded;
  private long nextCallMillis;

  /** Time from which the age of the latest report counts, on the monotonic clock. */
  private long lastReportMillis;

  /** Whether the latest report was read so late that the runner may have restarted meanwhile. */
  private boolean reportReadLate;

  /** Number of the runner's clock in its latest report. */
  private long reportedClockNumber;

  private long lastSentMillis;
  private int failures;

  RunnerLink(
      DispatchContext context,
      Shard shard,
      LinkOwner owner,
      long token,
      Address address,
      long leasesExpireMillis) {
    this.context = context;
    this.shard = shard;
    this.owner = owner;
    this.token = token;
    this.address = address;
    this.leases = new RunnerLeases(context, leasesExpireMillis);
    this.orders =
        new OrderSender(
                context, shard, owner, token, leases, () -> this.address, this::callIfNeeded)
            .newQueue(this::mayStart);
  }

  /**
   * Sets the address of the listed incarnation. Failed calls to another address or incarnation do
   * not delay the next call.
   */
  void setEntry(Address a, long listedIncarnation) {
    if (!a.equals(address) || listedIncarnation != this.listedIncarnation) {
      address = a;
      this.listedIncarnation = listedIncarnation;
      nextCallMillis = 0;
    }
  }

  /** Returns how many orders wait for an order in flight to complete. */
  int ordersWaiting() {
    return orders.waiting();
  }

  /** Returns whether a hold call to the runner is in flight. */
  boolean isCallPending() {
    return holdPending || statusCallPending;
  }

  /** Returns whether the runner has answered this owner at least once and also its latest call. */
  boolean isResponsive() {
    return answered && failures == 0;
  }

  private String runnerId() {
    return address.runner();
  }

  /**
   * Sends orders that waited for the owner's lease, and a hold call if the runner's state is not
   * known, an acknowledgement is due or its leases must be extended.
   */
  void callIfNeeded() {
    if (owner.isClosed()) {
      return;
    }
    orders.sendWaiting();
    endExpiredRuns();
    if (address.hostPort().isEmpty()) {
      failures = Math.max(1, failures);
      return;
    }
    boolean hasRuns = owner.scheduler().hasRuns(runnerId());
    if (failures > 1 && !hasRuns && !owner.scheduler().isListed(runnerId())) {
      // The runner has left the cluster; it is called again if its entry returns.
      return;
    }
    boolean awaitsReport = owner.scheduler().awaitsReport(runnerId());
    boolean reportOutdated =
        hasRestartedSinceReport()
            || awaitsClock()
            || owner.scheduler().mayHaveRestarted(runnerId());
    boolean stateUnknown = !answered || reportOutdated || owner.scheduler().needsReport(runnerId());
    boolean callNeeded =
        stateUnknown || failures > 0 || ends.awaitsJournal() || ends.isDue() || awaitsReport;
    if (!callNeeded && !hasRuns) {
      return;
    }
    long now = context.nowMillis();
    if ((awaitsReport || ends.isDue() || reportOutdated)
        && holdPending
        && !statusCallPending
        && now >= nextCallMillis) {
      statusCallPending = true;
      sendHold(0, true);
    }
    if (holdPending || now < nextCallMillis) {
      return;
    }
    if (ends.awaitsJournal() && now - lastSentMillis < MAX_ACK_WAIT_MILLIS) {
      return;
    }
    if (!answered) {
      if (!owner.firstCalls().admits(contact, hasRuns)) {
        return;
      }
      owner.firstCalls().sent();
      contacting = true;
    }
    holdPending = true;
    boolean mayWait =
        !stateUnknown
            && !leases.isClockOutdated()
            && failures == 0
            && !ends.awaitsJournal()
            && !awaitsReport;
    sendHold(mayWait && (!ends.isDue() || isIncarnationConfirmed()) ? HOLD_WAIT_MILLIS : 0, false);
  }

  /** Ends the runs on an unresponsive runner once all leases on it have expired. */
  private void endExpiredRuns() {
    if (failures == 0 || !owner.scheduler().hasRuns(runnerId())) {
      return;
    }
    Expiry expired = leases.takeExpiry();
    if (expired != Expiry.NONE) {
      // Starts that are still queued have no lease; they are rejected or extend the leases again.
      boolean all = expired == Expiry.ALL_RUNS;
      context.report(
          DispatchTopic.RUNNER_LEASES_EXPIRED, "runner", runnerId(), "unconfirmedToo", all);
      owner.scheduler().expireLeases(runnerId(), all);
      owner.applyDecisions();
    }
  }

  /** Returns whether the latest report is so recent that the runner cannot have restarted since. */
  private boolean isIncarnationConfirmed() {
    return context.nowMillis() - lastReportMillis < MAX_REPORT_AGE_MILLIS
        && !hasRestartedSinceReport()
        && !leases.isClockOutdated();
  }

  /** Returns whether the runner has shown another clock than that of its latest report. */
  private boolean hasRestartedSinceReport() {
    return answered && leases.clockNumber() != reportedClockNumber;
  }

  private void sendHold(long waitMillis, boolean statusOnly) {
    long now = context.nowMillis();
    lastSentMillis = now;
    Grant newGrant = RunnerLeases.NO_GRANT;
    // A call without an answer may still extend the leases. An unresponsive runner therefore gets
    // no extension: otherwise its runs could never be considered ended. A runner whose clock is
    // outdated gets none either: for a new incarnation, the time may be far ahead.
    boolean responsive = leases.isClockKnown() && !leases.isClockOutdated() && failures == 0;
    if (responsive && owner.mayExtendLeases() && owner.scheduler().hasRuns(runnerId())) {
      newGrant = leases.extend();
    }
    final Grant grant = newGrant;
    final Address to = address;
    final long acked = isIncarnationConfirmed() ? ends.numberToSend() : 0;
    shard.runAfterUnlock(
        () ->
            context
                .runners()
                .hold(
                    to,
                    token,
                    acked,
                    grant.untilMillis(),
                    waitMillis,
                    waitMillis + CALL_TIMEOUT_MILLIS)
                .whenComplete(
                    (a, e) ->
                        shard.run(
                            () -> {
                              leases.completed(grant, runnerId(), clockOf(a));
                              holdCompleted(a, e, now, acked, statusOnly);
                            })));
  }

  private static long clockOf(HoldAnswer a) {
    return a == null || a.fenced() ? RunnerClient.NO_TIME : a.report().clockMillis();
  }

  private void holdCompleted(
      HoldAnswer a, Throwable e, long sentMillis, long acked, boolean statusOnly) {
    if (statusOnly) {
      statusCallPending = false;
    } else {
      holdPending = false;
    }
    if (owner.isClosed()) {
      return;
    }
    if (contacting && !statusOnly) {
      contacting = false;
      owner.firstCalls().completed(sentMillis, context.nowMillis(), e == null);
    }
    if (e != null) {
      callFailed();
      return;
    }
    if (a.fenced()) {
      owner.onFenced();
      return;
    }
    if (a.report().incarnation() == incarnation.current()) {
      ends.acknowledged(acked);
    }
    handleReport(a.report(), sentMillis);
  }

  private void handleReport(RunnerReport r, long sentMillis) {
    if (incarnation.isOutdated(r.incarnation(), sentMillis)) {
      callIfNeeded();
      return;
    }
    if (incarnation.record(r.incarnation(), context.nowMillis())) {
      ends.reset();
      leases.forgetClock();
      // The waiting orders are for the earlier incarnation, whose runs end with a complete report.
      orders.clear();
    }
    if (failures > 0 && unresponsiveReported) {
      context.report(
          DispatchTopic.RUNNER_ANSWERED_AGAIN, "runner", runnerId(), "failures", failures);
    }
    unresponsiveReported = false;
    failures = 0;
    nextCallMillis = 0;
    answered = true;
    recordReportTime(leases.updateClock(r.clockMillis(), sentMillis));
    reportedClockNumber = leases.clockNumber();
    owner.scheduler().report(runnerId(), r, sentMillis);
    if (!r.ends().isEmpty()) {
      ends.reported(r.ends().get(r.ends().size() - 1).number());
    }
    owner.applyDecisions();
    if (ends.awaitsJournal()) {
      final long endNumber = ends.reportedNumber();
      final long reportedIncarnation = incarnation.current();
      owner.whenDurable(
          () -> {
            if (reportedIncarnation == incarnation.current()) {
              ends.durable(endNumber);
              callIfNeeded();
            }
          });
    }
    callIfNeeded();
  }

  /**
   * Records when the runner sent its report, {@code takenMillis} at the earliest. Of two reports in
   * a row that were read late, the second counts as recent: the process is slow then and not just
   * resumed, and would acknowledge nothing otherwise.
   */
  private void recordReportTime(long takenMillis) {
    long now = context.nowMillis();
    boolean late = now - takenMillis >= MAX_REPORT_AGE_MILLIS;
    lastReportMillis = late && !reportReadLate ? takenMillis : now;
    reportReadLate = late;
  }

  private void callFailed() {
    failures++;
    long delayMillis = Math.min(MAX_RETRY_MILLIS, RETRY_MILLIS * failures);
    nextCallMillis = context.nowMillis() + (failures == 1 ? 0 : delayMillis);
    if (failures == 2 && !unresponsiveReported) {
      unresponsiveReported = true;
      context.report(DispatchTopic.RUNNER_SILENT, "runner", runnerId());
    }
    if (failures > 1) {
      owner.scheduler().markUnresponsive(runnerId());
      orders.rejectWaitingStarts();
    }
    callIfNeeded();
  }

  /**
   * Sends a start order whose record is durable, unless the run may no longer start when its turn
   * comes.
   */
  void start(TaskKey task, int run) {
    orders.start(task, run);
    if (awaitsClock()) {
      callIfNeeded();
    }
  }

  /** Sends a stop order ahead of waiting starts, unless a stop for the run is already waiting. */
  void stop(TaskKey task, int run) {
    if (!address.hostPort().isEmpty()) {
      orders.stop(task, run);
    }
  }

  private boolean mayStart() {
    return owner.mayStart() && !awaitsClock() && !hasRestartedSinceReport();
  }

  /** Returns whether waiting starts need a newer reading of the runner's clock. */
  private boolean awaitsClock() {
    return orders.hasStarts() && leases.isClockOutdated();
  }
}
