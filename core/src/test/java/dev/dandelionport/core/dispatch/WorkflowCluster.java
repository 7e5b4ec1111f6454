package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowCallKind;
import dev.dandelionport.core.port.AdviceClient;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.PeerException;
import dev.dandelionport.core.port.RunnerClient;
import dev.dandelionport.core.port.SharedStore.Entry;
import dev.dandelionport.core.testing.FakeProcess;
import dev.dandelionport.core.testing.VirtualTime;
import dev.dandelionport.core.workflow.ClusterPolicy;
import dev.dandelionport.core.workflow.RunnerDescription;
import dev.dandelionport.core.workflow.StepSpec;
import dev.dandelionport.core.workflow.WorkflowCodec;
import dev.dandelionport.core.workflow.WorkflowLimits;
import dev.dandelionport.core.workflow.WorkflowSpec;
import dev.dandelionport.core.workflow.WorkflowState;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;

/** Cluster of workflow instances with a fake store and fake runners in virtual time. */
final class WorkflowCluster {

  private static final int RUNNERS = 6;

  /** Time from a restart of a runner to the entry of the new incarnation, in milliseconds. */
  private static final long REGISTRATION_MILLIS = 250;

  /** Runner whose entry makes the schema fail. */
  static final String ODD_RUNNER = "odd";

  /** Default capacity of an instance, in thousandths of a core. */
  private static final long DEFAULT_CAPACITY = 1_500;

  /** An event that a node reported. */
  record Report(String node, DispatchTopic topic, Map<String, Object> fields) {}

  /**
   * Dependencies of instances other than the store and peers.
   *
   * @param runners creates the runner client of an instance with a given name
   * @param advice creates the advice client of an instance with a given name
   * @param storeSchema decodes runners and configuration
   * @param observer receives the reports of instances
   */
  record Dependencies(
      BiFunction<String, Consumer<Runnable>, RunnerClient> runners,
      BiFunction<String, Consumer<Runnable>, AdviceClient> advice,
      StoreSchema storeSchema,
      Consumer<Report> observer) {}

  /** A process that runs an instance. */
  final class Node {
    final String name;
    final FakeProcess process = new FakeProcess(time);
    final WorkflowInstance instance;
    final InstanceInfo info;

    Node(String name, int processNumber) {
      this.name = name;
      info = new InstanceInfo(new InstanceId(name + "-" + processNumber), "region", "fd", name, 1);
      instance =
          new WorkflowInstance(
              new DispatchContext(
                  info,
                  store.client(name, process::run),
                  dependencies.runners().apply(name, process::run),
                  dependencies.advice().apply(name, process::run),
                  (peer, m, timeout) -> request(this, peer, m, timeout),
                  dependencies.storeSchema(),
                  process,
                  process,
                  () ->
                      new DispatchSettings(
                          1_000,
                          5_000,
                          6_000,
                          3_500,
                          new WorkflowLimits(3_000, 200, 3, 2_000, 600_000),
                          capacity(name)),
                  (t, f) -> recordReport(new Report(name, t, f))));
      instance.start();
    }
  }

  /** Schema of runner entries whose only information is the key. */
  private static final class PlainSchema implements StoreSchema {
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
      String id = e.key().substring("runners/".length());
      if (id.equals(ODD_RUNNER)) {
        throw new IllegalStateException("unexpected entry");
      }
      return Optional.of(
          new RunnerDescription(
              id,
              Long.parseLong(new String(e.value(), StandardCharsets.UTF_8)),
              "svc",
              id,
              "fd",
              new ResourceVector(0, 0, 1_000L * FakeRunners.TASK_CAPACITY, 1_000, 0),
              List.of("rack"),
              false));
    }

    @Override
    public Optional<ClusterPolicy> decodePolicy(Entry e) {
      ClusterPolicy.Queue q =
          new ClusterPolicy.Queue(
              "q", "h", "/q/", 3_000, 250, 0, "svc", 3, 2, Optional.empty(), true);
      return Optional.of(new ClusterPolicy(e.revision(), Map.of("q", q), Map.of(), Map.of()));
    }

    @Override
    public Optional<String> decodeClosedDomain(Entry e) {
      return Optional.empty();
    }
  }

  private final Dependencies dependencies;
  final VirtualTime time;
  final FakeSharedStore store;
  final FakeRunners runners;
  final Map<String, Node> nodes = new HashMap<>();
  final java.util.Set<String> cutInstances = new java.util.HashSet<>();
  final List<Report> reports = new ArrayList<>();

  /** Faults of the messages between instances; none by default. */
  MessageFaults messageFaults = new MessageFaults(0);

  private final Map<String, Long> capacities;

  /** Names of the instances that began to serve as the owner, in order. */
  final List<String> servingOwners = new ArrayList<>();

  /** Times at which an owner offered a hand-over to a larger instance, in order. */
  final List<Long> offersMillis = new ArrayList<>();

  private int nodesStarted;

  /** Creates instances with dependencies that the caller supplies. */
  WorkflowCluster(VirtualTime time, FakeSharedStore store, Dependencies dependencies, int count) {
    this.time = time;
    this.store = store;
    this.runners = null;
    this.dependencies = dependencies;
    this.capacities = Map.of();
    for (int i = 0; i < count; i++) {
      start("n" + i);
    }
  }

  /** Creates instances of the same capacity. */
  WorkflowCluster(long seed, int count) {
    this(seed, count, Map.of());
  }

  /** Creates instances; {@code capacities} contains those that differ from the default capacity. */
  WorkflowCluster(long seed, int count, Map<String, Long> capacities) {
    this.capacities = capacities;
    time = new VirtualTime(seed);
    store = new FakeSharedStore(time);
    runners = new FakeRunners(time, RUNNERS);
    dependencies =
        new Dependencies(
            runners::client,
            (n, process) ->
                (step, ids, timeout) ->
                    CompletableFuture.completedFuture(new AdviceClient.Advice(Map.of(), 1)),
            new PlainSchema(),
            reports::add);
    for (int i = 0; i < RUNNERS; i++) {
      putRunner("r" + i);
    }
    runners.restartListener = this::putRestartedRunner;
    store.put("op/config", "");
    for (int i = 0; i < count; i++) {
      start("n" + i);
    }
  }

  /** Writes the entry of the current incarnation of a runner. */
  void putRunner(String runner) {
    store.put("runners/" + runner, Long.toString(runners.incarnation(runner)));
  }

  private void putRestartedRunner(String runner) {
    time.afterMillis(
        REGISTRATION_MILLIS,
        () -> {
          if (store.keys().contains("runners/" + runner)) {
            putRunner(runner);
          }
        });
  }

  long capacity(String name) {
    return capacities.getOrDefault(name, DEFAULT_CAPACITY);
  }

  void start(String name) {
    nodes.put(name, new Node(name, ++nodesStarted));
  }

  void kill(String name) {
    nodes.remove(name).process.kill();
  }

  Optional<Node> owner() {
    return nodes.values().stream().filter(n -> n.instance.isOwner()).findFirst();
  }

  private void recordReport(Report r) {
    if (r.topic() == DispatchTopic.OWNER_SERVING) {
      servingOwners.add(r.node());
    } else if (r.topic() == DispatchTopic.HAND_OVER_OFFERED) {
      offersMillis.add(time.nowMillis());
    }
    dependencies.observer().accept(r);
  }

  private CompletableFuture<PeerMessage> request(
      Node from, InstanceInfo peer, PeerMessage m, long timeout) {
    CompletableFuture<PeerMessage> f = new CompletableFuture<>();
    Function<PeerException, Runnable> fail =
        e -> () -> from.process.run(() -> f.completeExceptionally(e));
    if (cutInstances.contains(from.name) || cutInstances.contains(peer.host())) {
      time.afterMillis(timeout, fail.apply(new PeerException("peer is disconnected", true, null)));
      return f;
    }
    time.afterNanos(
        time.latencyNanos(2) + TimeUnit.MILLISECONDS.toNanos(messageFaults.delayMillis()),
        () -> {
          Node to = nodes.get(peer.host());
          if (to == null || !to.info.equals(peer)) {
            time.afterMillis(1, fail.apply(PeerException.processEnded("connection refused", null)));
            return;
          }
          to.process.run(() -> to.instance.receive(m).whenComplete((a, e) -> answer(from, a, f)));
        });
    time.afterMillis(timeout, fail.apply(new PeerException("no answer", true, null)));
    return f;
  }

  private void answer(Node to, PeerMessage m, CompletableFuture<PeerMessage> f) {
    if (!messageFaults.losesAnswer()) {
      time.afterNanos(time.latencyNanos(2), () -> to.process.run(() -> f.complete(m)));
    }
  }

  /** Submits a workflow through an instance. */
  CompletableFuture<WorkflowAnswer> submit(Node node, String id, StepSpec... steps) {
    WorkflowSpec spec =
        new WorkflowSpec(
            "",
            "",
            "",
            "p",
            List.of(steps),
            dev.dandelionport.core.workflow.Recurrence.ONCE,
            false);
    return call(node, WorkflowCallKind.SUBMIT, "/q/" + id, "", WorkflowCodec.encodeSpec(spec));
  }

  CompletableFuture<WorkflowAnswer> cancel(Node node, String id) {
    return call(node, WorkflowCallKind.CANCEL, "/q/" + id, "", new byte[0]);
  }

  CompletableFuture<WorkflowAnswer> read(Node node, String id) {
    return call(node, WorkflowCallKind.READ, "/q/" + id, "", new byte[0]);
  }

  CompletableFuture<WorkflowAnswer> call(
      Node node, WorkflowCallKind kind, String path, String key, byte[] body) {
    long deadline = TimeUnit.NANOSECONDS.toMillis(node.process.monotonicNanos());
    return node.instance.call(new WorkflowCall(kind, "h", path, key, body), deadline + 3_000);
  }

  /** Returns an answer, which must be given within 10 s. */
  WorkflowAnswer await(CompletableFuture<WorkflowAnswer> f) {
    assertThat(time.runUntil(f::isDone, 10_000)).isTrue();
    return f.join();
  }

  /** Returns whether an instance shows a workflow as completed. */
  boolean isCompleted(String id) {
    return await(read(anyNode(), id)).state() == WorkflowState.COMPLETED;
  }

  Node anyNode() {
    List<String> names = new ArrayList<>(new java.util.TreeSet<>(nodes.keySet()));
    return nodes.get(names.get(time.random().nextInt(names.size())));
  }
}
