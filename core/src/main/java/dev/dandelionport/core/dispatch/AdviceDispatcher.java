package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.message.PeerMessage.AdviceAnswer;
import dev.dandelionport.core.message.PeerMessage.AdviceCall;
import dev.dandelionport.core.port.AdviceClient.Advice;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.workflow.AdviceRequest;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleFunction;

/**
 * Distributes advice calls over all instances, because the advice service handles one call at a
 * time per instance. A request is selected only when an instance is free, so that the most urgent
 * request is sent next. Long calls are kept off some of the instances, so that urgent requests find
 * one that is free. Guarded by the owner's shard.
 */
final class AdviceDispatcher {

  /** Expected cost from which a call counts as long, in milliseconds. */
  private static final double LONG_CALL_MILLIS = 60;

  /** One in this many instances takes no long calls; at least one does if there are two or more. */
  private static final int SHORT_CALL_SHARE = 3;

  /** Time beyond the expected cost after which a call times out, in milliseconds. */
  private static final long TIMEOUT_MARGIN_MILLIS = 400;

  /** Time without a message after which an instance gets no more calls, in milliseconds. */
  private static final long MEMBER_TIMEOUT_MILLIS = 1_500;

  /** Time after a failed call during which an instance gets no calls, in milliseconds. */
  private static final long FAILURE_BACKOFF_MILLIS = 1_000;

  /** Receives the result of a request; the tickets are null if the call failed. */
  interface AdviceListener {
    void adviceReceived(AdviceRequest request, Map<String, String> tickets, long validMillis);
  }

  /**
   * Number of instances by state.
   *
   * @param busy instances with a call in flight
   * @param free instances that can take a call
   * @param failed instances that get no calls for a while after a failed one
   */
  record Counts(int busy, int free, int failed) {}

  private static final class InstanceSlot {
    final InstanceInfo member;
    long lastContactMillis;
    long lastFailureMillis = Long.MIN_VALUE / 2;
    boolean busy;

    InstanceSlot(InstanceInfo member) {
      this.member = member;
    }
  }

  private final DispatchContext context;
  private final Shard shard;
  private final AdviceListener listener;
  private final Map<String, InstanceSlot> slots = new TreeMap<>();

  AdviceDispatcher(DispatchContext context, Shard shard, AdviceListener listener) {
    this.context = context;
    this.shard = shard;
    this.listener = listener;
    slots.put(context.self().id().value(), new InstanceSlot(context.self()));
  }

  /** Records a message from an instance, which makes it available for calls. */
  void recordContact(InstanceInfo member) {
    slots.computeIfAbsent(member.id().value(), k -> new InstanceSlot(member)).lastContactMillis =
        context.nowMillis();
  }

  /**
   * Sends a request to each instance without a call in flight. {@code next} returns the most urgent
   * request up to a cost in milliseconds.
   */
  void assignRequests(DoubleFunction<Optional<AdviceRequest>> next) {
    long now = context.nowMillis();
    slots
        .values()
        .removeIf(
            slot ->
                !slot.member.equals(context.self())
                    && now - slot.lastContactMillis > MEMBER_TIMEOUT_MILLIS);
    int shortCallSlots = slots.size() < 2 ? 0 : Math.max(1, slots.size() / SHORT_CALL_SHARE);
    int index = 0;
    for (InstanceSlot slot : slots.values()) {
      double maxCostMillis = index++ < shortCallSlots ? LONG_CALL_MILLIS : Double.MAX_VALUE;
      if (slot.busy || now - slot.lastFailureMillis <= FAILURE_BACKOFF_MILLIS) {
        continue;
      }
      Optional<AdviceRequest> request = next.apply(maxCostMillis);
      if (request.isEmpty() && maxCostMillis == Double.MAX_VALUE) {
        return;
      }
      request.ifPresent(a -> send(slot, a));
    }
  }

  /** Counts the instances that are busy, free or backing off after a failure. */
  Counts counts() {
    long now = context.nowMillis();
    int busy = 0;
    int free = 0;
    int failed = 0;
    for (InstanceSlot slot : slots.values()) {
      if (slot.busy) {
        busy++;
      } else if (now - slot.lastFailureMillis <= FAILURE_BACKOFF_MILLIS) {
        failed++;
      } else {
        free++;
      }
    }
    return new Counts(busy, free, failed);
  }

  private void send(InstanceSlot slot, AdviceRequest request) {
    slot.busy = true;
    long timeoutMillis = (long) request.costMillis() + TIMEOUT_MARGIN_MILLIS;
    boolean local = slot.member.equals(context.self());
    shard.runAfterUnlock(
        () ->
            (local
                    ? requestLocally(request, timeoutMillis)
                    : requestFromPeer(slot.member, request, timeoutMillis))
                .whenComplete((a, e) -> shard.run(() -> callCompleted(slot, request, a, e))));
  }

  private CompletableFuture<Advice> requestLocally(AdviceRequest request, long timeoutMillis) {
    return context.advice().requestAdvice(request.step(), request.runners(), timeoutMillis);
  }

  private CompletableFuture<Advice> requestFromPeer(
      InstanceInfo member, AdviceRequest request, long timeoutMillis) {
    return context
        .peers()
        .request(
            member, new AdviceCall(request.step(), request.runners(), timeoutMillis), timeoutMillis)
        .thenApply(AdviceDispatcher::toAdvice);
  }

  private static Advice toAdvice(PeerMessage m) {
    if (m instanceof AdviceAnswer a && a.tickets() != null) {
      return new Advice(a.tickets(), a.validMillis());
    }
    throw new IllegalStateException("the peer returned no advice");
  }

  private void callCompleted(InstanceSlot slot, AdviceRequest request, Advice a, Throwable e) {
    slot.busy = false;
    if (e != null) {
      slot.lastFailureMillis = context.nowMillis();
      listener.adviceReceived(request, null, 0);
    } else {
      listener.adviceReceived(request, a.tickets(), a.validMillis());
    }
  }
}
