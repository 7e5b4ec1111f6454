package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.port.StartCommand;
import dev.dandelionport.core.port.StartReply;
import dev.dandelionport.core.port.Tracing;
import dev.dandelionport.core.scheduler.Effect;
import dev.dandelionport.core.scheduler.Event;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Sends start commands to workers if the owner is still allowed to. Guarded by the partition's
 * shard.
 */
final class StartSender {

  /**
   * Maximum time in which a start command must arrive, in milliseconds; limits the duration of a
   * drain to 3 s.
   */
  private static final long MAX_START_MILLIS = 2_000;

  private final PartitionId partition;
  private final long epoch;
  private final Shard shard;
  private final HostContext context;
  private final WorkerLinks links;
  private final Consumer<Event> events;

  StartSender(
      PartitionId partition,
      long epoch,
      Shard shard,
      HostContext context,
      WorkerLinks links,
      Consumer<Event> events) {
    this.partition = partition;
    this.epoch = epoch;
    this.shard = shard;
    this.context = context;
    this.links = links;
    this.events = events;
  }

  /**
   * Sends a start command, or reports to the scheduler why it was not sent.
   *
   * @param isWanted whether the scheduler still wants the attempt; it may have stopped it while the
   *     records were being written
   * @param acceptedMillis when the job was accepted
   * @param traceparent trace context of the job, or empty
   */
  void start(Effect.StartTask e, boolean isWanted, long acceptedMillis, String traceparent) {
    Optional<WorkerLink> link = links.link(e.worker()).filter(l -> l.responsive);
    long allowedMillis = allowedMillis();
    if (!isWanted) {
      events.accept(new Event.StartRefused(e.attempt(), "no longer wanted when it was committed"));
    } else if (link.isEmpty()) {
      events.accept(new Event.StartRefused(e.attempt(), "the worker does not answer"));
    } else if (allowedMillis <= 0) {
      events.accept(new Event.StartRefused(e.attempt(), "authority ended before the start left"));
    } else {
      send(e, link.get(), allowedMillis, acceptedMillis, traceparent);
    }
  }

  private long allowedMillis() {
    long confirmationMillis = context.confirmationRemainingMillis().getAsLong();
    return Math.min(
        MAX_START_MILLIS, Math.min(confirmationMillis, context.authority().remainingMillis()));
  }

  private void send(
      Effect.StartTask e,
      WorkerLink link,
      long allowedMillis,
      long acceptedMillis,
      String traceparent) {
    long nowNanos = context.engine().time().monotonicNanos();
    long notAfter = link.toWorkerClock(nowNanos, allowedMillis);
    long leaseMillis =
        e.afterCommit() ? WorkerLinks.TASK_LEASE_MILLIS : WorkerLinks.SHORT_LEASE_MILLIS;
    if (!e.afterCommit()) {
      link.shortLeases.put(e.attempt(), new WorkerLink.ShortLease(notAfter));
    }
    link.recordLease(nowNanos, allowedMillis, leaseMillis);
    links.onStart(link, notAfter);
    events.accept(new Event.StartSent(e.attempt(), notAfter));
    long waitedMillis = context.engine().time().wallMillis() - acceptedMillis;
    shard.runAfterUnlock(
        () -> {
          Tracing.Span span = context.engine().tracing().start("start", traceparent);
          StartCommand c =
              new StartCommand(
                  e.attempt(),
                  partition,
                  epoch,
                  e.incarnation(),
                  notAfter,
                  leaseMillis,
                  e.spec().taskSize(),
                  e.spec().payload(),
                  span.traceparent());
          context
              .engine()
              .workers()
              .start(link.info, c)
              .whenComplete((r, x) -> shard.run(() -> onAnswer(e, span, r, x)));
          context.observe(
              new EngineEvent.StartSent(
                  e.attempt(), e.worker(), e.spec().workloadClass(), waitedMillis));
        });
  }

  private void onAnswer(Effect.StartTask e, Tracing.Span span, StartReply reply, Throwable error) {
    shard.runAfterUnlock(() -> span.end(error == null && reply.accepted()));
    if (error != null || !reply.accepted()) {
      links.startFailed(e.worker());
    }
    // After an error the outcome is unknown; a later sync shows whether the attempt runs.
    if (error == null && !reply.accepted()) {
      events.accept(new Event.StartRefused(e.attempt(), reply.reason()));
    }
  }
}
