package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.dispatch.RunnerLeases.Grant;
import dev.dandelionport.core.port.RunnerClient;
import dev.dandelionport.core.port.RunnerClient.Address;
import dev.dandelionport.core.port.RunnerClient.StartAnswer;
import dev.dandelionport.core.workflow.StartOrder;
import dev.dandelionport.core.workflow.StartResult;
import dev.dandelionport.core.workflow.TaskKey;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Sends start and stop orders to one runner. Guarded by the owner's shard. */
final class OrderSender {

  /** Timeout of a start order, in milliseconds. */
  private static final long START_TIMEOUT_MILLIS = 300;

  /** Timeout of a stop order, in milliseconds. */
  private static final long STOP_TIMEOUT_MILLIS = 400;

  private final DispatchContext context;
  private final Shard shard;
  private final LinkOwner owner;
  private final long token;
  private final RunnerLeases leases;
  private final Supplier<Address> address;
  private final Runnable afterAnswer;
  private RunnerOrders queue;

  /**
   * Creates a sender.
   *
   * @param address supplies the current address of the runner
   * @param afterAnswer called when an answer has been handled
   */
  OrderSender(
      DispatchContext context,
      Shard shard,
      LinkOwner owner,
      long token,
      RunnerLeases leases,
      Supplier<Address> address,
      Runnable afterAnswer) {
    this.context = context;
    this.shard = shard;
    this.owner = owner;
    this.token = token;
    this.leases = leases;
    this.address = address;
    this.afterAnswer = afterAnswer;
  }

  /** Returns the queue of the orders to send; starts wait while {@code mayStart} returns false. */
  RunnerOrders newQueue(BooleanSupplier mayStart) {
    queue = new RunnerOrders(owner.orders(), this::sendStop, this::sendStart, mayStart);
    return queue;
  }

  private boolean sendStart(TaskKey task, int run) {
    Address to = address.get();
    Optional<StartOrder> order = owner.scheduler().prepareStart(task, run, to.runner());
    if (order.isEmpty()) {
      owner.applyDecisions();
      return false;
    }
    if (!leases.isClockKnown()) {
      handleStartResult(order.get(), to.runner(), StartResult.UNHEALTHY);
      return false;
    }
    final long sentMillis = context.nowMillis();
    Grant grant = leases.extend();
    shard.runAfterUnlock(
        () ->
            context
                .runners()
                .start(to, order.get(), grant.untilMillis(), token, START_TIMEOUT_MILLIS)
                .whenComplete(
                    (a, e) ->
                        shard.run(
                            () -> startCompleted(order.get(), to.runner(), grant, a, sentMillis))));
    return true;
  }

  /** Handles the answer to a start; {@code a} is null if there is none. */
  private void startCompleted(
      StartOrder order, String runner, Grant grant, StartAnswer a, long sentMillis) {
    long clockMillis = a == null ? RunnerClient.NO_TIME : a.clockMillis();
    // The clock is updated before further orders are sent, which depend on it.
    leases.completed(grant, runner, clockMillis);
    leases.updateClock(clockMillis, sentMillis);
    queue.orderCompleted(sentMillis, context.nowMillis(), a != null);
    handleStartResult(order, runner, a == null ? StartResult.UNKNOWN : a.result());
  }

  private void handleStartResult(StartOrder order, String runner, StartResult result) {
    if (owner.isClosed()) {
      return;
    }
    owner.scheduler().handleStartResult(order.task(), order.run(), runner, result);
    owner.applyDecisions();
    if (result == StartResult.FENCED) {
      owner.onFenced();
    }
    afterAnswer.run();
  }

  private void sendStop(TaskKey task, int run) {
    final long sentMillis = context.nowMillis();
    Address to = address.get();
    shard.runAfterUnlock(
        () ->
            context
                .runners()
                .stop(to, task, run, token, STOP_TIMEOUT_MILLIS)
                .whenComplete(
                    (ok, e) ->
                        shard.run(() -> stopCompleted(task, run, to.runner(), ok, sentMillis))));
  }

  /** Handles the answer to a stop; {@code accepted} is null if there is none. */
  private void stopCompleted(
      TaskKey task, int run, String runner, Boolean accepted, long sentMillis) {
    queue.orderCompleted(sentMillis, context.nowMillis(), accepted != null);
    if (accepted == null || owner.isClosed()) {
      // The scheduler repeats the stop until the run is known to have ended.
      return;
    }
    if (!accepted) {
      owner.onFenced();
      return;
    }
    owner.scheduler().handleStopAck(task, run, runner);
    owner.applyDecisions();
    afterAnswer.run();
  }
}
