package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.WorkflowCallKind;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.port.AdviceClient;
import dev.dandelionport.core.port.SharedStore.Entry;
import dev.dandelionport.core.port.WorkerException;
import dev.dandelionport.core.testing.VirtualTime;
import dev.dandelionport.core.workflow.ClusterPolicy;
import dev.dandelionport.core.workflow.ClusterPolicy.Account;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.Recurrence;
import dev.dandelionport.core.workflow.RunnerDescription;
import dev.dandelionport.core.workflow.StartOrder;
import dev.dandelionport.core.workflow.StepKey;
import dev.dandelionport.core.workflow.StepSpec;
import dev.dandelionport.core.workflow.WorkflowCodec;
import dev.dandelionport.core.workflow.WorkflowSpec;
import dev.dandelionport.core.workflow.WorkflowState;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Instances with a complete simulated platform in virtual time: queues of three priorities, one of
 * them with an advice service, accounts with and without ceilings, and runners in four failure
 * domains.
 */
final class PlatformCluster {

  static final int RUNNERS = 8;
  static final int DOMAINS = 4;
  static final int MAX_FAILURES = 3;
  static final int INSTANCES = 4;
  static final String URGENT = "urgent";
  static final String WITH_ADVICE = "advised";
  static final String BATCH = "batch";

  /** Resource ceiling of account b; account a has none. */
  static final ResourceVector CEILING = new ResourceVector(0, 0, 24_000, 0, 0);

  private static final double ADVICE_BASE_MILLIS = 20;
  private static final double ADVICE_PER_RUNNER_MILLIS = 2;
  private static final long TICKET_VALID_MILLIS = 2_500;
  private static final int ALLOWED_PERCENT = 60;
  private static final long SLOW_ADVICE_MILLIS = 900;

  /** Time from a restart of a runner to the entry of the new incarnation, in milliseconds. */
  private static final long REGISTRATION_MILLIS = 250;

  final VirtualTime time;
  final FakeSharedStore store;
  final PlatformInvariants invariants = new PlatformInvariants();
  final PlatformRunners runners;
  final WorkflowCluster cluster;
  final List<String> trace = new ArrayList<>();
  private final long seed;
  private final Map<String, String> states = new HashMap<>();
  private final Map<Long, ClusterPolicy> policies = new HashMap<>();
  private final Map<String, Long> adviceBusyUntilMillis = new HashMap<>();
  private long version;

  /** Names of the accounts whose keys the next configuration leaves out. */
  final Set<String> accountsWithoutKey = new HashSet<>();

  double adviceFailureFraction;
  boolean adviceSlow;

  PlatformCluster(long seed) {
    this.seed = seed;
    time = new VirtualTime(seed);
    store = new FakeSharedStore(time);
    runners = new PlatformRunners(time, invariants, seed, RUNNERS, this::isTicketValid);
    configure(true, CEILING);
    for (int i = 0; i < RUNNERS; i++) {
      putRunner("r" + i, "ready");
    }
    runners.restartListener = this::putRestartedRunner;
    WorkflowCluster.Dependencies dependencies =
        new WorkflowCluster.Dependencies(
            (n, p) -> new PlatformRunnerCalls(runners, n, p),
            this::adviceClient,
            new PlatformSchema(),
            r -> trace.add(time.nowMillis() + " " + r.node() + " " + r.topic() + " " + r.fields()));
    cluster = new WorkflowCluster(time, store, dependencies, INSTANCES);
  }

  /** Writes the entry of a runner; an unknown state makes the entry unreadable. */
  void putRunner(String runner, String state) {
    states.put(runner, state);
    store.put("runners/" + runner, state + " " + runners.startMillis(runner));
    if (state.equals("ready")) {
      invariants.setInService(runner);
    } else {
      invariants.setOutOfService(runner, time.nowMillis());
    }
  }

  /** Replaces the entry of the former incarnation, a while after the restart. */
  private void putRestartedRunner(String runner) {
    time.afterMillis(
        REGISTRATION_MILLIS,
        () -> {
          if (store.keys().contains("runners/" + runner)) {
            putRunner(runner, states.get(runner));
          }
        });
  }

  void removeRunner(String runner) {
    store.remove("runners/" + runner);
    invariants.setOutOfService(runner, time.nowMillis());
  }

  /** Takes a failure domain out of service. */
  void closeDomain(String key) {
    store.put(key, "");
    invariants.setOutOfService(key.substring(key.lastIndexOf('/') + 1), time.nowMillis());
  }

  /** Puts a failure domain back into service. */
  void openDomain(String key) {
    store.remove(key);
    invariants.setInService(key.substring(key.lastIndexOf('/') + 1));
  }

  static String domain(String runner) {
    return "fd" + Integer.parseInt(runner.substring(1)) % DOMAINS;
  }

  /** Publishes a new version of the configuration. */
  void configure(boolean withBatch, ResourceVector ceiling) {
    version += 1 + time.random().nextInt(3);
    Map<String, Queue> queues = new HashMap<>();
    ClusterPolicy.Advice advice =
        new ClusterPolicy.Advice(ADVICE_BASE_MILLIS, ADVICE_PER_RUNNER_MILLIS, TICKET_VALID_MILLIS);
    queues.put(URGENT, queue(URGENT, 0, Optional.empty()));
    queues.put(WITH_ADVICE, queue(WITH_ADVICE, 1, Optional.of(advice)));
    if (withBatch) {
      queues.put(BATCH, queue(BATCH, 2, Optional.empty()));
    }
    Map<String, Account> accounts =
        Map.of("a", account("a", ResourceVector.ZERO), "b", account("b", ceiling));
    policies.put(version, new ClusterPolicy(version, queues, Map.of(), accounts));
    invariants.ceilings.put("a", ResourceVector.ZERO);
    // The previous configuration may stay in use for a while, so the check uses the highest
    // ceiling.
    invariants.ceilings.merge("b", ceiling, ResourceVector::max);
    store.put("op/config", Long.toString(version));
  }

  private Account account(String name, ResourceVector ceiling) {
    List<String> keys = accountsWithoutKey.contains(name) ? List.of() : List.of("key-" + name);
    return new Account(name, keys, 5, ceiling);
  }

  private static Queue queue(String name, int priority, Optional<ClusterPolicy.Advice> advice) {
    return new Queue(
        name, "h", "/" + name + "/", 3_000, 500, priority, "svc", MAX_FAILURES, 2, advice, false);
  }

  /**
   * Decodes runner entries that contain only a state and the start of the runner, and
   * configurations that contain only a version.
   */
  private final class PlatformSchema implements StoreSchema {
    @Override
    public String runnerPrefix() {
      return "runners/";
    }

    @Override
    public String operatorPrefix() {
      return "op/";
    }

    @Override
    public Optional<RunnerDescription> decodeRunner(Entry e) {
      String[] fields = new String(e.value(), StandardCharsets.UTF_8).split(" ");
      if (!fields[0].equals("ready") && !fields[0].equals("draining")) {
        return Optional.empty();
      }
      String id = e.key().substring("runners/".length());
      return Optional.of(
          new RunnerDescription(
              id,
              Long.parseLong(fields[1]),
              "svc",
              id,
              domain(id),
              PlatformRunners.CAPACITY,
              List.of("rack-" + domain(id)),
              fields[0].equals("draining")));
    }

    @Override
    public Optional<ClusterPolicy> decodePolicy(Entry e) {
      if (!e.key().equals("op/config")) {
        return Optional.empty();
      }
      String value = new String(e.value(), StandardCharsets.UTF_8);
      return Optional.of(policies.get(Long.parseLong(value)));
    }

    @Override
    public Optional<String> decodeClosedDomain(Entry e) {
      String prefix = "op/closed/";
      return e.key().startsWith(prefix)
          ? Optional.of(e.key().substring(prefix.length()))
          : Optional.empty();
    }
  }

  /**
   * Returns whether advice allows a step on a runner; the result is the same for all occurrences.
   */
  private boolean isAllowed(StepKey key, String runner) {
    StepKey step = new StepKey(key.workflow(), 0, key.step());
    long stepSeed = 31 * (31 * seed + step.hashCode()) + runner.hashCode();
    return new Random(stepSeed * 0x9E3779B97F4A7C15L).nextInt(100) < ALLOWED_PERCENT;
  }

  /** Returns the number of runners that advice allows for a step. */
  int allowedRunners(StepKey step) {
    int n = 0;
    for (int i = 0; i < RUNNERS; i++) {
      n += isAllowed(step, "r" + i) ? 1 : 0;
    }
    return n;
  }

  private AdviceClient adviceClient(String caller, Consumer<Runnable> process) {
    return (step, ids, timeout) -> {
      CompletableFuture<AdviceClient.Advice> f = new CompletableFuture<>();
      time.afterMillis(
          timeout,
          () ->
              process.accept(
                  () -> f.completeExceptionally(new WorkerException("no answer", null))));
      if (adviceFailureFraction > 0 && time.random().nextDouble() < adviceFailureFraction) {
        return f;
      }
      // The advice service handles one call at a time from each machine.
      long startMillis = Math.max(time.nowMillis(), adviceBusyUntilMillis.getOrDefault(caller, 0L));
      long durationMillis = (long) (ADVICE_BASE_MILLIS + ids.size() * ADVICE_PER_RUNNER_MILLIS);
      long endMillis = startMillis + durationMillis + (adviceSlow ? SLOW_ADVICE_MILLIS : 0);
      adviceBusyUntilMillis.put(caller, endMillis);
      time.afterMillis(
          endMillis - time.nowMillis(),
          () -> {
            AdviceClient.Advice a =
                new AdviceClient.Advice(tickets(step, ids), TICKET_VALID_MILLIS);
            process.accept(() -> f.complete(a));
          });
      return f;
    };
  }

  private Map<String, String> tickets(StepKey step, List<String> ids) {
    Map<String, String> tickets = new HashMap<>();
    long until = time.nowMillis() + TICKET_VALID_MILLIS;
    for (String id : ids) {
      if (isAllowed(step, id) && runners.startMillis(id) > 0) {
        tickets.put(id, step + "|" + id + "|" + runners.startMillis(id) + "|" + until);
      }
    }
    return tickets;
  }

  private boolean isTicketValid(String runner, StartOrder o) {
    if (!invariants.workflows.get(o.task().workflow()).queue.equals(WITH_ADVICE)) {
      return true;
    }
    StepKey step = new StepKey(o.task().workflow(), o.task().occurrence(), o.task().step());
    String[] parts = o.ticket().split("\\|");
    return parts.length == 4
        && parts[0].equals(step.toString())
        && parts[1].equals(runner)
        && parts[2].equals(Long.toString(runners.startMillis(runner)))
        && time.nowMillis() < Long.parseLong(parts[3]);
  }

  /**
   * Submits a workflow through an instance, and records from the answer whether it was accepted or
   * refused.
   */
  CompletableFuture<WorkflowAnswer> submit(
      WorkflowCluster.Node node, String id, String queue, String account, List<StepSpec> steps) {
    return submit(
        node, id, new PlatformInvariants.Submitted(queue, account, steps, Recurrence.ONCE));
  }

  /** Submits a workflow that may recur. */
  CompletableFuture<WorkflowAnswer> submit(
      WorkflowCluster.Node node, String id, PlatformInvariants.Submitted w) {
    invariants.workflows.put(id, w);
    WorkflowSpec spec = new WorkflowSpec("", "", "", "p", w.steps, w.recurrence, false);
    CompletableFuture<WorkflowAnswer> f =
        call(node, WorkflowCallKind.SUBMIT, id, WorkflowCodec.encodeSpec(spec));
    f.thenAccept(
        a -> {
          w.accepted |= a.status() == WorkflowStatus.OK;
          w.refused |= a.status() == WorkflowStatus.REFUSED;
        });
    return f;
  }

  void cancel(WorkflowCluster.Node node, String id) {
    PlatformInvariants.Submitted w = invariants.workflows.get(id);
    w.cancelSent = true;
    call(node, WorkflowCallKind.CANCEL, id, new byte[0])
        .thenAccept(
            a -> {
              if (a.status() == WorkflowStatus.OK) {
                w.cancelledMillis = time.nowMillis();
              }
            });
  }

  private CompletableFuture<WorkflowAnswer> call(
      WorkflowCluster.Node node, WorkflowCallKind kind, String id, byte[] body) {
    PlatformInvariants.Submitted w = invariants.workflows.get(id);
    return cluster.call(node, kind, "/" + w.queue + "/" + id, "key-" + w.account, body);
  }

  /**
   * Returns the state of a workflow as clients read it; empty if it is unknown or no instance
   * answers.
   */
  Optional<WorkflowState> state(String id) {
    CompletableFuture<WorkflowAnswer> f =
        call(cluster.anyNode(), WorkflowCallKind.READ, id, new byte[0]);
    time.runUntil(f::isDone, 5_000);
    return f.isDone() ? Optional.ofNullable(f.join().state()) : Optional.empty();
  }
}
