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
            T value = action.get();
            time.afterNanos(time.latencyNanos(3), () -> process.accept(() -> f.complete(value)));
          }
        });
    return f;
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
    long deadline = time.nowMillis() + wait;
    call(id, false, timeout, () -> runners.handleHold(id, token, acked, until))
        .thenAccept(
            fenced -> {
              if (fenced) {
                f.complete(new HoldAnswer(true, null));
              } else {
                pollForEnds(id, deadline, f);
              }
            });
    return f;
  }

  private void pollForEnds(String id, long deadline, CompletableFuture<HoldAnswer> f) {
    if (isUnreachable(id)) {
      return;
    }
    Incarnation incarnation = runners.incarnations.get(id);
    runners.advance(incarnation);
    if (incarnation.ends.isEmpty() && time.nowMillis() < deadline) {
      time.afterMillis(PlatformRunners.POLL_MILLIS, () -> pollForEnds(id, deadline, f));
      return;
    }
    RunnerReport r = runners.report(incarnation);
    time.afterNanos(
        time.latencyNanos(1), () -> process.accept(() -> f.complete(new HoldAnswer(false, r))));
  }
}
