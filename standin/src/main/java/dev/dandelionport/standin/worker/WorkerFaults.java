package dev.dandelionport.standin.worker;

import com.fasterxml.jackson.databind.JsonNode;

/** Injected faults of a stand-in worker. */
public final class WorkerFaults {

  /** Whether every task fails. */
  public volatile boolean failsEverything;

  /** Whether requests are accepted but never answered; tasks continue to run. */
  public volatile boolean silent;

  /** Delay of every response, in milliseconds. */
  public volatile long slowMillis;

  /** Sets the faults that {@code settings} contains; the others keep their value. */
  public void set(JsonNode settings) {
    failsEverything = settings.path("failsEverything").asBoolean(failsEverything);
    silent = settings.path("silent").asBoolean(silent);
    slowMillis = settings.path("slowMillis").asLong(slowMillis);
  }
}
