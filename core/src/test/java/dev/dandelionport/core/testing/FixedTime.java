package dev.dandelionport.core.testing;

import dev.dandelionport.core.common.TimeSource;

/** A time source whose clocks never advance. */
public final class FixedTime implements TimeSource {
  @Override
  public long wallMillis() {
    return 1_000_000;
  }

  @Override
  public long monotonicNanos() {
    return 1_000_000_000L;
  }
}
