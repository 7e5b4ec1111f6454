package dev.dandelionport.core.testing;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.port.StartCommand;
import dev.dandelionport.core.port.StartReply;
import dev.dandelionport.core.port.SyncReply;
import dev.dandelionport.core.port.SyncRequest;
import dev.dandelionport.core.port.WorkerClient;
import dev.dandelionport.core.port.WorkerException;
import dev.dandelionport.core.port.WorkerInfo;
import dev.dandelionport.core.scheduler.AttemptOutcome;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Client of one process for the fake workers, over a network with latency and faults. */
final class FakeWorkerClient implements WorkerClient {

  /** Timeout of a client's call, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 1_000;

  private final FakeWorkers workers;
  private final VirtualTime time;
  private final FakeProcess process;

  FakeWorkerClient(FakeWorkers fleet, VirtualTime time, FakeProcess process) {
    this.workers = fleet;
    this.time = time;
    this.process = process;
  }

  private <T> CompletableFuture<T> call(
      WorkerInfo to, long timeout, long delay, boolean lost, Consumer<Consumer<T>> effect) {
    CompletableFuture<T> f = new CompletableFuture<>();
    FakeWorkers.Worker w = workers.worker(to.id());
    Runnable deliver =
        () -> {
          if (!w.unresponsive && !w.disconnected.contains(process)) {
            effect.accept(
                r -> {
                  if (!lost && !w.unresponsive && !w.disconnected.contains(process)) {
                    time.afterNanos(time.latencyNanos(2), () -> process.run(() -> f.complete(r)));
                  }
                });
          }
        };
    time.afterNanos(time.latencyNanos(2) + delay * 1_000_000, deliver);
    if (time.random().nextDouble() < workers.duplicateFraction) {
      time.afterNanos(time.latencyNanos(300), deliver);
    }
    process.schedule(
        timeout, () -> f.completeExceptionally(new WorkerException("no answer", null)));
    return f;
  }

  private CompletableFuture<Void> sendOrder(
      WorkerInfo to, AttemptId a, Supplier<AttemptOutcome> outcome) {
    FakeWorkers.Worker w = workers.worker(to.id());
    return call(
        to,
        TIMEOUT_MILLIS,
        0,
        false,
        (Consumer<Void> answer) -> {
          FakeWorkers.Run r = w.running.get(a);
          if (r != null && outcome.get() != null) {
            w.end(r, outcome.get());
          }
          answer.accept(null);
        });
  }

  @Override
  public CompletableFuture<StartReply> start(WorkerInfo worker, StartCommand c) {
    long delay = workers.startDelayed.test(c) ? workers.delayMillis : 0;
    FakeWorkers.Worker w = workers.worker(worker.id());
    return call(
        worker,
        TIMEOUT_MILLIS,
        delay,
        workers.startReplyLost.test(c),
        (Consumer<StartReply> answer) -> answer.accept(w.start(c)));
  }

  @Override
  public CompletableFuture<Void> stop(WorkerInfo worker, AttemptId a, long epoch) {
    return sendOrder(worker, a, () -> AttemptOutcome.STOPPED);
  }

  @Override
  public CompletableFuture<Void> checkpoint(WorkerInfo worker, AttemptId a, long epoch) {
    return sendOrder(worker, a, () -> AttemptOutcome.CHECKPOINTED);
  }

  @Override
  public CompletableFuture<Void> throttle(WorkerInfo w, AttemptId a, long epoch, int percent) {
    return sendOrder(w, a, () -> null);
  }

  @Override
  public CompletableFuture<SyncReply> sync(WorkerInfo worker, SyncRequest q) {
    FakeWorkers.Worker w = workers.worker(worker.id());
    return call(
        worker,
        q.waitMillis() + TIMEOUT_MILLIS,
        0,
        false,
        (Consumer<SyncReply> answer) -> w.sync(q, answer));
  }
}
