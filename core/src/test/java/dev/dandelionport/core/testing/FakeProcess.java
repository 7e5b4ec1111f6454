package dev.dandelionport.core.testing;

import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.port.Timer;
import java.util.ArrayList;
import java.util.List;

/**
 * Clock and timer of one instance. The monotonic clocks of instances have different offsets. A
 * paused process runs nothing until it is resumed.
 */
public final class FakeProcess implements Timer, TimeSource {

  private static final long NOT_SUSPENDED = -1;

  private final VirtualTime time;
  private long clockOffsetNanos;
  private final List<Runnable> backlog = new ArrayList<>();
  private boolean paused;

  /** Time at which the machine was suspended, or {@link #NOT_SUSPENDED}. */
  private long suspendedAtNanos = NOT_SUSPENDED;

  private boolean killed;

  public FakeProcess(VirtualTime time) {
    this.time = time;
    this.clockOffsetNanos = time.nextClockOffsetNanos();
  }

  @Override
  public void schedule(long delayMillis, Runnable action) {
    time.afterMillis(delayMillis, () -> run(action));
  }

  /** Runs an action now, on resumption if the process is paused, or never if it was killed. */
  public void run(Runnable action) {
    if (killed) {
      return;
    }
    if (paused) {
      backlog.add(action);
    } else {
      action.run();
    }
  }

  public void pause() {
    paused = true;
  }

  /** Pauses the process and its monotonic clock, as the suspension of a machine does. */
  public void suspend() {
    pause();
    suspendedAtNanos = time.nowNanos();
  }

  public void resume() {
    if (suspendedAtNanos != NOT_SUSPENDED) {
      clockOffsetNanos -= time.nowNanos() - suspendedAtNanos;
      suspendedAtNanos = NOT_SUSPENDED;
    }
    paused = false;
    List<Runnable> all = List.copyOf(backlog);
    backlog.clear();
    all.forEach(a -> time.afterNanos(0, () -> run(a)));
  }

  public void kill() {
    killed = true;
  }

  public boolean isKilled() {
    return killed;
  }

  @Override
  public long wallMillis() {
    return time.nowMillis();
  }

  @Override
  public long monotonicNanos() {
    return time.nowNanos() + clockOffsetNanos;
  }
}
