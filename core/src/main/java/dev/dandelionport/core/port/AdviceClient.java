package dev.dandelionport.core.port;

import dev.dandelionport.core.workflow.StepKey;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the advice service, which decides which runners may run a step. Futures fail if the
 * service does not answer.
 */
public interface AdviceClient {

  /** Tickets of the runners that may run the step, by runner, and how long they are valid. */
  record Advice(Map<String, String> tickets, long validMillis) {
    /** Copies the map. */
    public Advice {
      tickets = Map.copyOf(tickets);
    }
  }

  /** Requests tickets for some runners. */
  CompletableFuture<Advice> requestAdvice(StepKey step, List<String> runners, long timeoutMillis);
}
