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
 * Spreads calls for advice over all instances, because the service takes one call at a time from
 * each. A call is chosen only when an instance is free, so that the most urgent one goes next. Long
 * calls stay off part of the instances, so that urgent ones find one without a queue. Guarded by
 * the owner's shard.
 */
final class AdviceDispatcher {

  /** Cost from which a call is long, in milliseconds. */
  private static final double LONG_CALL_MILLIS = 60;

  /** One instance in this many, at least one of two, takes no long calls. */
  private static final int SHORT_CALL_SHARE = 3;

  /** Time beyond the expected one after which a call has failed, in milliseconds. */
  private static final long TIMEOUT_MARGIN_MILLIS = 400;

  /** Time after which an instance that says nothing gets no calls, in milliseconds. */
  private static final long MEMBER_TIMEOUT_MILLIS = 1_500;

  /** Time for which an instance that failed a call gets none, in milliseconds. */
  private static final long FAILURE_BACKOFF_MILLIS = 1_000;

  /** Receives an answer; the tickets are null if the call failed. */
  interface AdviceListener {
    void adviceReceived(AdviceRequest ask, Map<String, String> tickets, long validMillis);
  }

  /**
   * How many instances are in a state.
   *
   * @param busy a call is under way
   * @param free it gets the next call
   * @param failed it failed a call and gets none for a while
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

  AdviceDispatcher(DispatchContext context, Shard shard, AdviceListener receiver) {
    this.context = context;
    this.shard = shard;
    this.listener = receiver;
    slots.put(context.self().id().value(), new InstanceSlot(context.self()));
  }

  /** Notes that an instance is there. */
  void recordContact(InstanceInfo member) {
    slots.computeIfAbsent(member.id().value(), k -> new InstanceSlot(member)).lastContactMillis =
        context.nowMillis();
  }

  /** Hands a call to each instance without one; {@code next} gives the most urgent one. */
  void assignRequests(DoubleFunction<Optional<AdviceRequest>> next) {
    long now = context.nowMillis();
    slots
        .values()
        .removeIf(
            l ->
                !l.member.equals(context.self())
                    && now - l.lastContactMillis > MEMBER_TIMEOUT_MILLIS);
    int shortOnly = slots.size() < 2 ? 0 : Math.max(1, slots.size() / SHORT_CALL_SHARE);
    int number = 0;
    for (InstanceSlot l : slots.values()) {
      double most = number++ < shortOnly ? LONG_CALL_MILLIS : Double.MAX_VALUE;
      if (l.busy || now - l.lastFailureMillis <= FAILURE_BACKOFF_MILLIS) {
        continue;
      }
      Optional<AdviceRequest> ask = next.apply(most);
      if (ask.isEmpty() && most == Double.MAX_VALUE) {
        return;
      }
      ask.ifPresent(a -> send(l, a));
    }
  }

  /** Returns how many of the instances that are there can take a call now. */
  Counts counts() {
    long now = context.nowMillis();
    int busy = 0;
    int free = 0;
    int failed = 0;
    for (InstanceSlot l : slots.values()) {
      if (l.busy) {
        busy++;
      } else if (now - l.lastFailureMillis <= FAILURE_BACKOFF_MILLIS) {
        failed++;
      } else {
        free++;
      }
    }
    return new Counts(busy, free, failed);
  }

  private void send(InstanceSlot lane, AdviceRequest ask) {
    lane.busy = true;
    long timeout = (long) ask.costMillis() + TIMEOUT_MARGIN_MILLIS;
    boolean local = lane.member.equals(context.self());
    shard.runAfterUnlock(
        () ->
            (local ? requestLocally(ask, timeout) : requestFromPeer(lane.member, ask, timeout))
                .whenComplete((a, e) -> shard.run(() -> callCompleted(lane, ask, a, e))));
  }

  private CompletableFuture<Advice> requestLocally(AdviceRequest ask, long timeout) {
    return context.advice().requestAdvice(ask.step(), ask.runners(), timeout);
  }

  private CompletableFuture<Advice> requestFromPeer(
      InstanceInfo member, AdviceRequest ask, long timeout) {
    return context
        .peers()
        .request(member, new AdviceCall(ask.step(), ask.runners(), timeout), timeout)
        .thenApply(AdviceDispatcher::toAdvice);
  }

  private static Advice toAdvice(PeerMessage m) {
    if (m instanceof AdviceAnswer a && a.tickets() != null) {
      return new Advice(a.tickets(), a.validMillis());
    }
    throw new IllegalStateException("the instance got no advice");
  }

  private void callCompleted(InstanceSlot lane, AdviceRequest ask, Advice a, Throwable e) {
    lane.busy = false;
    if (e != null) {
      lane.lastFailureMillis = context.nowMillis();
      listener.adviceReceived(ask, null, 0);
    } else {
      listener.adviceReceived(ask, a.tickets(), a.validMillis());
    }
  }
}
