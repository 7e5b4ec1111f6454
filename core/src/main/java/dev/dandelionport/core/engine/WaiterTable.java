package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.message.JobReply;
import dev.dandelionport.core.scheduler.JobStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Holds the callers that wait for a job of one partition. Guarded by the partition's shard. */
final class WaiterTable {

  private record Waiter(CompletableFuture<JobReply> future, boolean untilFinal) {}

  private final Shard shard;
  private final Map<JobKey, List<Waiter>> waiters = new HashMap<>();

  WaiterTable(Shard shard) {
    this.shard = shard;
  }

  /**
   * Adds a caller that waits for the job's next durable status, or only for its final status if
   * {@code untilFinal}.
   */
  void add(JobKey key, CompletableFuture<JobReply> future, boolean untilFinal) {
    waiters.computeIfAbsent(key, k -> new ArrayList<>()).add(new Waiter(future, untilFinal));
  }

  /** Completes the callers that wait for this status of the job. */
  void statusChanged(JobStatus status) {
    List<Waiter> list = waiters.get(status.key());
    if (list == null) {
      return;
    }
    for (Iterator<Waiter> i = list.iterator(); i.hasNext(); ) {
      Waiter w = i.next();
      if (!w.untilFinal() || status.phase().isFinal()) {
        i.remove();
        send(w.future(), JobReply.of(status));
      }
    }
    if (list.isEmpty()) {
      waiters.remove(status.key());
    }
  }

  /** Completes one caller and removes it; does nothing if it was completed before. */
  void answer(JobKey key, CompletableFuture<JobReply> future, JobReply reply) {
    List<Waiter> list = waiters.get(key);
    if (list != null && list.removeIf(w -> w.future() == future)) {
      if (list.isEmpty()) {
        waiters.remove(key);
      }
      send(future, reply);
    }
  }

  /** Completes all callers that wait for one job with the same reply. */
  void answerJob(JobKey key, JobReply reply) {
    List<Waiter> list = waiters.remove(key);
    if (list != null) {
      list.forEach(w -> send(w.future(), reply));
    }
  }

  /** Completes all callers with the same reply. */
  void answerAll(JobReply reply) {
    waiters.values().forEach(l -> l.forEach(w -> send(w.future(), reply)));
    waiters.clear();
  }

  int size() {
    return waiters.size();
  }

  private void send(CompletableFuture<JobReply> future, JobReply reply) {
    shard.runAfterUnlock(() -> future.complete(reply));
  }
}
