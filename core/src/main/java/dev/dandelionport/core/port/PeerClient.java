package dev.dandelionport.core.port;

import dev.dandelionport.core.message.PeerMessage;
import java.util.concurrent.CompletableFuture;

/** Sends messages to other instances. Futures fail with {@link PeerException}. */
public interface PeerClient {

  /**
   * Sends a message and returns its answer.
   *
   * @param peer receiver
   * @param message what to send
   * @param timeoutMillis maximum time to wait for the answer
   */
  CompletableFuture<PeerMessage> request(
      InstanceInfo peer, PeerMessage message, long timeoutMillis);
}
