package dev.dandelionport.node.process;

import dev.dandelionport.core.common.TimeSource;

/** Time source with the clocks of the system. */
public final class SystemTime implements TimeSource {
  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public long monotonicNanos() {
    return System.nanoTime();
  }
}
