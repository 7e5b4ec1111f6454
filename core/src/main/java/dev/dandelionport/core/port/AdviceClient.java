package dev.dandelionport.core.port;

import dev.dandelionport.core.workflow.StepKey;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Asks the service that knows which runners may run a step. Futures fail when no answer came. */
public interface AdviceClient {

  /** Tickets by runner for those that may run the step, and how long they can be used. */
  record Advice(Map<String, String> tickets, long validMillis) {
    /** Copies the map. */
    public Advice {
      tickets = Map.copyOf(tickets);
    }
  }

  /** Asks about some runners. */
  CompletableFuture<Advice> requestAdvice(StepKey step, List<String> runners, long timeoutMillis);
}
