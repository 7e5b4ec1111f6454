package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.message.PeerMessage.AdviceAnswer;
import dev.dandelionport.core.message.PeerMessage.AdviceCall;
import dev.dandelionport.core.port.AdviceClient.Advice;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.workflow.WorkflowEffect.Ask;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Spreads calls for advice over all instances, because the service takes one call at a time from
 * each. Long calls stay off part of the instances, so that urgent ones find one without a queue.
 * Guarded by the owner's shard.
 */
final class AdviceLanes {

  /** Cost from which a call is long, in milliseconds. */
  private static final double LONG_MILLIS = 60;

  /** One instance in this many, at least one of two, takes no long calls. */
  private static final int SHORT_PART = 3;

  /** Time beyond the expected one after which a call has failed, in milliseconds. */
  private static final long SLACK_MILLIS = 600;

  /** Time after which an instance that says nothing gets no calls, in milliseconds. */
  private static final long MEMBER_MILLIS = 1_500;

  /** Time for which an instance that failed a call gets none, in milliseconds. */
  private static final long FAILED_MILLIS = 1_000;

  /** Receives an answer; the tickets are null if the call failed. */
  interface Receiver {
    void advised(Ask ask, Map<String, String> tickets, long validMillis);
  }

  private static final class Lane {
    final InstanceInfo member;
    long heardMillis;
    long failedMillis = Long.MIN_VALUE / 2;

    /** When the calls handed to it so far are expected to be answered. */
    double freeMillis;

    Lane(InstanceInfo member) {
      this.member = member;
    }
  }

  private final DispatchContext context;
  private final Shard shard;
  private final Receiver receiver;
  private final Map<String, Lane> lanes = new TreeMap<>();

  AdviceLanes(DispatchContext context, Shard shard, Receiver receiver) {
    this.context = context;
    this.shard = shard;
    this.receiver = receiver;
    lanes.put(context.self().id().value(), new Lane(context.self()));
  }

  /** Notes that an instance is there. */
  void heard(InstanceInfo member) {
    lanes.computeIfAbsent(member.id().value(), k -> new Lane(member)).heardMillis =
        context.nowMillis();
  }

  /** Makes a call through the instance that is expected to answer first. */
  void ask(Ask ask) {
    long now = context.nowMillis();
    Lane lane = choose(ask.costMillis(), now);
    double wait = Math.max(0, lane.freeMillis - now);
    lane.freeMillis = now + wait + ask.costMillis();
    long timeout = (long) (wait + ask.costMillis()) + SLACK_MILLIS;
    boolean local = lane.member.equals(context.self());
    shard.afterwards(
        () ->
            (local ? askHere(ask, timeout) : askThere(lane.member, ask, timeout))
                .whenComplete((a, e) -> shard.run(() -> answered(lane, ask, a, e))));
  }

  private Lane choose(double cost, long now) {
    lanes
        .values()
        .removeIf(l -> !l.member.equals(context.self()) && now - l.heardMillis > MEMBER_MILLIS);
    List<Lane> usable = new ArrayList<>();
    for (Lane l : lanes.values()) {
      if (now - l.failedMillis > FAILED_MILLIS) {
        usable.add(l);
      }
    }
    if (usable.isEmpty()) {
      usable.addAll(lanes.values());
    }
    int shortOnly = usable.size() < 2 ? 0 : Math.max(1, usable.size() / SHORT_PART);
    int from = cost >= LONG_MILLIS ? shortOnly : 0;
    Lane best = usable.get(from);
    for (Lane l : usable.subList(from, usable.size())) {
      best = l.freeMillis < best.freeMillis ? l : best;
    }
    return best;
  }

  private CompletableFuture<Advice> askHere(Ask ask, long timeout) {
    return context.advice().ask(ask.step(), ask.runners(), timeout);
  }

  private CompletableFuture<Advice> askThere(InstanceInfo member, Ask ask, long timeout) {
    return context
        .peers()
        .request(member, new AdviceCall(ask.step(), ask.runners(), timeout), timeout)
        .thenApply(AdviceLanes::advice);
  }

  private static Advice advice(PeerMessage m) {
    if (m instanceof AdviceAnswer a && a.tickets() != null) {
      return new Advice(a.tickets(), a.validMillis());
    }
    throw new IllegalStateException("the instance got no advice");
  }

  private void answered(Lane lane, Ask ask, Advice a, Throwable e) {
    if (e != null) {
      lane.failedMillis = context.nowMillis();
      lane.freeMillis = 0;
      receiver.advised(ask, null, 0);
    } else {
      receiver.advised(ask, a.tickets(), a.validMillis());
    }
  }
}
