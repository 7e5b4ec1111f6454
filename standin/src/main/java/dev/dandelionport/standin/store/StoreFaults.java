package dev.dandelionport.standin.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.atomic.AtomicLong;

/** Injected faults of the stand-in store, and its call counters. */
public final class StoreFaults {

  /** Whether every call fails with status 503. */
  public volatile boolean down;

  /** Delay of every response, in milliseconds. */
  public volatile long delayMillis;

  /** Every n-th write takes effect but its reply is dropped; 0 drops none. */
  public volatile int loseReplyEvery;

  /** Whether watches stay open but report nothing; changes in that time are never reported. */
  public volatile boolean watchSilent;

  /** Number of calls received. */
  public final AtomicLong calls = new AtomicLong();

  /** Number of writes received. */
  public final AtomicLong writes = new AtomicLong();

  /** Sets the faults that {@code settings} contains; the others keep their value. */
  public void set(JsonNode settings) {
    down = settings.path("down").asBoolean(down);
    delayMillis = settings.path("delayMillis").asLong(delayMillis);
    loseReplyEvery = settings.path("loseReplyEvery").asInt(loseReplyEvery);
    watchSilent = settings.path("watchSilent").asBoolean(watchSilent);
  }

  /** Returns whether the reply to this write must be dropped. */
  boolean losesReply(long writeNumber) {
    int n = loseReplyEvery;
    return n > 0 && writeNumber % n == 0;
  }
}
