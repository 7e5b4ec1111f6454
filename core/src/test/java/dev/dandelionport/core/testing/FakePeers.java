package dev.dandelionport.core.testing;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.port.PeerClient;
import dev.dandelionport.core.port.PeerException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Delivers messages between instances; links can be cut, and messages delayed or delivered twice.
 */
public final class FakePeers {

  private record Receiver(
      FakeProcess process, Function<PeerMessage, CompletableFuture<PeerMessage>> handler) {}

  private final VirtualTime time;
  private final Map<InstanceId, Receiver> receivers = new HashMap<>();
  private final Set<String> cutLinks = new HashSet<>();
  private double duplicateFraction;
  private Predicate<PeerMessage> delayed = m -> false;
  private long delayMillis;
  private Predicate<PeerMessage> duplicated = m -> false;
  private long duplicateMillis;
  private long maxLatencyMillis = 2;

  public FakePeers(VirtualTime time) {
    this.time = time;
  }

  public void register(
      InstanceId id,
      FakeProcess process,
      Function<PeerMessage, CompletableFuture<PeerMessage>> handler) {
    receivers.put(id, new Receiver(process, handler));
  }

  /** Cuts the link between two instances in both directions, or connects them again. */
  public void setCut(InstanceId a, InstanceId b, boolean isCut) {
    for (String link : new String[] {a + ">" + b, b + ">" + a}) {
      if (isCut) {
        cutLinks.add(link);
      } else {
        cutLinks.remove(link);
      }
    }
  }

  /** Delivers this fraction of the messages a second time, up to 300 ms later. */
  public void duplicate(double fraction) {
    duplicateFraction = fraction;
  }

  /** Delivers matching messages a second time, {@code millis} after the first. */
  public void duplicate(Predicate<PeerMessage> which, long millis) {
    duplicated = which;
    duplicateMillis = millis;
  }

  /** Delays matching messages by {@code millis}. */
  public void delay(Predicate<PeerMessage> which, long millis) {
    delayed = which;
    delayMillis = millis;
  }

  public void setLatency(long maxMillis) {
    maxLatencyMillis = maxMillis;
  }

  public PeerClient client(InstanceId self, FakeProcess process) {
    return (peer, message, timeoutMillis) -> {
      CompletableFuture<PeerMessage> f = new CompletableFuture<>();
      Receiver to = receivers.get(peer.id());
      if (to == null || to.process.isKilled()) {
        process.schedule(
            1, () -> f.completeExceptionally(new PeerException("connection refused", false, null)));
        return f;
      }
      process.schedule(
          timeoutMillis, () -> f.completeExceptionally(new PeerException("no answer", true, null)));
      long late = delayed.test(message) ? delayMillis : 0;
      long nanos = time.latencyNanos(maxLatencyMillis) + late * 1_000_000;
      deliver(self, process, peer.id(), message, f, nanos);
      if (duplicated.test(message)) {
        deliver(self, process, peer.id(), message, f, nanos + duplicateMillis * 1_000_000);
      }
      if (time.random().nextDouble() < duplicateFraction) {
        deliver(self, process, peer.id(), message, f, time.latencyNanos(300));
      }
      return f;
    };
  }

  private void deliver(
      InstanceId from,
      FakeProcess sender,
      InstanceId to,
      PeerMessage message,
      CompletableFuture<PeerMessage> answer,
      long delayNanos) {
    time.afterNanos(
        delayNanos,
        () -> {
          if (cutLinks.contains(from + ">" + to)) {
            return;
          }
          Receiver r = receivers.get(to);
          r.process.run(
              () -> r.handler.apply(message).thenAccept(a -> reply(to, from, sender, answer, a)));
        });
  }

  private void reply(
      InstanceId from,
      InstanceId to,
      FakeProcess sender,
      CompletableFuture<PeerMessage> answer,
      PeerMessage message) {
    time.afterNanos(
        time.latencyNanos(maxLatencyMillis),
        () -> {
          if (!cutLinks.contains(from + ">" + to)) {
            sender.run(() -> answer.complete(message));
          }
        });
  }
}
