package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.AlertCode;
import dev.dandelionport.core.common.RetryDelay;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.StoreEntry;
import dev.dandelionport.core.port.Timer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Reads the control state when the watch reports a change, and periodically in case the watch has
 * stalled. Thread-safe; at most one read is in flight.
 */
final class ControlStateWatcher {

  /**
   * Age of the manifest's confirmation at which the control state is read, in milliseconds. A
   * confirmation is valid for 3 s; the difference leaves time for a slow read. Answers from peers
   * that have read the store renew the confirmation.
   */
  private static final long MAX_CONFIRMED_AGE_MILLIS = 2_100;

  /**
   * Maximum random reduction of the read interval in a cell with several members, in milliseconds,
   * so that one member reads first and the others receive its confirmation.
   */
  private static final int READ_JITTER_MILLIS = 900;

  /**
   * Maximum time between reads, in milliseconds; finds table changes that the watch did not report.
   */
  private static final long MAX_READ_INTERVAL_MILLIS = 6_000;

  /** Returned instead of a wait time if a later read has been completed. */
  private static final long SUPERSEDED = Long.MAX_VALUE;

  /** Time to wait for peers' confirmations before the store is read, in milliseconds. */
  private static final long PEER_ANSWER_MILLIS = 100;

  private static final long RETRY_MILLIS = 200;
  private static final long MAX_RETRY_MILLIS = 800;

  /** Receives the decoded result of a store read that was sent at {@code sentNanos}. */
  interface Listener {
    void onControlStateRead(ControlStateDecoder.DecodedState decoded, long sentNanos);
  }

  private final KeyValueStore store;
  private final Timer timer;
  private final TimeSource time;
  private final Consumer<EngineEvent> observer;
  private final Listener listener;
  private final RetryDelay backoff;
  private final RetryDelay watchBackoff;
  private final LongSupplier confirmedAgeMillis;
  private final BooleanSupplier requestPeerConfirmations;
  private final SplittableRandom random;
  private final Set<String> reportedValues = new HashSet<>();
  private boolean reading;
  private boolean readAgain;
  private long completedReads;
  private long lastReadNanos;
  private volatile KeyValueStore.Watch watch;
  private volatile boolean stopped;

  /**
   * Creates a watcher; {@link #start} runs it.
   *
   * @param confirmedAgeMillis returns the time since the manifest was confirmed, negative if it
   *     never was
   * @param requestPeerConfirmations requests a confirmation from some other members; returns
   *     whether there are any
   */
  ControlStateWatcher(
      EngineContext context,
      Listener listener,
      LongSupplier confirmedAgeMillis,
      BooleanSupplier requestPeerConfirmations) {
    this.confirmedAgeMillis = confirmedAgeMillis;
    this.requestPeerConfirmations = requestPeerConfirmations;
    this.store = context.store();
    this.timer = context.timer();
    this.time = context.time();
    this.observer = context.observer();
    this.listener = listener;
    int seed = context.self().id().hashCode();
    this.backoff = new RetryDelay(RETRY_MILLIS, MAX_RETRY_MILLIS, seed);
    this.random = new SplittableRandom(seed);
    this.watchBackoff = new RetryDelay(RETRY_MILLIS, MAX_RETRY_MILLIS, seed + 1L);
  }

  void start() {
    watch();
    refresh();
  }

  void stop() {
    stopped = true;
    KeyValueStore.Watch w = watch;
    if (w != null) {
      w.close();
    }
  }

  private void watch() {
    if (stopped) {
      return;
    }
    watch =
        store.watch(
            ControlKeys.PREFIX,
            c -> {
              watchBackoff.reset();
              refresh();
            },
            () ->
                timer.schedule(
                    watchBackoff.nextMillis(),
                    () -> {
                      watch();
                      refresh();
                    }));
  }

  /** Reads the control state; a call during a read causes one more read after it. */
  void refresh() {
    synchronized (this) {
      if (reading || stopped) {
        readAgain = true;
        return;
      }
      reading = true;
      readAgain = false;
    }
    long sentNanos = time.monotonicNanos();
    store.list(ControlKeys.PREFIX).whenComplete((entries, e) -> onReadEnded(entries, e, sentNanos));
  }

  private void onReadEnded(List<StoreEntry> entries, Throwable error, long sentNanos) {
    boolean rereadRequired;
    long readNumber;
    synchronized (this) {
      reading = false;
      rereadRequired = readAgain;
      readNumber = ++completedReads;
      lastReadNanos = sentNanos;
    }
    if (error == null) {
      backoff.reset();
      ControlStateDecoder.DecodedState decoded = ControlStateDecoder.decode(entries);
      report(decoded);
      listener.onControlStateRead(decoded, sentNanos);
    }
    if (error != null || rereadRequired) {
      timer.schedule(
          error != null ? backoff.nextMillis() : 0, () -> refreshUnlessReadSince(readNumber));
    } else {
      readWhenDue(readNumber, nextDueAgeMillis());
    }
  }

  private long nextDueAgeMillis() {
    return MAX_CONFIRMED_AGE_MILLIS - random.nextInt(READ_JITTER_MILLIS);
  }

  /**
   * Requests confirmations from peers once this instance's confirmation is {@code dueAgeMillis}
   * old, and reads the store unless a peer provides a newer one.
   */
  private void readWhenDue(long readNumber, long dueAgeMillis) {
    long waitMillis = millisUntilDue(readNumber, dueAgeMillis);
    if (waitMillis == SUPERSEDED) {
      return;
    }
    if (waitMillis > 0) {
      timer.schedule(waitMillis, () -> readWhenDue(readNumber, dueAgeMillis));
    } else if (requestPeerConfirmations.getAsBoolean()) {
      timer.schedule(PEER_ANSWER_MILLIS, () -> readUnlessConfirmed(readNumber, dueAgeMillis));
    } else {
      // Without peers no other instance reads on behalf of this one, so the random reduction is not
      // applied.
      long remainingMillis = Math.max(0, millisUntilDue(readNumber, MAX_CONFIRMED_AGE_MILLIS));
      timer.schedule(remainingMillis, () -> refreshUnlessReadSince(readNumber));
    }
  }

  private void readUnlessConfirmed(long readNumber, long dueAgeMillis) {
    if (millisUntilDue(readNumber, dueAgeMillis) > 0) {
      readWhenDue(readNumber, nextDueAgeMillis());
    } else {
      refreshUnlessReadSince(readNumber);
    }
  }

  /**
   * Returns the time until the confirmation is {@code dueAgeMillis} old or the maximum read
   * interval ends, or {@link #SUPERSEDED}.
   */
  private long millisUntilDue(long readNumber, long dueAgeMillis) {
    long sinceReadMillis;
    synchronized (this) {
      if (completedReads != readNumber) {
        return SUPERSEDED;
      }
      sinceReadMillis = TimeUnit.NANOSECONDS.toMillis(time.monotonicNanos() - lastReadNanos);
    }
    long confirmationAgeMillis = confirmedAgeMillis.getAsLong();
    // A read that confirmed nothing because a value is unreadable is repeated after the same
    // interval as any other.
    long dataAgeMillis =
        confirmationAgeMillis < 0
            ? sinceReadMillis
            : Math.min(confirmationAgeMillis, sinceReadMillis);
    return Math.min(dueAgeMillis - dataAgeMillis, MAX_READ_INTERVAL_MILLIS - sinceReadMillis);
  }

  private void refreshUnlessReadSince(long readNumber) {
    synchronized (this) {
      if (completedReads != readNumber) {
        return;
      }
    }
    refresh();
  }

  private void report(ControlStateDecoder.DecodedState decoded) {
    for (String value : decoded.undecodable()) {
      boolean first;
      synchronized (this) {
        first = reportedValues.add(value);
      }
      if (first) {
        observer.accept(new EngineEvent.AlertRaised(AlertCode.CONTROL_VALUE_UNREADABLE, value));
      }
    }
  }
}
