package dev.dandelionport.node.process;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.port.StartCommand;
import dev.dandelionport.core.port.StartReply;
import dev.dandelionport.core.port.SyncReply;
import dev.dandelionport.core.port.SyncRequest;
import dev.dandelionport.core.port.WorkerClient;
import dev.dandelionport.core.port.WorkerInfo;
import java.util.concurrent.CompletableFuture;

/** Counts the calls to workers by operation and outcome. */
final class MeteredWorkerClient implements WorkerClient {

  private final WorkerClient workers;
  private final InstanceMetrics metrics;

  MeteredWorkerClient(WorkerClient workers, InstanceMetrics metrics) {
    this.workers = workers;
    this.metrics = metrics;
  }

  @Override
  public CompletableFuture<StartReply> start(WorkerInfo worker, StartCommand command) {
    return workers
        .start(worker, command)
        .whenComplete(
            (r, e) -> count("start", e != null ? "failed" : r.accepted() ? "ok" : "refused"));
  }

  @Override
  public CompletableFuture<Void> stop(WorkerInfo worker, AttemptId attempt, long epoch) {
    return counted("stop", workers.stop(worker, attempt, epoch));
  }

  @Override
  public CompletableFuture<Void> checkpoint(WorkerInfo worker, AttemptId attempt, long epoch) {
    return counted("checkpoint", workers.checkpoint(worker, attempt, epoch));
  }

  @Override
  public CompletableFuture<Void> throttle(
      WorkerInfo worker, AttemptId attempt, long epoch, int percent) {
    return counted("throttle", workers.throttle(worker, attempt, epoch, percent));
  }

  @Override
  public CompletableFuture<SyncReply> sync(WorkerInfo worker, SyncRequest request) {
    return counted("sync", workers.sync(worker, request));
  }

  private <T> CompletableFuture<T> counted(String operation, CompletableFuture<T> call) {
    return call.whenComplete((r, e) -> count(operation, e == null ? "ok" : "failed"));
  }

  private void count(String operation, String outcome) {
    metrics.counter(MetricSpec.WORKER_CALLS, operation, outcome).inc();
  }
}
