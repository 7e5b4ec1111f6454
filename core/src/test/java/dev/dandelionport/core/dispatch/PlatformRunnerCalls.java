package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.dispatch.PlatformRunners.Incarnation;
import dev.dandelionport.core.port.RunnerClient;
import dev.dandelionport.core.port.WorkerException;
import dev.dandelionport.core.testing.VirtualTime;
import dev.dandelionport.core.workflow.RunnerReport;
import dev.dandelionport.core.workflow.StartOrder;
import dev.dandelionport.core.workflow.StartResult;
import dev.dandelionport.core.workflow.TaskKey;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Client of one instance for {@link PlatformRunners}, with latency, lost and delayed orders, and
 * disconnected runners.
 */
final class PlatformRunnerCalls implements RunnerClient {

  /** Incarnation that received a hold call, and whether it refused the token. */
  private record HeldBy(Incarnation incarnation, boolean fenced) {}

  private final PlatformRunners runners;
  private final VirtualTime time;
  private final String caller;
  private final Consumer<Runnable> process;

  /** Creates a client of an instance; {@code process} runs the completions of its calls. */
  PlatformRunnerCalls(PlatformRunners runners, String caller, Consumer<Runnable> process) {
    this.runners = runners;
    this.time = runners.time;
    this.caller = caller;
    this.process = process;
  }

  private boolean isUnreachable(String id) {
    return runners.cutLinks.contains(id)
        || runners.cutLinks.contains(caller + ">" + id)
        || !runners.incarnations.containsKey(id);
  }

  private Runnable noAnswer(CompletableFuture<?> f) {
    return () ->
        process.accept(() -> f.completeExceptionally(new WorkerException("no answer", null)));
  }

  private <T> CompletableFuture<T> call(String id, boolean late, long timeout, Supplier<T> action) {
    CompletableFuture<T> f = new CompletableFuture<>();
    time.afterMillis(timeout, noAnswer(f));
    Incarnation incarnation = runners.incarnations.get(id);
    if (isUnreachable(id)) {
      return f;
    }
    if (late) {
      // An order that is delayed inside a runner is lost when the runner restarts.
      time.afterMillis(
          2_000 + time.random().nextInt(5_000),
          () -> {
            if (runners.incarnations.get(id) == incarnation) {
              action.get();
            }
          });
      return f;
    }
    time.afterNanos(
        time.latencyNanos(3),
        () -> {
          if (!isUnreachable(id)) {
            Incarnation answering = runners.incarnations.get(id);
            T value = action.get();
            time.afterNanos(time.latencyNanos(3), () -> answer(id, answering, f, value));
          }
        });
    return f;
  }

  /** Completes a call unless its runner was cut off or restarted before the answer was out. */
  private <T> void answer(String id, Incarnation answering, CompletableFuture<T> f, T value) {
    if (isConnected(id, answering)) {
      process.accept(() -> f.complete(value));
    }
  }

  private boolean isConnected(String id, Incarnation incarnation) {
    return !isUnreachable(id) && runners.incarnations.get(id) == incarnation;
  }

  private boolean isLate() {
    return runners.lateFraction > 0 && time.random().nextDouble() < runners.lateFraction;
  }

  @Override
  public CompletableFuture<StartAnswer> start(
      Address to, StartOrder order, long until, long token, long timeout) {
    String id = to.runner();
    boolean late = isLate();
    return call(
        id,
        late,
        timeout,
        () -> {
          StartResult r = runners.start(id, order, until, token, late);
          return new StartAnswer(r, runners.incarnations.get(id).clockMillis(time.nowMillis()));
        });
  }

  @Override
  public CompletableFuture<Boolean> stop(
      Address to, TaskKey task, int run, long token, long timeout) {
    String id = to.runner();
    return call(id, isLate(), timeout, () -> runners.stop(id, task, run, token));
  }

  @Override
  public CompletableFuture<HoldAnswer> hold(
      Address to, long token, long acked, long until, long wait, long timeout) {
    CompletableFuture<HoldAnswer> f = new CompletableFuture<>();
    time.afterMillis(timeout, noAnswer(f));
    String id = to.runner();
    final long sentMillis = time.nowMillis();
    long deadline = sentMillis + wait;
    call(
            id,
            false,
            timeout,
            () -> {
              Incarnation incarnation = runners.incarnations.get(id);
              return new HeldBy(
                  incarnation, runners.handleHold(id, token, acked, until, sentMillis));
            })
        .thenAccept(
            x -> {
              if (x.fenced()) {
                f.complete(new HoldAnswer(true, null));
              } else {
                pollForEnds(id, x.incarnation(), deadline, f);
              }
            });
    return f;
  }

  private void pollForEnds(
      String id, Incarnation incarnation, long deadline, CompletableFuture<HoldAnswer> f) {
    if (!isConnected(id, incarnation)) {
      return;
    }
    runners.advance(incarnation);
    if (incarnation.ends.isEmpty() && time.nowMillis() < deadline) {
      time.afterMillis(
          PlatformRunners.POLL_MILLIS, () -> pollForEnds(id, incarnation, deadline, f));
      return;
    }
    RunnerReport r = runners.report(incarnation);
    time.afterNanos(
        time.latencyNanos(1), () -> answer(id, incarnation, f, new HoldAnswer(false, r)));
  }
}
